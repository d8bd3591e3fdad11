"""An in-memory log service with fault injection."""

from __future__ import annotations

import asyncio
import collections

import attrs

from hoistmoor.clients import log as log_client
from hoistmoor.core import errors

_YIELDS_PER_READ = 3


@attrs.define
class FakeLog:
    """The log service, with faults set by the test.

    Attributes:
        records: Records by stream.
        down: Whether every call is refused.
        lose_replies: How many of the next appends take effect without a reply.
        drop: How many of the next appends are lost before they take effect.
        at: The log's clock, in seconds since the epoch.
        first: The oldest offset that can be read.
        grown: Set, and replaced, at each append.
    """

    records: dict[str, list[log_client.LogRecord]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    down: bool = False
    lose_replies: int = 0
    drop: int = 0
    at: float = 1_000_000.0
    first: int = 0
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    def _check(self) -> None:
        if self.down:
            raise errors.LogUnavailableError("the log is down", "Wait.")

    async def append(self, stream: str, payload: bytes) -> int:
        """Stores a record, unless a fault prevents it."""
        await asyncio.sleep(0)
        self._check()
        if self.drop:
            self.drop -= 1
            raise errors.LogOutcomeUnknownError("cut", "Read the log.")
        offset = len(self.records[stream])
        self.records[stream].append(
            log_client.LogRecord(offset, self.at, payload)
        )
        self.grown.set()
        self.grown = asyncio.Event()
        if self.lose_replies:
            self.lose_replies -= 1
            raise errors.LogOutcomeUnknownError("cut", "Read the log.")
        return offset

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Returns records, waiting for one like a long poll."""
        for _ in range(_YIELDS_PER_READ):
            await asyncio.sleep(0)  # Let other tasks run.
        self._check()
        if start < self.first:
            raise errors.LogOffsetExpiredError(stream, start, self.first)
        stored = self.records[stream]
        if start >= len(stored) and wait:
            grown = self.grown
            try:
                async with asyncio.timeout(wait):
                    await grown.wait()
            except TimeoutError:
                pass
            self._check()
        page = tuple(stored[start : start + limit])
        return log_client.LogPage(self.first, start + len(page), page)

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns the bounds of a stream."""
        self._check()
        return log_client.LogBounds(self.first, len(self.records[stream]))
