"""Rate-limited JSON event log, one line per decision."""

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
    dropped before it.
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
        os.set_blocking(self.descriptor, False)

    def write(self, kind: str, **fields: object) -> None:
        """Writes one line.

        Args:
            kind: Kind of event; a fixed set, since each has a token bucket.
            **fields: Inputs and outcome of the decision.
        """
        now = self._clock()
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
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        try:
            os.write(self.descriptor, data)
        except BlockingIOError:
            # The pipe is full: the next line reports the dropped one.
            bucket.left_out += 1
            return
        bucket.left_out = 0
