"""Tables, changes and verdicts as lines of text."""

from __future__ import annotations

from collections.abc import Iterator
import datetime
import functools

from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets


def changes(old: model.Table, made: tuple[edits.Change, ...]) -> Iterator[str]:
    """Yields a line per row added or removed, and per cell changed."""
    for change in made:
        before = sheets.rows_of(old, change.sheet).get(change.key)
        yield from _change(change, before)


def _change(change: edits.Change, before: model.Row | None) -> Iterator[str]:
    if isinstance(change, edits.RowDelete):
        yield f"- {change.name}"
        return
    if before is None:
        yield f"+ {change.name}"
        return
    for column in sheets.SHEETS[change.sheet].columns:
        was = getattr(before, column.name)
        now = getattr(change.row, column.name)
        if was != now:
            shown = f"{column.render(was)} -> {column.render(now)}"
            yield f"~ {change.name} {column.name}: {shown}"


@functools.singledispatch
def verdict(result: object) -> Iterator[str]:
    """Yields the lines that tell what became of a record."""
    raise TypeError(type(result))


@verdict.register
def _(result: fold.Accepted) -> Iterator[str]:
    yield f"{_head(result.offset, result.edit)}: accepted"


@verdict.register
def _(result: fold.Rejected) -> Iterator[str]:
    yield f"{_head(result.offset, result.edit)}: rejected ({result.reason})"
    yield from rejection(result)


@verdict.register
def _(result: fold.Ignored) -> Iterator[str]:
    yield f"{result.offset}: {result.reason} {result.detail}".rstrip()


def rejection(result: fold.Rejected) -> Iterator[str]:
    """Yields why an edit was rejected, a line per row or fault."""
    for clash in result.conflicts:
        yield f"  {clash}"
    for fault in result.faults:
        yield f"  {fault}"


def _head(offset: int, edit: edits.TableEdit) -> str:
    at = datetime.datetime.fromtimestamp(edit.at, datetime.UTC)
    rows = len(edit.changes)
    return (
        f"{offset}: {at:%Y-%m-%d %H:%M:%S}Z {edit.author},"
        f" {rows} {'row' if rows == 1 else 'rows'},"
        f" edit {edit.edit_id}, base {edit.base_revision}"
    )
