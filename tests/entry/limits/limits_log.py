"""An in-memory log with fault injection."""

from __future__ import annotations

import asyncio

import attrs

from hoistmoor.clients import log as log_client
from hoistmoor.core import errors


@attrs.define
class FakeLog:
    """A log with a single stream.

    Attributes:
        clock: Returns the timestamp of new records.
        records: Records of the stream.
        first: Oldest offset within retention.
        down: Whether appends and reads fail.
        lose_replies: Number of appends that take effect but lose their reply.
        hold: Cleared to block readers.
        has_grown: Set when there may be new records.
    """

    clock: object
    records: list[log_client.LogRecord] = attrs.field(factory=list)
    first: int = 0
    down: bool = False
    lose_replies: int = 0
    hold: asyncio.Event = attrs.field(factory=asyncio.Event)
    has_grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record."""
        await asyncio.sleep(0)
        self.check()
        offset = len(self.records)
        record = log_client.LogRecord(offset, self.clock(), payload)
        self.records.append(record)
        self.has_grown.set()
        if self.lose_replies:
            self.lose_replies -= 1
            raise errors.LogOutcomeUnknownError("no reply", "Read the stream.")
        return offset

    async def read(
        self, stream: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log_client.LogPage:
        """Reads records; waits until there is at least one."""
        self.check()
        if start < self.first:
            raise errors.LogOffsetExpiredError(stream, start, self.first)
        while len(self.records) <= start:
            self.has_grown.clear()
            await self.has_grown.wait()
            self.check()
        await self.hold.wait()
        found = tuple(self.records[start : start + limit])
        return log_client.LogPage(self.first, start + len(found), found)

    async def bounds(self, stream: str) -> log_client.LogBounds:
        """Returns the oldest and the next offset."""
        self.check()
        return log_client.LogBounds(self.first, len(self.records))

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage."""
        self.down = down
        self.has_grown.set()

    def check(self) -> None:
        """Raises LogUnavailableError during an outage."""
        if self.down:
            raise errors.LogUnavailableError("down", "Wait.")
