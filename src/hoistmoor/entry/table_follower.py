"""The task that keeps this process's table up to date.

``core.table.replay`` applies the records, ``clients.stream_reader`` decides
when to read, and this task notifies other components of each new table.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time
from typing import Any, TYPE_CHECKING

import attrs

from hoistmoor.clients import stream_reader
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import polling
from hoistmoor.core import streams
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import replay
from hoistmoor.core.table import snapshots
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from hoistmoor.clients import log

OnTable = Callable[[model.ActiveTable], None]
OnVerdict = Callable[[fold.Verdict], None]

_LOG = logs.PartLogger("table")


class TableFollower(stream_reader.Consumer):
    """Follows the table's stream and reports each new table in force.

    Attributes:
        replay: State after the records read so far.
        last_contact: Last time at which the log confirmed that this host's
            table is up to date, in seconds since the epoch; 0 before that.
        outages: Number of failed reads of the log.
    """

    def __init__(
        self,
        client: log.LogClient,
        on_table: OnTable | None = None,
        on_verdict: OnVerdict | None = None,
        clock: Callable[[], float] = time.time,
        poll_seconds: float = polling.TABLE.long_poll_timeout,
    ) -> None:
        """Creates a follower; ``run`` starts it.

        Args:
            client: Client of the log.
            on_table: Called with each new table in force, in order.
            on_verdict: Called with the result of each record.
            clock: Returns seconds since the epoch.
            poll_seconds: Timeout of a long poll.
        """
        self.client = client
        self.replay = replay.TableReplay()
        self.last_contact = 0.0
        self.outages = 0
        self._on_table = on_table
        self._on_verdict = on_verdict
        self._clock = clock
        self._pacing = attrs.evolve(
            polling.TABLE, long_poll_timeout=poll_seconds
        )
        self._reader = stream_reader.StreamReader(
            client, streams.TABLE, self, self._pacing, decode=bytes
        )
        self._notified_revision = -1
        self._changed = asyncio.Event()

    @property
    def in_force(self) -> model.ActiveTable | None:
        """Returns the table in force, or None before there is one."""
        return self.replay.active

    @property
    def revision(self) -> int:
        """Returns the revision in force; -1 before there is a table."""
        return self.in_force.revision if self.in_force else -1

    @property
    def undecodable(self) -> int:
        """Returns the number of records that were skipped as unreadable."""
        return self.replay.skipped

    async def run(self) -> None:
        """Follows the log until cancelled; continues after outages."""
        await self._reader.run()

    async def step(self) -> None:
        """Reads one page and applies its records.

        Raises:
            PlatformError: The log could not be read.
            TableGapError: The log omitted a record.
        """
        await self._reader.poll(self._pacing.long_poll_timeout)

    async def wait_for_revision(self, revision: int) -> model.ActiveTable:
        """Waits for ``revision`` or a newer one and returns the table."""
        while self.in_force is None or self.in_force.revision < revision:
            self._changed.clear()
            await self._changed.wait()
        return self.in_force

    def snapshot(self) -> bytes | None:
        """Returns a snapshot for a peer; None before there is a table."""
        if self.replay.fold is None or self.in_force is None:
            return None
        return snapshots.encode_snapshot(self.replay.fold)

    def adopt_if_newer(self, payload: bytes) -> bool:
        """Merges a peer's ``snapshot()`` if it is newer than this host's table.

        Returns:
            Whether it was newer.

        Raises:
            CodecError: The payload is not a snapshot.
        """
        record = codec.decode(payload)
        if not isinstance(record, edits.TableSnapshot):
            raise errors.CodecError(
                f"a peer sent a {type(record).__name__} instead of a snapshot",
                "Check which release the peer runs.",
            )
        taken = self.replay.adopt_if_newer(record)
        if taken:
            self._notify()
        return taken

    # Interface ``stream_reader.Consumer``.

    @property
    def next_offset(self) -> int:
        """Returns the offset of the next record to read."""
        return self.replay.next_offset

    def on_start(self, bounds: log.LogBounds) -> None:
        """Starts reading at the oldest record."""
        self.on_gap(bounds.first)

    def on_gap(self, first: int) -> None:
        """Restarts at offset ``first``; the table in force is kept."""
        self.replay.begin(first)
        if self.replay.problem is not None:
            _LOG.warning(
                "The log does not provide a table yet: %s", self.replay.problem
            )

    def on_record(self, record: log.LogRecord, decoded: Any) -> None:
        """Applies a record; ``replay`` decodes it and counts bad ones."""
        for verdict in self.replay.feed(record.offset, decoded):
            self._report_verdict(verdict)
        self._notify()

    def on_bad_record(self, record: log.LogRecord) -> None:
        """Never called: the payload is decoded by ``replay`` instead."""

    async def on_page(self, page: log.LogPage) -> bool:
        """Updates ``last_contact`` if the page reached the end of the log."""
        is_at_end = len(page.records) < self._pacing.page
        # If this host cannot follow the log, its table may be out of date.
        if is_at_end and self.replay.problem is None:
            self.last_contact = self._clock()
        return False

    def on_failure(self, error: errors.HoistmoorError) -> None:
        """Counts a failed read of the log."""
        self.outages += isinstance(error, errors.PlatformError)

    def _report_verdict(self, verdict: fold.Verdict) -> None:
        if isinstance(verdict, fold.Ignored) and verdict.is_suspect:
            _LOG.warning(
                "Skipped table record %d: %s %s",
                verdict.offset,
                verdict.reason,
                verdict.detail,
            )
        if self._on_verdict is not None:
            self._on_verdict(verdict)

    def _notify(self) -> None:
        table = self.in_force
        if table is None or table.revision <= self._notified_revision:
            return
        self._notified_revision = table.revision
        _LOG.info("Table revision %d is in force", table.revision)
        if self._on_table is not None:
            self._on_table(table)
        self._changed.set()
