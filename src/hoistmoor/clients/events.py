"""Splits streams of server-sent events and matches events to attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from hoistmoor.core import errors

if TYPE_CHECKING:
    from collections.abc import Iterator

EVENT_STREAM = "text/event-stream"
MAX_EVENT_BYTES = 1024 * 1024

_DATA = b"data:"
_END_MARKER = b"[DONE]"
_EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")


class EventTooLargeError(errors.HoistmoorError):
    """An event exceeds ``MAX_EVENT_BYTES`` without ending in a blank line."""


class EventSplitter:
    """Splits a byte stream into events, each with its blank line."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Adds ``data`` to the buffer and yields the events that are complete.

        Raises:
            EventTooLargeError: An event exceeds the size limit.
        """
        buffer = self._buffer + data
        while (end := _find_event_end(buffer)) > 0:
            event, buffer = buffer[:end], buffer[end:]
            self._buffer = buffer
            yield event
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event is longer than {MAX_EVENT_BYTES} bytes",
                "Check that the backend server sends server-sent events.",
            )
        self._buffer = buffer


def read_payload(event: bytes) -> bytes:
    """Returns the joined ``data`` fields of an event."""
    lines = [
        line[len(_DATA) :].strip()
        for line in event.splitlines()
        if line.startswith(_DATA)
    ]
    return b"\n".join(lines)


def is_end_marker(payload: bytes) -> bool:
    """Returns whether a payload marks the end of a complete response."""
    return payload == _END_MARKER


def belongs_to_attempt(payload: bytes, attempt_id: str) -> bool:
    """Returns whether a payload belongs to the response of an attempt.

    A payload without an id does, since the response head has already named
    the attempt.
    """
    try:
        fields = orjson.loads(payload)
    except orjson.JSONDecodeError:
        return True
    if not isinstance(fields, dict):
        return True
    return bool(fields.get("attempt_id", attempt_id) == attempt_id)


def _find_event_end(data: bytes) -> int:
    ends = [
        at + len(delimiter)
        for delimiter in _EVENT_DELIMITERS
        if (at := data.find(delimiter)) >= 0
    ]
    return min(ends, default=-1)
