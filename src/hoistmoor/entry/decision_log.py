"""Appends this host's decisions to the log, within a byte budget."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.requests import decision_batch
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core import identity
    from hoistmoor.core.requests import decisions
    from hoistmoor.entry import log_interface

MAX_SCANNED_RECORDS = 5_000  # Records read to find one decision.
PAGE_SIZE = 500  # Records per read.

_LOG = logs.PartLogger("decisions")


class DecisionLog:
    """Buffers decisions and appends them to the log in the background.

    Attributes:
        lost: Decisions whose batch could not be appended.
    """

    def __init__(
        self,
        log: log_interface.Log,
        incarnation: identity.Incarnation,
        host_count: Callable[[], int],
    ) -> None:
        self.lost = 0
        self._log = log
        self._host_count = host_count
        self._buffer = decision_batch.DecisionBuffer(
            incarnation.host, incarnation.number
        )

    def add(self, decision: decisions.Decision) -> None:
        """Buffers a closed decision without waiting."""
        self._buffer.add(decision)

    async def run(self) -> None:
        """Appends batches until cancelled."""
        while True:
            interval = decision_batch.batch_interval(self._host_count())
            await asyncio.sleep(interval)
            await self.flush(interval)

    async def find(self, request_id: str) -> decisions.Decision | None:
        """Searches the log for a decision, from the newest record backwards.

        Raises:
            PlatformError: The log could not be read.
        """
        bounds = await self._log.bounds(streams.DECISIONS)
        oldest = max(bounds.first, bounds.next - MAX_SCANNED_RECORDS)
        end = bounds.next
        while end > oldest:
            start = max(oldest, end - PAGE_SIZE)
            found = await self._find_between(start, end, request_id)
            if found is not None:
                return found
            end = start
        return None

    async def _find_between(
        self, start: int, end: int, request_id: str
    ) -> decisions.Decision | None:
        wanted = request_id.encode()
        page = await self._log.read(streams.DECISIONS, start, end - start)
        for record in page.records:
            if wanted not in record.payload:
                continue
            batch: decision_batch.DecisionBatch = codec.decode(record.payload)
            for decision in batch.decisions:
                if decision.request_id == request_id:
                    return decision
        return None

    async def flush(self, seconds: float) -> None:
        """Appends one batch, without a retry on failure.

        Decisions are diagnostic data, so losing a batch is acceptable.

        Args:
            seconds: Time since the last batch; the byte budget grows with it.
        """
        batch = self._buffer.pop_batch(seconds)
        if batch is None:
            return
        try:
            await self._log.append(streams.DECISIONS, codec.encode(batch))
        except errors.PlatformError as error:
            self.lost += len(batch.decisions)
            _LOG.warning(
                "Dropped %d decisions, cannot append to the log: %s",
                len(batch.decisions),
                error,
            )
