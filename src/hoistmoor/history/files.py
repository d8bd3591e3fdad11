"""Reads and writes histories as JSON Lines files.

The first line holds the terms of the run, and each further line an event.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.history import events

if TYPE_CHECKING:
    import pathlib


class HistoryFileError(errors.HoistmoorError):
    """A history file cannot be read or is invalid."""


@attrs.frozen
class Terms:
    """Facts about a run that the checks need besides its events.

    Attributes:
        once_items: Non-idempotent calls, as method and path.
        crashed: Hosts that were killed and may therefore cut connections.
    """

    once_items: tuple[str, ...]
    crashed: tuple[str, ...] = ()


codec.register("history.terms", Terms)


@attrs.frozen
class RecordedHistory:
    """The contents of a history file."""

    terms: Terms
    history: events.History


def write_history(
    path: pathlib.Path, terms: Terms, history: events.History
) -> None:
    """Writes a history to a file and replaces an existing one."""
    with path.open("wb") as file:
        for record in (terms, *history.events):
            file.write(codec.encode(record) + b"\n")


def read_history(path: pathlib.Path) -> RecordedHistory:
    """Returns the contents of a history file.

    Raises:
        HistoryFileError: The file cannot be read, a line is not a valid
            record, or an event refers to a request that is not in the file.
    """
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise HistoryFileError(
            f"cannot read {path}: {error.strerror}",
            "Pass a history file that a test run wrote.",
        ) from error
    terms = _decode(1, lines[0] if lines else b"")
    if not isinstance(terms, Terms):
        raise HistoryFileError(
            f"{path} does not start with the terms of its run",
            "Make the first line a record of type history.terms.",
        )
    decoded = [
        _decode_event(number, line) for number, line in enumerate(lines[1:], 2)
    ]
    history = events.History(tuple(decoded))
    _check_references(history)
    return RecordedHistory(terms, history)


def _decode(number: int, line: bytes) -> object:
    try:
        return codec.decode(line)
    except errors.CodecError as error:
        raise HistoryFileError(
            f"line {number} is not a history record: {error}",
            "Correct or remove the line.",
        ) from error


def _decode_event(number: int, line: bytes) -> events.Event:
    record = _decode(number, line)
    if not isinstance(record, events.Event):
        raise HistoryFileError(
            f"line {number} is not an event",
            "Put the terms on the first line and only events after it.",
        )
    return record


def _check_references(history: events.History) -> None:
    for event in (*history.responses, *history.events_of(events.Cut)):
        if event.call_id not in history.requests_by_call:
            raise HistoryFileError(
                f"call {event.call_id} has an end but no request",
                "Add its record of type history.asked.",
            )
