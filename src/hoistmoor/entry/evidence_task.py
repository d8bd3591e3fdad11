"""Carries evidence on quality: ratings in, the log's records in and out."""

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
    from hoistmoor.entry import log_port

RATINGS_PERIOD = 0.5  # Seconds between two polls for ratings.
EFFECTS_PERIOD = 0.2  # Seconds between two looks at what to append.

_LOG = logs.PartLogger("evidence")


class EvidenceTask(stream_reader.Consumer):
    """Feeds the router with evidence and publishes what it concludes."""

    def __init__(
        self,
        log: log_port.Log,
        client: ratings.RatingsClient,
        router: router_lib.Router,
        clock: Callable[[], float],
    ) -> None:
        self._log = log
        self._client = client
        self._router = router
        self._clock = clock
        self._next = 0
        self._unsent: list[object] = []
        self._reader = stream_reader.StreamReader(
            log, streams.EVIDENCE, self, polling.EVIDENCE
        )

    @property
    def bad_records(self) -> int:
        """Returns how many records of the stream did not decode."""
        return self._reader.bad_records

    async def run(self) -> None:
        """Works until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_ratings())
            group.create_task(self._reader.run())
            group.create_task(self._write_on())

    async def _poll_ratings(self) -> None:
        offset = 0
        while True:
            try:
                page = await self._client.poll(offset)
                offset = page.next
                for rating in page.ratings:
                    self._router.on_rating(rating, self._clock())
            except errors.PlatformError as error:
                _LOG.debug("No ratings for now: %s", error)
            await asyncio.sleep(RATINGS_PERIOD)

    # What the reader calls.

    @property
    def next_offset(self) -> int:
        """Returns where to read on."""
        return self._next

    def on_start(self, bounds: log_client.LogBounds) -> None:
        """Starts at the oldest record; older ones are a gap."""
        self._next = bounds.first
        if bounds.first > 0:
            self._router.on_evidence_gap(bounds.first)

    def on_gap(self, first: int) -> None:
        """Reads on after records that this host never saw."""
        self._next = first
        self._router.on_evidence_gap(first)

    def on_record(self, record: log_client.LogRecord, decoded: Any) -> None:
        """Hands a record to the router."""
        self._next = record.offset + 1
        self._router.on_evidence(record.offset, decoded)

    def on_bad_record(self, record: log_client.LogRecord) -> None:
        """Passes over a record."""
        self._next = record.offset + 1

    async def _write_on(self) -> None:
        while True:
            await asyncio.sleep(EFFECTS_PERIOD)
            await self.flush()

    async def flush(self) -> None:
        """Appends what the router concluded; a repeat does no harm."""
        self._unsent += self._router.drain_effects()
        while self._unsent:
            payload = codec.encode(self._unsent[0])
            try:
                await self._log.append(streams.EVIDENCE, payload)
            except errors.PlatformError as error:
                _LOG.warning("Evidence waits for the log: %s", error)
                return
            self._unsent.pop(0)
            self._reader.hurry()
