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
    """Follows the stream and maintains its fold.

    Attributes:
        fold: State from the records read so far.
        first_offset: The oldest offset on the log, as of the last read.
        last_contact: Time of the log's last response, in seconds since the
            epoch; 0 before the first response.
        outages: Number of failed reads of the log.
    """

    def __init__(
        self,
        client: log.LogClient,
        on_view: OnView | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a reader; ``run`` starts it.

        Args:
            client: Reads the log.
            on_view: Called with a view of the rollouts after each page that
                changed the state.
            clock: Returns seconds since the epoch.
        """
        self.client = client
        self.fold = fold_lib.StewardFold()
        self.first_offset = 0
        self.last_contact = 0.0
        self.outages = 0
        self._on_view = on_view
        self._clock = clock
        self._last_reported = (self.fold.state, self.fold.complete)
        # Offset at which a start near the end is checked for completeness; -1
        # for no check.
        self._tail_end = -1
        self._reader = stream_reader.StreamReader(
            client, streams.STEWARD, self, polling.STEWARD
        )

    @property
    def undecodable(self) -> int:
        """Returns how many records could not be decoded."""
        return self._reader.bad_records

    async def run(self) -> None:
        """Follows the stream until cancelled, across outages of the log."""
        await self._reader.run()

    async def catch_up(self) -> None:
        """Reads to the stream's current end.

        Raises:
            PlatformError: The log could not be read.
        """
        while await self.step(0.0):
            pass

    async def step(self, wait: float) -> bool:
        """Reads one page; waits for up to ``wait`` seconds for a record.

        Several calls may run concurrently: records are applied in order of
        their offsets, and those that another call has applied are skipped.

        Returns:
            Whether more records may be available without waiting.

        Raises:
            PlatformError: The log could not be read.
        """
        return await self._reader.poll(wait)

    def begin(self, start: int) -> None:
        """Resets the fold to start at ``start``, without earlier state."""
        self.fold = fold_lib.StewardFold(start=start)

    def fold_record(self, offset: int, at: float, record: Any) -> None:
        """Applies a record; stewards override it to track their lease."""
        self.fold.apply(offset, at, record)

    # Implementation of ``stream_reader.Consumer``.

    @property
    def next_offset(self) -> int:
        """Returns the offset of the next read."""
        return self.fold.next_offset

    def on_start(self, bounds: log.LogBounds) -> None:
        """Starts near the end; ``on_page`` restarts if that is incomplete."""
        self.first_offset = bounds.first
        self._tail_end = bounds.next
        tail = bounds.next - snapshots.TAIL_RECORDS
        self.begin(max(bounds.first, tail))

    def on_gap(self, first: int) -> None:
        """Resets the fold to start at ``first``."""
        self.begin(first)

    def on_record(self, record: log.LogRecord, decoded: Any) -> None:
        """Applies a record, unless a concurrent read already has."""
        if record.offset == self.fold.next_offset:
            self.fold_record(record.offset, record.at, decoded)

    def on_bad_record(self, record: log.LogRecord) -> None:
        """Applies a record that does not decode as None, to skip it."""
        self.on_record(record, None)

    async def on_page(self, page: log.LogPage) -> bool:
        """Reports changes; starts from the oldest record if needed."""
        self.first_offset = page.first
        self.last_contact = self._clock()
        self._report_change()
        if not 0 <= self._tail_end <= self.fold.next_offset:
            return False
        starts_over = (
            not self.fold.complete and self.fold.start > self.first_offset
        )
        self._tail_end = -1
        if starts_over:
            self.begin(self.first_offset)
        return starts_over

    def on_failure(self, error: errors.HoistmoorError) -> None:
        """Counts a failed read."""
        del error
        self.outages += 1

    def _report_change(self) -> None:
        state = (self.fold.state, self.fold.complete)
        if state == self._last_reported:
            return
        self._last_reported = state
        if self._on_view is not None:
            self._on_view(self.fold.view())
