"""Replay of the table's stream, from the start of a host onwards.

A starting host reads the retained records of the table's stream. If retention
has deleted the first records, the host needs a snapshot that covers all deleted
records: every record after its ``as_of`` must still be retained. Once the host
has a table, it ignores snapshots on the log, so that a delayed snapshot cannot
revert the table.
"""

from __future__ import annotations

import collections

import attrs

from hoistmoor.core import errors
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import snapshots

_MAX_RECENT_SKIPS = 20


class TableHistoryLostError(errors.HoistmoorError):
    """The log holds no snapshot that covers the deleted records.

    Attributes:
        first: Lowest offset that is still retained.
    """

    def __init__(self, first: int) -> None:
        super().__init__(
            f"the first retained table record is {first} and no snapshot on "
            "the log covers the records before it",
            "Connect the host to a peer that has the table, or publish all "
            "sheets to a new log.",
        )
        self.first = first


@attrs.frozen
class SkippedRecord:
    """A skipped record that an operator should inspect.

    Attributes:
        offset: Offset of the record.
        problem: Why it was skipped.
    """

    offset: int
    problem: str


class TableReplay:
    """Replays the table's stream from any retained offset.

    Attributes:
        fold: State after the records applied so far; None until the replay
            has the first record or a usable snapshot.
        skipped: Number of records that were skipped as suspect.
        recent_skipped: The most recently skipped records.
    """

    def __init__(self) -> None:
        self.fold: fold.TableFold | None = None
        self.skipped = 0
        self.recent_skipped: collections.deque[SkippedRecord] = (
            collections.deque(maxlen=_MAX_RECENT_SKIPS)
        )
        self._first = 0
        self._needs_snapshot = True
        self._buffered: list[tuple[int, object]] = []

    @property
    def active(self) -> model.ActiveTable | None:
        """Returns the active table, or None before the first edit."""
        if self.fold is None or self.fold.active.revision < 0:
            return None
        return self.fold.active

    @property
    def next_offset(self) -> int:
        """Returns the offset of the next record to read."""
        if self._buffered:
            return self._buffered[-1][0] + 1
        if self._needs_snapshot or self.fold is None:
            return self._first
        return self.fold.as_of + 1

    @property
    def problem(self) -> TableHistoryLostError | None:
        """Returns the error while the replay waits for a usable snapshot."""
        if self._needs_snapshot and self._first > 0:
            return TableHistoryLostError(self._first)
        return None

    def begin(self, first: int) -> None:
        """Starts, or restarts after retention has overtaken the reader.

        Args:
            first: Lowest offset that is still retained.
        """
        self._first = first
        self._buffered = []
        if self.fold is None and first == 0:
            self.fold = fold.TableFold()
        # No snapshot is needed if the retained records continue the fold.
        self._needs_snapshot = self.fold is None or self.fold.as_of + 1 < first

    def feed(self, offset: int, payload: bytes) -> tuple[fold.Verdict, ...]:
        """Applies the next record of the stream, or buffers it.

        Records are buffered until a usable snapshot arrives.

        Returns:
            The verdicts on the record and on the buffered records that were
            applied with it.

        Raises:
            TableGapError: Preceding records are missing and must be read
                first.
        """
        record = fold.decode_record(payload)
        if not self._needs_snapshot and self.fold is not None:
            return (self._apply(self.fold, offset, record),)
        self._buffered.append((offset, record))
        if not isinstance(record, edits.TableSnapshot):
            return ()
        if not snapshots.is_usable(record, offset, self._first):
            return ()
        return self._resume_from(record)

    def adopt_if_newer(self, snapshot: edits.TableSnapshot) -> bool:
        """Adopts a snapshot from a peer if it is newer than the own state.

        Returns:
            Whether the snapshot was newer.
        """
        if self.fold is not None and not _is_newer(snapshot, self.fold):
            return False
        self._resume_from(snapshot)
        return True

    def _resume_from(
        self, snapshot: edits.TableSnapshot
    ) -> tuple[fold.Verdict, ...]:
        """Resumes from the newer of ``snapshot`` and the own state."""
        if self.fold is None or _is_newer(snapshot, self.fold):
            self.fold = fold.TableFold.from_snapshot(snapshot)
        current = self.fold
        pending = [item for item in self._buffered if item[0] > current.as_of]
        if pending and pending[0][0] > current.as_of + 1:
            return ()
        self._buffered = []
        self._needs_snapshot = current.as_of + 1 < self._first
        return tuple(
            self._apply(current, offset, record) for offset, record in pending
        )

    def _apply(
        self, current: fold.TableFold, offset: int, record: object
    ) -> fold.Verdict:
        verdict = current.apply(offset, record)
        if isinstance(verdict, fold.Ignored) and verdict.is_suspect:
            self.skipped += 1
            self.recent_skipped.append(SkippedRecord(offset, verdict.detail))
        return verdict


def _is_newer(snapshot: edits.TableSnapshot, current: fold.TableFold) -> bool:
    """Returns whether ``snapshot`` is ahead and reverts no accepted edit."""
    return (
        snapshot.as_of > current.as_of
        and snapshot.revision >= current.active.revision
    )
