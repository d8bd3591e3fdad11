"""Log records that edit the table, and snapshots of it.

The structure and unstructure hooks for these records are registered with the
codec when this module is imported.
"""

from __future__ import annotations

from typing import Any

import attrs

from hoistmoor.core import codec
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets

SCHEMA = 1


@attrs.frozen
class RowSet:
    """Inserts a row, or replaces the row with the same key.

    Attributes:
        sheet: Name of the sheet.
        key: Key of the row.
        row: The new row.
    """

    sheet: str
    key: str
    row: model.Row

    @property
    def name(self) -> sheets.RowName:
        """Returns the name of the changed row."""
        return sheets.RowName(self.sheet, self.key)


@attrs.frozen
class RowDelete:
    """Deletes a row.

    Attributes:
        sheet: Name of the sheet.
        key: Key of the row.
    """

    sheet: str
    key: str

    @property
    def name(self) -> sheets.RowName:
        """Returns the name of the changed row."""
        return sheets.RowName(self.sheet, self.key)


Change = RowSet | RowDelete


@attrs.frozen
class TableEdit:
    """An atomic edit: either all of its changes are applied or none.

    Attributes:
        edit_id: Unique ID. It makes retries idempotent when the response to an
            append was lost.
        base_revision: Offset of the last record that the author had read. The
            edit is rejected if any of its rows has changed since.
        author: Author shown in the history.
        at: Creation time shown in the history, in seconds since the epoch.
        changes: The row changes, at most one per row.
        schema: Number of the validation rules that hosts apply to it.
    """

    edit_id: str
    base_revision: int
    author: str
    at: float
    changes: tuple[Change, ...]
    schema: int = SCHEMA


@attrs.frozen
class LastChange:
    """The last change of a row.

    Attributes:
        revision: Offset of the edit.
        author: Author of the edit.
    """

    revision: int
    author: str


@attrs.frozen
class TableSnapshot:
    """The complete state of the fold after a given record of the log.

    Attributes:
        as_of: Offset of the last record applied.
        revision: Offset of the latest accepted edit.
        table: The active table.
        marks: Last change of each row by sheet and key, including recently
            deleted rows.
        recent_edits: Offset of each recent edit by its ID.
        schema: Number of the validation rules that were applied.
    """

    as_of: int
    revision: int
    table: model.Table
    marks: dict[str, dict[str, LastChange]]
    recent_edits: dict[str, int]
    schema: int = SCHEMA


def diff(old: model.Table, new: model.Table) -> tuple[Change, ...]:
    """Returns the changes that transform ``old`` into ``new``."""
    changes: list[Change] = []
    for sheet in sheets.SHEETS:
        before = sheets.rows_of(old, sheet)
        after = sheets.rows_of(new, sheet)
        changes.extend(
            RowSet(sheet, key, row)
            for key, row in after.items()
            if before.get(key) != row
        )
        changes.extend(
            RowDelete(sheet, key) for key in before if key not in after
        )
    return tuple(changes)


def apply(table: model.Table, changes: tuple[Change, ...]) -> model.Table:
    """Returns a copy of ``table`` with ``changes`` applied."""
    changed_sheets = {change.sheet for change in changes}
    copies = {
        sheet: dict(sheets.rows_of(table, sheet)) for sheet in changed_sheets
    }
    for change in changes:
        rows = copies[change.sheet]
        if isinstance(change, RowSet):
            rows[change.key] = change.row
        else:
            rows.pop(change.key, None)
    return attrs.evolve(table, **copies)


def _structure_row_set(fields: dict[str, Any], _: type[RowSet]) -> RowSet:
    """Structures the row by its sheet and derives the key from the row."""
    row_class = sheets.SHEETS[fields["sheet"]].row_class
    row = codec.converter.structure(fields["row"], row_class)
    # The converter coerces types, such as the string "no" to True. Comparing
    # the round trip with the input rejects every row that needs coercion.
    if codec.converter.unstructure(row) != fields["row"]:
        raise ValueError(f"row {row.key!r} has a cell of a wrong type")
    return RowSet(fields["sheet"], row.key, row)


def _structure_change(fields: dict[str, Any], _: Any) -> Change:
    if "row" in fields:
        return _structure_row_set(fields, RowSet)
    sheet = sheets.SHEETS[fields["sheet"]].name
    return RowDelete(sheet, str(fields["key"]))


def _unstructure_row_set(change: RowSet) -> dict[str, Any]:
    row = codec.converter.unstructure(change.row)
    return {"sheet": change.sheet, "row": row}


codec.converter.register_unstructure_hook(RowSet, _unstructure_row_set)
codec.converter.register_structure_hook(RowSet, _structure_row_set)
codec.converter.register_structure_hook_func(
    lambda hint: hint == Change, _structure_change
)
codec.register("table_edit", TableEdit)
codec.register("table_snapshot", TableSnapshot)
