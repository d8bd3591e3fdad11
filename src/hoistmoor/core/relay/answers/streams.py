"""Exactly-once, in-order forwarding of server-sent events.

Events are identified by their ids, which are consecutive numbers. After an
interruption, the stream may be resumed at another backend server, which is sent
the last id that was forwarded.
"""

from __future__ import annotations

import re

import attrs

from hoistmoor.core import errors

MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)[ \r]*$", re.MULTILINE)


class StreamOrderError(errors.HoistmoorError):
    """A stream skipped, repeated or corrupted an event."""


@attrs.define
class EventSequence:
    """Splits a stream into complete events and checks their ids.

    Attributes:
        last_id: Id of the last event forwarded; None before the first.
        events: Number of events forwarded, over all backend servers.
    """

    last_id: int | None = None
    events: int = 0
    _buffer: bytes = b""

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def reset_buffer(self) -> None:
        """Discards an incomplete event of the previous backend server."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of all events completed by ``data``.

        Raises:
            StreamOrderError: An event is out of order or exceeds the maximum
                size.
        """
        buffered = self._buffer + data
        consumed = 0
        for match in _EVENT_END.finditer(buffered):
            self._check(buffered[consumed : match.end()])
            consumed = match.end()
        self._buffer = buffered[consumed:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamOrderError(
                f"an event is longer than {MAX_EVENT_BYTES} bytes",
                "Check that the backend server sends server-sent events.",
            )
        return buffered[:consumed]

    def _check(self, event: bytes) -> None:
        match = _EVENT_ID.search(event)
        if match is None:
            self.events += 1
            return
        number = int(match.group(1))
        if self.last_id is not None and number != self.last_id + 1:
            raise StreamOrderError(
                f"event {number} came after event {self.last_id}",
                "Resume the stream at another backend server.",
            )
        self.last_id = number
        self.events += 1
