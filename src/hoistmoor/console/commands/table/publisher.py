"""Puts an edit on the log and finds out what became of it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
import uuid

import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets

if TYPE_CHECKING:
    from hoistmoor.clients import log
    from hoistmoor.console.commands.table import log_table

SETTLE_SECONDS = 10.0  # How long to look for an edit whose reply was lost.
RETRY_SECONDS = 0.2


@attrs.frozen
class Plan:
    """An edit about to be published.

    Attributes:
        edit: The edit.
        expected: What would become of it if no other edit came first.
    """

    edit: edits.TableEdit
    expected: fold.Verdict


def plan(
    current: fold.TableFold,
    wanted: model.Table,
    base: edits.TableSnapshot | None,
    author: str,
    now: float,
) -> Plan | None:
    """Returns the edit that makes the table as wanted; None if it is so.

    Args:
        current: The table as the log tells it.
        wanted: The operator's table.
        base: What the operator's table was made from, if that is known.
        author: Who publishes.
        now: Seconds since the epoch.
    """
    table = current.active.table
    old = base.table if base else table
    still_needed = {change.name for change in edits.diff(table, wanted)}
    changes = tuple(
        change
        for change in edits.diff(old, wanted)
        if change.name in still_needed
    )
    if not changes:
        return None
    seen = base.as_of if base else current.as_of
    edit = edits.TableEdit(uuid.uuid4().hex, seen, author, now, changes)
    trial = fold.TableFold.from_snapshot(current.snapshot())
    return Plan(edit, trial.apply(trial.as_of + 1, edit))


def foreign_rows(
    current: fold.TableFold, edit: edits.TableEdit
) -> tuple[fold.Conflict, ...]:
    """Returns the rows of ``edit`` that somebody else changed last."""
    found = []
    for change in edit.changes:
        mark = current.history.last_change(change.name)
        if mark is not None and mark.author != edit.author:
            found.append(fold.Conflict(change.name, mark.author, mark.revision))
    return tuple(found)


class Publisher:
    """Appends edits and settles them by their ids."""

    def __init__(
        self,
        client: log.LogClient,
        table: log_table.LogTable,
        settle_seconds: float = SETTLE_SECONDS,
    ) -> None:
        """Makes a publisher that reads the log through ``table``."""
        self.client = client
        self.table = table
        self.settle_seconds = settle_seconds

    async def publish(self, edit: edits.TableEdit) -> fold.Verdict:
        """Appends ``edit``, once, and returns what became of it.

        Raises:
            LogUnavailableError: The edit is not on the log.
            LogOutcomeUnknownError: It is not known whether it is.
        """
        # An edit without a reply is found by its id, like any other.
        with contextlib.suppress(errors.LogOutcomeUnknownError):
            await self.client.append(streams.TABLE, codec.encode(edit))
        return await self._settle(edit.edit_id)

    async def _settle(self, edit_id: str) -> fold.Verdict:
        try:
            async with asyncio.timeout(self.settle_seconds):
                return await self._find(edit_id)
        except TimeoutError as error:
            raise errors.LogOutcomeUnknownError(
                f"edit {edit_id} may or may not be on the log",
                "Look for it with `hoistmoor table history`; publishing "
                "again is safe.",
            ) from error

    async def _find(self, edit_id: str) -> fold.Verdict:
        while True:
            # The first copy on the log decides.
            for verdict in await self._read():
                if _edit_id(verdict) == edit_id:
                    return verdict
            await asyncio.sleep(RETRY_SECONDS)

    async def _read(self) -> tuple[fold.Verdict, ...]:
        try:
            return (await self.table.read()).verdicts
        except errors.PlatformError:
            return ()


def _edit_id(verdict: fold.Verdict) -> str:
    if isinstance(verdict, fold.Ignored):
        return ""
    return verdict.edit.edit_id


def row_count(edit: edits.TableEdit) -> str:
    """Returns how many rows ``edit`` changes, in words, by sheet."""
    counts = {
        sheet: sum(change.sheet == sheet for change in edit.changes)
        for sheet in sheets.SHEETS
    }
    return ", ".join(f"{n} in {sheet}" for sheet, n in counts.items() if n)
