"""Formats changes of the table and verdicts on edits as lines of text."""

from __future__ import annotations

from collections.abc import Iterator
import datetime
import functools

from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets


def changes(
    old: model.Table, edit_changes: tuple[edits.Change, ...]
) -> Iterator[str]:
    """Yields one line per added or deleted row and per changed cell."""
    for change in edit_changes:
        old_row = sheets.rows_of(old, change.sheet).get(change.key)
        yield from _describe_change(change, old_row)


def _describe_change(
    change: edits.Change, old_row: model.Row | None
) -> Iterator[str]:
    if isinstance(change, edits.RowDelete):
        yield f"- {change.name}"
        return
    if old_row is None:
        yield f"+ {change.name}"
        return
    for column in sheets.SHEETS[change.sheet].columns:
        old_value = getattr(old_row, column.name)
        new_value = getattr(change.row, column.name)
        if old_value != new_value:
            values = f"{column.render(old_value)} -> {column.render(new_value)}"
            yield f"~ {change.name} {column.name}: {values}"


@functools.singledispatch
def verdict(result: object) -> Iterator[str]:
    """Yields the lines that describe the outcome of a record."""
    raise TypeError(type(result))


@verdict.register
def _(result: fold.Accepted) -> Iterator[str]:
    yield f"{_summary(result.offset, result.edit)}: accepted"


@verdict.register
def _(result: fold.Rejected) -> Iterator[str]:
    yield f"{_summary(result.offset, result.edit)}: rejected ({result.reason})"
    yield from rejection(result)


@verdict.register
def _(result: fold.Ignored) -> Iterator[str]:
    yield f"{result.offset}: {result.reason} {result.detail}".rstrip()


def rejection(result: fold.Rejected) -> Iterator[str]:
    """Yields one line per conflict or fault that an edit was rejected for."""
    for conflict in result.conflicts:
        yield f"  {conflict}"
    for fault in result.faults:
        yield f"  {fault}"


def _summary(offset: int, edit: edits.TableEdit) -> str:
    at = datetime.datetime.fromtimestamp(edit.at, datetime.UTC)
    rows = len(edit.changes)
    return (
        f"{offset}: {at:%Y-%m-%d %H:%M:%S}Z {edit.author},"
        f" {rows} {'row' if rows == 1 else 'rows'},"
        f" edit {edit.edit_id}, base {edit.base_revision}"
    )
