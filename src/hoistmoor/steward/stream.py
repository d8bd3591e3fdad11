"""Reads the stream ``steward``, for stewards and for entries."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import Any, TYPE_CHECKING

from hoistmoor.clients import stream_reader
from hoistmoor.core import polling
from hoistmoor.core import streams
from hoistmoor.core.steward import fold as fold_lib
from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import snapshots

if TYPE_CHECKING:
    from hoistmoor.clients import log
    from hoistmoor.core import errors

OnView = Callable[[rollouts.RolloutView], None]


class StewardStream(stream_reader.Consumer):
    """Follows the stream and keeps its fold.

    Attributes:
        fold: What was read so far.
        first: The oldest offset that the log had when last read.
        last_contact: When the log last answered, seconds since the epoch; 0
            before the first answer.
        outages: How often the log could not be read.
    """

    def __init__(
        self,
        client: log.LogClient,
        on_view: OnView | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Makes a reader; ``run`` starts it.

        Args:
            client: Reads the log.
            on_view: Called with the roll-outs after each page that changed
                them.
            clock: Returns seconds since the epoch.
        """
        self.client = client
        self.fold = fold_lib.StewardFold()
        self.first = 0
        self.last_contact = 0.0
        self.outages = 0
        self._on_view = on_view
        self._clock = clock
        # What was told of last.
        self._before = (self.fold.state, self.fold.complete)
        self._tail_end = -1  # Where a start near the end is judged; -1: not.
        self._reader = stream_reader.StreamReader(
            client, streams.STEWARD, self, polling.STEWARD
        )

    @property
    def undecodable(self) -> int:
        """Returns how many records could not be read."""
        return self._reader.bad_records

    async def run(self) -> None:
        """Follows the stream until cancelled, through the log's outages."""
        await self._reader.run()

    async def catch_up(self) -> None:
        """Reads to the stream's present end.

        Raises:
            PlatformError: The log could not be read.
        """
        while await self.step(0.0):
            pass

    async def step(self, wait: float) -> bool:
        """Reads one page; waits for up to ``wait`` seconds for a record.

        Several may run at once: each applies records by their offsets, and
        those that another applied first are passed over.

        Returns:
            Whether there may be more to read at once.

        Raises:
            PlatformError: The log could not be read.
        """
        return await self._reader.step(wait)

    def begin(self, start: int) -> None:
        """Starts anew at ``start``, with nothing known before it."""
        self.fold = fold_lib.StewardFold(start=start)

    def fold_record(self, offset: int, at: float, record: Any) -> None:
        """Folds one record; stewards watch their lease here."""
        self.fold.apply(offset, at, record)

    # What the reader calls.

    @property
    def next_offset(self) -> int:
        """Returns where to read on."""
        return self.fold.next_offset

    def on_start(self, bounds: log.LogBounds) -> None:
        """Starts near the end; see ``on_page`` if that does not do."""
        self.first = bounds.first
        self._tail_end = bounds.next
        tail = bounds.next - snapshots.TAIL_RECORDS
        self.begin(max(bounds.first, tail))

    def on_gap(self, first: int) -> None:
        """Starts anew at ``first``."""
        self.begin(first)

    def on_record(self, record: log.LogRecord, decoded: Any) -> None:
        """Folds a record, unless a read at the same time has."""
        if record.offset == self.fold.next_offset:
            self.fold_record(record.offset, record.at, decoded)

    def on_bad_record(self, record: log.LogRecord) -> None:
        """Passes over a record."""
        self.on_record(record, None)

    async def on_page(self, page: log.LogPage) -> bool:
        """Tells of what changed; reads from the beginning if it must."""
        self.first = page.first
        self.last_contact = self._clock()
        self._tell()
        if not 0 <= self._tail_end <= self.fold.next_offset:
            return False
        starts_over = not self.fold.complete and self.fold.start > self.first
        self._tail_end = -1
        if starts_over:
            self.begin(self.first)
        return starts_over

    def on_failure(self, error: errors.HoistmoorError) -> None:
        """Counts an outage."""
        del error
        self.outages += 1

    def _tell(self) -> None:
        state = (self.fold.state, self.fold.complete)
        if state == self._before:
            return
        self._before = state
        if self._on_view is not None:
            self._on_view(self.fold.view())
