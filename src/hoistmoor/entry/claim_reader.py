"""The task that reads the claims stream for one host."""

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
    from hoistmoor.entry import log_port

_QUIET_PART = 1 / 8  # Of the window; hosts wait once to twice as long.
_PAGE = 500  # Records.

_log = logs.PartLogger("claims")


class ClaimReader(stream_reader.Consumer):
    """Follows the stream; unhurried while no claim of this host's waits."""

    def __init__(
        self,
        log: log_port.Log,
        stream: str,
        claimant: claimant_lib.Claimant,
        on_read: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Reads nothing yet; see ``run``.

        Args:
            log: The log service.
            stream: Name of the stream.
            claimant: Takes the records.
            on_read: Called after each page.
            clock: Seconds since the epoch.
        """
        self._log = log
        self._stream = stream
        self._claimant = claimant
        self._on_read = on_read
        self._clock = clock
        self._heard_at = clock()
        self._looks_back = False
        self._reader = stream_reader.StreamReader(
            log, stream, self, attrs.evolve(polling.CLAIMS, page=_PAGE)
        )
        # Hosts differ, so that one appends and the others hear it.
        name = str(claimant.incarnation).encode()
        spread = xxhash.xxh3_64_intdigest(name) / 2**64
        self._quiet = claimant.view.window * _QUIET_PART * (1 + spread)

    @property
    def bad_records(self) -> int:
        """Returns how many records did not decode."""
        return self._reader.bad_records

    async def run(self) -> None:
        """Reads on for ever, also through outages."""
        await self._reader.run()

    def hurry(self) -> None:
        """Reads at once: a claim of this host's is to be read back."""
        self._reader.hurry()

    async def catch_up(self, patience: float) -> None:
        """Reads to the end now; see ``StreamReader.catch_up``."""
        await self._reader.catch_up(patience)

    async def fetch_answer(
        self, wanted: messages.ReadAnswer
    ) -> permits.BeginResult:
        """Returns an answer that stands on the log, or why it cannot."""
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

    # What the reader calls.

    @property
    def next_offset(self) -> int:
        """Returns where to read on."""
        return self._claimant.view.next_offset

    @property
    def is_needed(self) -> bool:
        """Returns whether a claim of this host's is to be read back."""
        return self._claimant.has_unread_claim

    def on_start(self, bounds: log_client.LogBounds) -> None:
        """Starts at the oldest record."""
        self.on_gap(bounds.first)

    def on_gap(self, first: int) -> None:
        """Reads on after records that this host never saw."""
        self._claimant.restart_reading(first)
        self._looks_back = True

    def on_record(self, record: log_client.LogRecord, decoded: Any) -> None:
        """Takes a batch of some host, unless a read beside this one has."""
        if record.offset != self.next_offset:
            return
        if not isinstance(decoded, records.ClaimBatch):
            raise errors.CodecError(
                f"a {type(decoded).__name__} on stream {self._stream}",
                "Check which program wrote it.",
            )
        self._claimant.on_record(record.offset, record.at, decoded)

    def on_bad_record(self, record: log_client.LogRecord) -> None:
        """Passes over a record, which still tells the log's time."""
        if record.offset == self.next_offset:
            self._claimant.view.skip(record.offset, record.at)

    async def on_page(self, page: log_client.LogPage) -> bool:
        """Wakes who waits, and keeps a quiet stream alive."""
        self._on_read()
        if page.records:
            self._heard_at = self._clock()
        elif self._clock() - self._heard_at >= self._quiet:
            await self._append_empty()
        if self._looks_back:
            self._looks_back = False
            await self._look_back()
        return False

    async def _look_back(self) -> None:
        """Finds out how far back this host can read, and warns if too little.

        Where every record has expired, time begins with one of its own.
        """
        view = self._claimant.view
        blind = view.seconds_until_certain(self._clock())
        if blind == math.inf:
            await self._append_empty()
            blind = view.window
        if blind:
            _log.warning(
                "callers' keys are refused here for %.0f s: the log keeps too "
                "little of stream %s. Raise its retention.",
                blind,
                self._stream,
            )

    async def _append_empty(self) -> None:
        """Shows later readers the log's time on a quiet stream."""
        batch = self._claimant.outbox.empty_batch()
        await self._log.append(self._stream, codec.encode(batch))
