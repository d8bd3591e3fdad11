"""Structured lines on standard output, one a decision, bounded under load."""

from __future__ import annotations

import collections
import os
from typing import TYPE_CHECKING

import attrs
import orjson

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_A_SECOND = 100.0  # Of one kind; measured: about 1% of a core.
BURST = 200.0  # Lines of one kind that may come at once.


@attrs.define
class _Bucket:
    tokens: float = BURST
    at: float = 0.0
    left_out: int = 0

    def take(self, now: float) -> bool:
        self.tokens = min(BURST, self.tokens + (now - self.at) * LINES_A_SECOND)
        self.at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True


class EventLog:
    """Writes lines of JSON; never waits for whoever reads them.

    Each kind of line has its own bound, so that many lines of one kind do not
    hide the others. A line tells how many of its kind were left out before.
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
        self._buckets: dict[str, _Bucket] = collections.defaultdict(_Bucket)
        os.set_blocking(self.descriptor, False)

    def write(self, kind: str, **fields: object) -> None:
        """Writes one line.

        Args:
            kind: Few, and this program's own.
            **fields: What decided, and the outcome.
        """
        now = self._clock()
        bucket = self._buckets[kind]
        if not bucket.take(now):
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
            # The reader is behind: the next line tells that one is missing.
            bucket.left_out += 1
            return
        bucket.left_out = 0
