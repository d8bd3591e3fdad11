"""Appends this host's decisions to the log, in budgeted batches."""

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
    from hoistmoor.entry import log_port

MOST_SCANNED = 5_000  # Records read at most to find one decision.
PAGE = 500

_LOG = logs.PartLogger("decisions")


class DecisionLog:
    """Owns the buffer of decisions that are on their way to the log.

    Attributes:
        lost: Decisions whose batch the log did not take.
    """

    def __init__(
        self,
        log: log_port.Log,
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
        """Takes a closed decision without waiting."""
        self._buffer.add(decision)

    async def run(self) -> None:
        """Appends batches until cancelled."""
        while True:
            pause = decision_batch.batch_interval(self._host_count())
            await asyncio.sleep(pause)
            await self.flush(pause)

    async def find(self, request_id: str) -> decisions.Decision | None:
        """Returns a decision that is still on the log, newest records first.

        Raises:
            PlatformError: The log could not be read.
        """
        bounds = await self._log.bounds(streams.DECISIONS)
        oldest = max(bounds.first, bounds.next - MOST_SCANNED)
        end = bounds.next
        while end > oldest:
            start = max(oldest, end - PAGE)
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
        """Appends one batch; decisions are not worth a second try."""
        batch = self._buffer.pop_batch(seconds)
        if batch is None:
            return
        try:
            await self._log.append(streams.DECISIONS, codec.encode(batch))
        except errors.PlatformError as error:
            self.lost += len(batch.decisions)
            _LOG.warning(
                "%d decisions not kept on the log: %s",
                len(batch.decisions),
                error,
            )
