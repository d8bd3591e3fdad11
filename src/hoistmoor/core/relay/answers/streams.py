"""Events of a stream in their order: none missing, none twice, none in part.

An event is known by its id, a number that rises by one. After a cut the rest
may come from another backend server, which is told the last id.
"""

from __future__ import annotations

import re

import attrs

from hoistmoor.core import errors

MAX_EVENT_BYTES = 1024 * 1024
_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)[ \r]*$", re.MULTILINE)


class StreamOrderError(errors.HoistmoorError):
    """A stream left out, repeated or spoiled an event."""


@attrs.define
class EventSequence:
    """Cuts a stream into whole events and checks their ids.

    Attributes:
        last_id: Id of the newest event passed on; None before the first.
        events: Events passed on, of all backend servers.
    """

    last_id: int | None = None
    events: int = 0
    _rest: bytes = b""

    @property
    def has_partial(self) -> bool:
        """Whether bytes wait that make no whole event."""
        return bool(self._rest)

    def begin_run(self) -> None:
        """Drops what an earlier backend server left unfinished."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that ``data`` completes, as received.

        Raises:
            StreamOrderError: An event is not the one that must come next, or
                is too long to be one.
        """
        rest = self._rest + data
        done = 0
        for match in _END.finditer(rest):
            self._check(rest[done : match.end()])
            done = match.end()
        self._rest = rest[done:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise StreamOrderError(
                f"an event is longer than {MAX_EVENT_BYTES} bytes",
                "Check that the backend server sends server-sent events.",
            )
        return rest[:done]

    def _check(self, event: bytes) -> None:
        match = _ID.search(event)
        if match is None:
            self.events += 1
            return
        number = int(match.group(1))
        if self.last_id is not None and number != self.last_id + 1:
            raise StreamOrderError(
                f"event {number} came after event {self.last_id}",
                "Ask another backend server for the rest.",
            )
        self.last_id = number
        self.events += 1
