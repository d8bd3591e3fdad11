"""Reads a claims stream on behalf of one host."""

from __future__ import annotations

import math
from typing import Any, TYPE_CHECKING

import attrs
import xxhash

from hoistmoor.clients import stream_reader
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import polling
from hoistmoor.core.once import records
from hoistmoor.core.once import replies
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.clients import log as log_client
    from hoistmoor.core.once import claimant as claimant_lib
    from hoistmoor.core.once import messages
    from hoistmoor.core.once import permits
    from hoistmoor.entry import log_interface

# Interval between heartbeat records on an idle stream, as a fraction of the
# window; each host waits one to two times as long.
_HEARTBEAT_FRACTION = 1 / 8
_PAGE_SIZE = 500  # Records per read.

_log = logs.PartLogger("claims")


class ClaimReader(stream_reader.Consumer):
    """Follows a claims stream.

    Polls at a slow pace while no claim of this host waits to be read back.
    """

    def __init__(
        self,
        log: log_interface.Log,
        stream: str,
        claimant: claimant_lib.Claimant,
        on_read: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Creates a reader; ``run`` starts reading.

        Args:
            log: The log service.
            stream: Name of the stream.
            claimant: Processes the records.
            on_read: Called after each page.
            clock: Returns seconds since the epoch.
        """
        self._log = log
        self._stream = stream
        self._claimant = claimant
        self._on_read = on_read
        self._clock = clock
        self._last_record_at = clock()
        self._check_retention = False
        self._reader = stream_reader.StreamReader(
            log, stream, self, attrs.evolve(polling.CLAIMS, page=_PAGE_SIZE)
        )
        # The interval differs between hosts, so that normally one of them
        # appends a heartbeat and the others read it in time.
        name = str(claimant.incarnation).encode()
        spread = xxhash.xxh3_64_intdigest(name) / 2**64
        self._heartbeat_interval = (
            claimant.view.window * _HEARTBEAT_FRACTION * (1 + spread)
        )

    @property
    def bad_records(self) -> int:
        """Returns the number of records that could not be decoded."""
        return self._reader.bad_records

    async def run(self) -> None:
        """Reads until cancelled, also across outages of the log."""
        await self._reader.run()

    def poll_now(self) -> None:
        """Polls without delay, to read back a claim of this host."""
        self._reader.poll_now()

    async def catch_up(self, timeout: float) -> None:
        """Reads to the end of the stream; see ``StreamReader.catch_up``.

        Args:
            timeout: Seconds to wait for the log.
        """
        await self._reader.catch_up(timeout)

    async def fetch_response(
        self, wanted: messages.ReadAnswer
    ) -> permits.BeginResult:
        """Returns a response stored on the log, or the refusal instead."""
        try:
            page = await self._log.read(self._stream, wanted.offset, limit=1)
            batch = codec.decode(page.records[0].payload)
        except errors.LogOffsetExpiredError:
            return replies.answer_not_kept()
        except (errors.HoistmoorError, IndexError):
            return replies.answer_unavailable()
        for ended in batch.ended:
            if batch.claim_id(ended.serial) == wanted.claim_id:
                self._claimant.answers.put(wanted.claim_id, ended.answer)
                return ended.answer or replies.answer_not_kept()
        return replies.answer_not_kept()

    # Methods called by the stream reader.

    @property
    def next_offset(self) -> int:
        """Returns the offset of the next record to read."""
        return self._claimant.view.next_offset

    @property
    def is_needed(self) -> bool:
        """Returns whether a claim of this host waits to be read back."""
        return self._claimant.has_unread_claim

    def on_start(self, bounds: log_client.LogBounds) -> None:
        """Starts at the oldest record, as after a gap."""
        self.on_gap(bounds.first)

    def on_gap(self, first: int) -> None:
        """Continues after records that expired before they were read."""
        self._claimant.restart_reading(first)
        self._check_retention = True

    def on_record(self, record: log_client.LogRecord, decoded: Any) -> None:
        """Processes a batch, unless a concurrent read has processed it."""
        if record.offset != self.next_offset:
            return
        if not isinstance(decoded, records.ClaimBatch):
            raise errors.CodecError(
                f"unexpected {type(decoded).__name__} on stream {self._stream}",
                "Check which program wrote it.",
            )
        self._claimant.on_record(record.offset, record.at, decoded)

    def on_bad_record(self, record: log_client.LogRecord) -> None:
        """Skips a record, but uses its timestamp as the time of the log."""
        if record.offset == self.next_offset:
            self._claimant.view.skip(record.offset, record.at)

    async def on_page(self, page: log_client.LogPage) -> bool:
        """Wakes waiting requests and appends a heartbeat to an idle stream."""
        self._on_read()
        if page.records:
            self._last_record_at = self._clock()
        elif self._clock() - self._last_record_at >= self._heartbeat_interval:
            await self._append_heartbeat()
        if self._check_retention:
            self._check_retention = False
            await self._warn_if_uncertain()
        return False

    async def _warn_if_uncertain(self) -> None:
        """Warns if the log does not reach back far enough to judge keys.

        If every record has expired, the time of the log is unknown, and this
        host appends a record of its own to learn it.
        """
        view = self._claimant.view
        uncertain_seconds = view.seconds_until_certain(self._clock())
        if uncertain_seconds == math.inf:
            await self._append_heartbeat()
            uncertain_seconds = view.window
        if uncertain_seconds:
            _log.warning(
                "refusing callers' keys for %.0f s: the log retains too little "
                "of stream %s. Raise its retention.",
                uncertain_seconds,
                self._stream,
            )

    async def _append_heartbeat(self) -> None:
        """Appends an empty batch, whose timestamp tells the log's time."""
        batch = self._claimant.outbox.empty_batch()
        await self._log.append(self._stream, codec.encode(batch))
