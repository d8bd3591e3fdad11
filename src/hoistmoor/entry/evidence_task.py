"""Collects evidence of quality: reads ratings, reads and appends records."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from hoistmoor.clients import stream_reader
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import polling
from hoistmoor.core import streams
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.clients import log as log_client
    from hoistmoor.clients import ratings
    from hoistmoor.core.routing import router as router_lib
    from hoistmoor.entry import log_interface

RATINGS_POLL_SECONDS = 0.5  # Interval between polls for ratings.
FLUSH_INTERVAL_SECONDS = 0.2  # Interval between appends of new evidence.

_LOG = logs.PartLogger("evidence")


class EvidenceTask(stream_reader.Consumer):
    """Passes evidence to the router and appends its results to the log."""

    def __init__(
        self,
        log: log_interface.Log,
        client: ratings.RatingsClient,
        router: router_lib.Router,
        clock: Callable[[], float],
    ) -> None:
        self._log = log
        self._client = client
        self._router = router
        self._clock = clock
        self._next_offset = 0
        self._pending: list[object] = []
        self._reader = stream_reader.StreamReader(
            log, streams.EVIDENCE, self, polling.EVIDENCE
        )

    @property
    def bad_records(self) -> int:
        """Returns the number of records that could not be decoded."""
        return self._reader.bad_records

    async def run(self) -> None:
        """Reads and appends evidence until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_ratings())
            group.create_task(self._reader.run())
            group.create_task(self._flush_loop())

    async def _poll_ratings(self) -> None:
        offset = 0
        while True:
            try:
                page = await self._client.poll(offset)
                offset = page.next
                for rating in page.ratings:
                    self._router.on_rating(rating, self._clock())
            except errors.PlatformError as error:
                _LOG.debug("Cannot poll ratings, retrying: %s", error)
            await asyncio.sleep(RATINGS_POLL_SECONDS)

    # Methods called by the stream reader.

    @property
    def next_offset(self) -> int:
        """Returns the offset of the next record to read."""
        return self._next_offset

    def on_start(self, bounds: log_client.LogBounds) -> None:
        """Starts at the oldest record; expired records count as a gap."""
        self._next_offset = bounds.first
        if bounds.first > 0:
            self._router.on_evidence_gap(bounds.first)

    def on_gap(self, first: int) -> None:
        """Continues after records that expired before they were read."""
        self._next_offset = first
        self._router.on_evidence_gap(first)

    def on_record(self, record: log_client.LogRecord, decoded: Any) -> None:
        """Passes a record to the router."""
        self._next_offset = record.offset + 1
        self._router.on_evidence(record.offset, decoded)

    def on_bad_record(self, record: log_client.LogRecord) -> None:
        """Skips a record that cannot be decoded."""
        self._next_offset = record.offset + 1

    async def _flush_loop(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            await self.flush()

    async def flush(self) -> None:
        """Appends the router's pending records, oldest first.

        Appending a record twice is harmless, so a failed append is retried
        even though the log may have stored the record.
        """
        self._pending += self._router.drain_effects()
        while self._pending:
            payload = codec.encode(self._pending[0])
            try:
                await self._log.append(streams.EVIDENCE, payload)
            except errors.PlatformError as error:
                _LOG.warning("Cannot append evidence, retrying: %s", error)
                return
            self._pending.pop(0)
            self._reader.poll_now()
