"""Appends an edit to the log and determines its outcome."""

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
    from hoistmoor.console.commands.table import table_reader

SETTLE_SECONDS = 10.0  # How long to look for an edit whose reply was lost.
POLL_INTERVAL = 0.2  # Seconds.


@attrs.frozen
class EditPlan:
    """An edit to be published.

    Attributes:
        edit: The edit.
        expected_verdict: Verdict on the edit, provided that no other edit is
            accepted before it.
    """

    edit: edits.TableEdit
    expected_verdict: fold.Verdict


def plan_edit(
    current: fold.TableFold,
    wanted: model.Table,
    base: edits.TableSnapshot | None,
    author: str,
    now: float,
) -> EditPlan | None:
    """Returns the edit that turns the table into ``wanted``, if any is needed.

    The operator's changes are the differences between ``base`` and
    ``wanted``, so that changes which others made since the base are kept.
    Without a base, the result makes the whole table equal to ``wanted``.

    Args:
        current: State of the table on the log.
        wanted: Table that the operator wants.
        base: Snapshot that ``wanted`` is edited against; None if unknown.
        author: Name of the operator.
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
    base_revision = base.as_of if base else current.as_of
    edit = edits.TableEdit(
        uuid.uuid4().hex, base_revision, author, now, changes
    )
    preview = fold.TableFold.from_snapshot(current.snapshot())
    return EditPlan(edit, preview.apply(preview.as_of + 1, edit))


def rows_changed_by_others(
    current: fold.TableFold, edit: edits.TableEdit
) -> tuple[fold.Conflict, ...]:
    """Returns the rows of ``edit`` that another author has changed last."""
    clashes = []
    for change in edit.changes:
        last_change = current.history.last_change(change.name)
        if last_change is not None and last_change.author != edit.author:
            clashes.append(
                fold.Conflict(
                    change.name, last_change.author, last_change.revision
                )
            )
    return tuple(clashes)


class Publisher:
    """Appends edits and looks up their outcomes by edit id."""

    def __init__(
        self,
        client: log.LogClient,
        table: table_reader.TableReader,
        settle_seconds: float = SETTLE_SECONDS,
    ) -> None:
        """Creates a publisher.

        Args:
            client: Client of the log.
            table: Reader that outcomes are looked up with.
            settle_seconds: How long to look for an appended edit.
        """
        self.client = client
        self.table = table
        self.settle_seconds = settle_seconds

    async def publish(self, edit: edits.TableEdit) -> fold.Verdict:
        """Appends ``edit`` without retries and returns the verdict on it.

        Raises:
            LogUnavailableError: The edit is not on the log.
            LogOutcomeUnknownError: It is unknown whether the edit is on the
                log.
        """
        # If the reply is lost, the edit is still found by its id.
        with contextlib.suppress(errors.LogOutcomeUnknownError):
            await self.client.append(streams.TABLE, codec.encode(edit))
        return await self._wait_for_verdict(edit.edit_id)

    async def _wait_for_verdict(self, edit_id: str) -> fold.Verdict:
        try:
            async with asyncio.timeout(self.settle_seconds):
                return await self._find_verdict(edit_id)
        except TimeoutError as error:
            raise errors.LogOutcomeUnknownError(
                f"edit {edit_id} may or may not be on the log",
                "Look for it with `hoistmoor table history`; publishing "
                "again is safe.",
            ) from error

    async def _find_verdict(self, edit_id: str) -> fold.Verdict:
        while True:
            # If the log holds several copies, the first one is decisive.
            for verdict in await self._read_verdicts():
                if _edit_id_of(verdict) == edit_id:
                    return verdict
            await asyncio.sleep(POLL_INTERVAL)

    async def _read_verdicts(self) -> tuple[fold.Verdict, ...]:
        try:
            return (await self.table.read()).verdicts
        except errors.PlatformError:
            return ()


def _edit_id_of(verdict: fold.Verdict) -> str:
    if isinstance(verdict, fold.Ignored):
        return ""
    return verdict.edit.edit_id


def describe_row_counts(edit: edits.TableEdit) -> str:
    """Returns the number of rows that ``edit`` changes, by sheet, as text."""
    counts = {
        sheet: sum(change.sheet == sheet for change in edit.changes)
        for sheet in sheets.SHEETS
    }
    return ", ".join(
        f"{count} in {sheet}" for sheet, count in counts.items() if count
    )
