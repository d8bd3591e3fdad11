"""Folds the records of the table's stream into the active table.

The fold is a pure function of the records in log order, so all hosts that have
read up to the same offset hold the same table. Concurrency control is
optimistic: an edit names the last record that its author had read. It is
rejected if any of its rows changed after that record, or if the resulting
table fails validation.
"""

from __future__ import annotations

import enum
import functools
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core.table import check
from hoistmoor.core.table import edit_history
from hoistmoor.core.table import edits
from hoistmoor.core.table import model
from hoistmoor.core.table import problems
from hoistmoor.core.table import sheets

if TYPE_CHECKING:
    from collections.abc import Iterator


class Reason(enum.StrEnum):
    """The reason why a record did not change the table."""

    ROW_CHANGED = "row_changed"  # A row changed after the base.
    CHECK_FAILED = "check_failed"  # The resulting table is invalid.
    BASE_TOO_OLD = "base_too_old"  # Conflicts can no longer be detected.
    BASE_IN_FUTURE = "base_in_future"  # The base is not a preceding offset.
    EMPTY = "empty"  # The edit has no changes.
    REPEATED_ROW = "repeated_row"  # The edit changes a row twice.
    REPEAT = "repeat"  # The edit ID was already processed.
    SNAPSHOT = "snapshot"  # Not needed by a host that has a table.
    SNAPSHOT_DIFFERS = "snapshot_differs"  # Writer and host have diverged.
    UNKNOWN_SCHEMA = "unknown_schema"  # Written by a newer release.
    UNDECODABLE = "undecodable"  # Malformed or of an unknown type.
    ALREADY_APPLIED = "already_applied"  # The offset was already read.


@attrs.frozen
class Undecodable:
    """Placeholder for a record that cannot be decoded.

    Attributes:
        problem: Error message of the decoder.
    """

    problem: str


@attrs.frozen
class Conflict:
    """A row that a preceding edit changed after the base of this edit.

    Attributes:
        row: Name of the row.
        by: Author of the preceding edit.
        at_revision: Offset of the preceding edit.
    """

    row: sheets.RowName
    by: str
    at_revision: int

    def __str__(self) -> str:
        """Returns the text for messages."""
        return f"{self.row} was changed by {self.by} at {self.at_revision}"


@attrs.frozen
class Accepted:
    """The edit was applied.

    Attributes:
        offset: Offset of the edit, which is the new revision of the table.
        edit: The edit.
    """

    offset: int
    edit: edits.TableEdit


@attrs.frozen
class Rejected:
    """The edit was rejected and left the table unchanged.

    Attributes:
        offset: Offset of the edit.
        edit: The edit.
        reason: Reason for the rejection.
        conflicts: Conflicts with preceding edits.
        faults: Validation faults of the table that would have resulted.
    """

    offset: int
    edit: edits.TableEdit
    reason: Reason
    conflicts: tuple[Conflict, ...] = ()
    faults: tuple[problems.Fault, ...] = ()


@attrs.frozen
class Ignored:
    """The record was ignored and left the table unchanged.

    Attributes:
        offset: Offset of the record.
        reason: Reason for ignoring it.
        detail: Further details; may be empty.
    """

    offset: int
    reason: Reason
    detail: str = ""

    @property
    def is_suspect(self) -> bool:
        """Whether an operator should inspect the record and its writer."""
        return self.reason in _SUSPECT_REASONS


_SUSPECT_REASONS = (
    Reason.UNDECODABLE,
    Reason.UNKNOWN_SCHEMA,
    Reason.SNAPSHOT_DIFFERS,
)

Verdict = Accepted | Rejected | Ignored


class TableGapError(errors.HoistmoorError):
    """One or more records of the table's stream are missing."""

    def __init__(self, expected: int, offset: int) -> None:
        super().__init__(
            f"received table record {offset} instead of {expected}",
            f"Read the stream again from offset {expected}.",
        )


def decode_record(payload: bytes) -> object:
    """Decodes ``payload``; returns ``Undecodable`` if that fails."""
    try:
        return codec.decode(payload)
    except errors.CodecError as error:
        return Undecodable(error.problem)


class TableFold:
    """State machine that applies the records of the table's stream.

    Attributes:
        as_of: Offset of the last record applied; -1 before the first.
        active: The active table and its revision.
        history: Recent edits, for conflict detection and deduplication.
    """

    def __init__(self) -> None:
        self.as_of = -1
        self.active = model.ActiveTable(-1, model.Table())
        self.history = edit_history.EditHistory()

    @classmethod
    def from_snapshot(cls, snapshot: edits.TableSnapshot) -> TableFold:
        """Restores the fold to its state after record ``snapshot.as_of``."""
        fold = cls()
        fold.as_of = snapshot.as_of
        fold.active = model.ActiveTable(snapshot.revision, snapshot.table)
        fold.history = edit_history.EditHistory.from_snapshot(snapshot)
        return fold

    def snapshot(self) -> edits.TableSnapshot:
        """Returns the complete state, identical on all hosts at an offset."""
        return edits.TableSnapshot(
            self.as_of,
            self.active.revision,
            self.active.table,
            self.history.copy_last_changes(),
            self.history.copy_recent_edits(),
        )

    def apply(self, offset: int, record: object) -> Verdict:
        """Applies the next record and returns the verdict on it.

        Args:
            offset: Offset of the record.
            record: The record as returned by ``decode_record``.

        Raises:
            TableGapError: The preceding record has not been applied.
        """
        if offset <= self.as_of:
            return Ignored(offset, Reason.ALREADY_APPLIED)
        if offset != self.as_of + 1:
            raise TableGapError(self.as_of + 1, offset)
        self.as_of = offset
        self.history.evict_edit_ids(offset)
        return self._apply_record(record, offset)

    @functools.singledispatchmethod
    def _apply_record(self, record: object, offset: int) -> Verdict:
        return Ignored(offset, Reason.UNDECODABLE, type(record).__name__)

    @_apply_record.register
    def _(self, record: Undecodable, offset: int) -> Verdict:
        return Ignored(offset, Reason.UNDECODABLE, record.problem)

    @_apply_record.register
    def _(self, record: edits.TableSnapshot, offset: int) -> Verdict:
        why = Reason.SNAPSHOT
        if record.as_of == offset - 1 and not self._matches(record):
            why = Reason.SNAPSHOT_DIFFERS
        return Ignored(offset, why, f"as of {record.as_of}")

    @_apply_record.register
    def _(self, record: edits.TableEdit, offset: int) -> Verdict:
        if record.schema not in check.RULES:
            return Ignored(offset, Reason.UNKNOWN_SCHEMA, str(record.schema))
        first_offset = self.history.first_offset(record.edit_id)
        if first_offset is not None:
            return Ignored(
                offset, Reason.REPEAT, f"of the edit at {first_offset}"
            )
        self.history.record_edit_id(record.edit_id, offset)
        why = _find_format_error(record, offset)
        if why is not None:
            return Rejected(offset, record, why)
        conflicts = tuple(self._find_conflicts(record))
        if conflicts:
            return Rejected(offset, record, Reason.ROW_CHANGED, conflicts)
        return self._validate_and_apply(record, offset)

    def _validate_and_apply(
        self, edit: edits.TableEdit, offset: int
    ) -> Verdict:
        table = edits.apply(self.active.table, edit.changes)
        faults = check.RULES[edit.schema](table)
        if faults:
            return Rejected(offset, edit, Reason.CHECK_FAILED, faults=faults)
        mark = edits.LastChange(offset, edit.author)
        for change in edit.changes:
            before = sheets.rows_of(self.active.table, change.sheet)
            self.history.record_change(change, mark, before)
        self.active = model.ActiveTable(offset, table)
        return Accepted(offset, edit)

    def _find_conflicts(self, edit: edits.TableEdit) -> Iterator[Conflict]:
        for change in edit.changes:
            mark = self.history.change_since(change.name, edit.base_revision)
            if mark is not None:
                yield Conflict(change.name, mark.author, mark.revision)

    def _matches(self, snapshot: edits.TableSnapshot) -> bool:
        own = self.active
        return (snapshot.revision, snapshot.table) == (
            own.revision,
            own.table,
        )


def _find_format_error(edit: edits.TableEdit, offset: int) -> Reason | None:
    """Returns why an edit is invalid regardless of the table, if it is."""
    rows = {change.name for change in edit.changes}
    if not rows:
        return Reason.EMPTY
    if len(rows) != len(edit.changes):
        return Reason.REPEATED_ROW
    if not -1 <= edit.base_revision < offset:
        return Reason.BASE_IN_FUTURE
    if not edit_history.is_base_covered(edit.base_revision, offset):
        return Reason.BASE_TOO_OLD
    return None
