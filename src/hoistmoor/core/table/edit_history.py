"""Bounded history of edits, for conflict detection and deduplication.

An edit whose base is more than ``MAX_BASE_AGE_RECORDS`` records old is
rejected. Edit IDs and changes of deleted rows that are older than that
therefore cannot affect a verdict. Eviction depends on the offset alone, so that
all hosts evict an entry at the same record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.table import edits
from hoistmoor.core.table import sheets

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_BASE_AGE_RECORDS = 2_000


class EditHistory:
    """The last change of each row, and the IDs of recent edits."""

    def __init__(self) -> None:
        self._marks: dict[str, dict[str, edits.LastChange]] = {
            sheet: {} for sheet in sheets.SHEETS
        }
        self._offset_by_id: dict[
            str, int
        ] = {}  # In ascending order of offsets.

    @classmethod
    def from_snapshot(cls, snapshot: edits.TableSnapshot) -> EditHistory:
        """Restores the history from ``snapshot``."""
        memory = cls()
        for sheet, marks in snapshot.marks.items():
            memory._marks[sheet] = dict(marks)
        by_offset = sorted(snapshot.recent_edits.items(), key=_get_offset)
        memory._offset_by_id = dict(by_offset)
        return memory

    def copy_last_changes(self) -> dict[str, dict[str, edits.LastChange]]:
        """Returns a copy of the last changes by sheet and row key."""
        return {sheet: dict(marks) for sheet, marks in self._marks.items()}

    def copy_recent_edits(self) -> dict[str, int]:
        """Returns a copy of the offsets of recent edits by edit ID."""
        return dict(self._offset_by_id)

    def last_change(self, row: sheets.RowName) -> edits.LastChange | None:
        """Returns the last change of ``row``, or None if it is unknown."""
        return self._marks[row.sheet].get(row.key)

    def change_since(
        self, row: sheets.RowName, base: int
    ) -> edits.LastChange | None:
        """Returns the last change of ``row`` if it is newer than ``base``."""
        mark = self.last_change(row)
        if mark is None or mark.revision <= base:
            return None
        return mark

    def first_offset(self, edit_id: str) -> int | None:
        """Returns the offset of the first occurrence of a recent edit ID."""
        return self._offset_by_id.get(edit_id)

    def record_edit_id(self, edit_id: str, offset: int) -> None:
        """Records that an edit has been processed."""
        self._offset_by_id[edit_id] = offset

    def record_change(
        self,
        change: edits.Change,
        mark: edits.LastChange,
        rows: Collection[str],
    ) -> None:
        """Records the last change of a row.

        Args:
            change: The change.
            mark: Author and offset of the change.
            rows: Keys of the sheet's rows before the change.
        """
        marks = self._marks[change.sheet]
        marks[change.key] = mark
        if isinstance(change, edits.RowDelete):
            _evict_deleted_rows(
                marks, rows, mark.revision - MAX_BASE_AGE_RECORDS
            )

    def evict_edit_ids(self, as_of: int) -> None:
        """Evicts the IDs of edits that are now too old to be accepted again."""
        oldest = as_of - MAX_BASE_AGE_RECORDS
        while self._offset_by_id:
            edit_id = next(iter(self._offset_by_id))
            if self._offset_by_id[edit_id] >= oldest:
                return
            del self._offset_by_id[edit_id]


def is_base_covered(base: int, offset: int) -> bool:
    """Returns whether conflicts since ``base`` can still be detected."""
    return base >= offset - MAX_BASE_AGE_RECORDS


def _evict_deleted_rows(
    marks: dict[str, edits.LastChange], rows: Collection[str], oldest: int
) -> None:
    """Evicts the changes of rows that were deleted before ``oldest``."""
    for key, mark in list(marks.items()):
        if mark.revision < oldest and key not in rows:
            del marks[key]


def _get_offset(item: tuple[str, int]) -> int:
    return item[1]
