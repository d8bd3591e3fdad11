"""Rate-limited JSON event log, one line per decision.

Fields may hold what callers, servers and other hosts have sent, of any length
and with any bytes.
"""

from __future__ import annotations

import collections
import os
from typing import TYPE_CHECKING

import attrs
import orjson

if TYPE_CHECKING:
    from collections.abc import Callable

# Sustained rate per kind of event; costs about 1% of a CPU core.
LINES_PER_SECOND = 100.0
BURST = 200.0  # Lines per kind of event that may be written at once.
# Bytes of one line, including that of a server that ends with many requests.
MAX_LINE_BYTES = 16_384
# Characters of a text, and items of a list, to which a longer line is cut; the
# first limit with which it fits is used.
CUT_LIMITS = (256, 64, 16)


@attrs.define
class _TokenBucket:
    tokens: float = BURST
    updated_at: float = 0.0
    left_out: int = 0

    def try_take(self, now: float) -> bool:
        self.tokens = min(
            BURST, self.tokens + (now - self.updated_at) * LINES_PER_SECOND
        )
        self.updated_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True


class EventLog:
    """Writes JSON lines without ever blocking on a slow reader.

    Each kind of event has its own rate limit, so that a burst of one kind does
    not suppress the others. A line reports how many lines of its kind were
    dropped before it, and whether its fields were cut.
    """

    def __init__(
        self,
        host: str,
        clock: Callable[[], float],
        descriptor: int,
    ) -> None:
        self.host = host
        self.descriptor = descriptor
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = collections.defaultdict(
            _TokenBucket
        )
        # End of a line of which a full pipe took only the beginning.
        self._rest = b""
        os.set_blocking(self.descriptor, False)

    def write(self, kind: str, **fields: object) -> None:
        """Writes one line.

        Args:
            kind: Kind of event; a fixed set, since each has a token bucket.
            **fields: Inputs and outcome of the decision.
        """
        now = self._clock()
        self._write_rest()
        bucket = self._buckets[kind]
        if not bucket.try_take(now):
            return
        line: dict[str, object] = {
            "t": round(now, 3),
            "host": self.host,
            "event": kind,
            **fields,
        }
        if bucket.left_out:
            line["left_out"] = bucket.left_out
        if self._rest or not self._write(_encode_bounded(line)):
            # The pipe is full: the next line reports the dropped one.
            bucket.left_out += 1
            return
        bucket.left_out = 0

    def _write_rest(self) -> None:
        """Writes what is left of an earlier line."""
        rest, self._rest = self._rest, b""
        if rest and not self._write(rest):
            self._rest = rest

    def _write(self, data: bytes) -> bool:
        """Writes bytes, or keeps their end for later.

        Returns:
            False if nothing was written.
        """
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            return False
        self._rest = data[written:]
        return True


def _encode_bounded(line: dict[str, object]) -> bytes:
    """Encodes a line; cuts its fields if it would be too long."""
    data = _encode(line)
    for limit in CUT_LIMITS:
        if len(data) <= MAX_LINE_BYTES:
            return data
        cut = {name: _cut(value, limit) for name, value in line.items()}
        data = _encode({**cut, "cut": limit})
    if len(data) <= MAX_LINE_BYTES:
        return data
    kept = {name: line[name] for name in ("t", "event")}
    return _encode({**kept, "cut": 0})


def _encode(line: dict[str, object]) -> bytes:
    option = orjson.OPT_APPEND_NEWLINE
    try:
        return orjson.dumps(line, default=str, option=option)
    except TypeError:
        # Texts that are not valid Unicode, or integers beyond 64 bits.
        printable = {name: _printable(value) for name, value in line.items()}
        return orjson.dumps(printable, default=str, option=option)


def _cut(value: object, limit: int) -> object:
    """Returns a field with at most ``limit`` characters and items."""
    if isinstance(value, str):
        return value[:limit]
    if isinstance(value, list | tuple):
        return [_cut(item, limit) for item in value[:limit]]
    return value


def _printable(value: object) -> object:
    """Returns a field that JSON can represent."""
    if isinstance(value, list | tuple):
        return [_printable(item) for item in value]
    # The decimal form of an integer is limited to 4300 digits.
    text = hex(value) if isinstance(value, int) else str(value)
    return text.encode(errors="backslashreplace").decode()
