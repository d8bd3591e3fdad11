"""The task that keeps this process's table up to date.

What to make of the records is for ``core.table.replay``, when to read is for
``clients.stream_reader``; this task owns the telling.
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
    """Follows the table's stream and tells of each table in force.

    Attributes:
        replay: What the records read so far make.
        last_contact: When the log last vouched for this host's table, seconds
            since the epoch; 0 before it first did.
        outages: How often in all the log could not be read.
    """

    def __init__(
        self,
        client: log.LogClient,
        on_table: OnTable | None = None,
        on_verdict: OnVerdict | None = None,
        clock: Callable[[], float] = time.time,
        poll_seconds: float = polling.TABLE.long_poll_timeout,
    ) -> None:
        """Makes a follower; ``run`` starts it.

        Args:
            client: Reads the log.
            on_table: Called with each new table in force, in order.
            on_verdict: Called with what became of each record.
            clock: Returns seconds since the epoch.
            poll_seconds: How long the log may hold a read back.
        """
        self.client = client
        self.replay = replay.TableReplay()
        self.last_contact = 0.0
        self.outages = 0
        self._on_table = on_table
        self._on_verdict = on_verdict
        self._clock = clock
        self._pace = attrs.evolve(polling.TABLE, long_poll_timeout=poll_seconds)
        self._reader = stream_reader.StreamReader(
            client, streams.TABLE, self, self._pace, decode=bytes
        )
        self._told_revision = -1
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
        """Returns how many records on the log could not be read."""
        return self.replay.skipped

    async def run(self) -> None:
        """Follows the log until cancelled, through its outages."""
        await self._reader.run()

    async def step(self) -> None:
        """Reads one page and applies it.

        Raises:
            PlatformError: The log could not be read.
            TableGapError: The log left a record out.
        """
        await self._reader.step(self._pace.long_poll_timeout)

    async def wait_for(self, revision: int) -> model.ActiveTable:
        """Returns the table in force once it is ``revision`` or newer."""
        while self.in_force is None or self.in_force.revision < revision:
            self._changed.clear()
            await self._changed.wait()
        return self.in_force

    def snapshot(self) -> bytes | None:
        """Returns this host's table for a peer; None before there is one."""
        if self.replay.fold is None or self.in_force is None:
            return None
        return snapshots.encode_snapshot(self.replay.fold)

    def offer(self, payload: bytes) -> bool:
        """Takes a peer's ``snapshot()`` if it is newer than this host's.

        Returns:
            Whether it was newer.

        Raises:
            CodecError: It is no snapshot.
        """
        record = codec.decode(payload)
        if not isinstance(record, edits.TableSnapshot):
            raise errors.CodecError(
                f"a peer offered a {type(record).__name__} as its table",
                "Check which version the peer runs.",
            )
        taken = self.replay.adopt_if_newer(record)
        if taken:
            self._tell()
        return taken

    # What the reader calls.

    @property
    def next_offset(self) -> int:
        """Returns where to read on."""
        return self.replay.next_offset

    def on_start(self, bounds: log.LogBounds) -> None:
        """Starts at the oldest record."""
        self.on_gap(bounds.first)

    def on_gap(self, first: int) -> None:
        """Starts anew at ``first``; the table in force stays."""
        self.replay.begin(first)
        if self.replay.problem is not None:
            _LOG.warning("No table from the log yet: %s", self.replay.problem)

    def on_record(self, record: log.LogRecord, decoded: Any) -> None:
        """Applies a record; ``replay`` decodes and counts by itself."""
        for verdict in self.replay.feed(record.offset, decoded):
            self._note(verdict)
        self._tell()

    def on_bad_record(self, record: log.LogRecord) -> None:
        """Never called: every payload goes to ``replay``."""

    async def on_page(self, page: log.LogPage) -> bool:
        """Notes that the log vouched for the table, if it did."""
        is_at_end = len(page.records) < self._pace.page
        # A log that this host cannot follow says nothing about its table.
        if is_at_end and self.replay.problem is None:
            self.last_contact = self._clock()
        return False

    def on_failure(self, error: errors.HoistmoorError) -> None:
        """Counts an outage."""
        self.outages += isinstance(error, errors.PlatformError)

    def _note(self, verdict: fold.Verdict) -> None:
        if isinstance(verdict, fold.Ignored) and verdict.is_suspect:
            _LOG.warning(
                "Skipped table record %d: %s %s",
                verdict.offset,
                verdict.reason,
                verdict.detail,
            )
        if self._on_verdict is not None:
            self._on_verdict(verdict)

    def _tell(self) -> None:
        table = self.in_force
        if table is None or table.revision <= self._told_revision:
            return
        self._told_revision = table.revision
        _LOG.info("Revision %d is in force", table.revision)
        if self._on_table is not None:
            self._on_table(table)
        self._changed.set()
