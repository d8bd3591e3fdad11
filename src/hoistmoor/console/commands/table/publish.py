"""``hoistmoor table publish``."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
from typing import Annotated

import attrs
import cappa

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import describe
from hoistmoor.console.commands.table import directory as directories
from hoistmoor.console.commands.table import log_table
from hoistmoor.console.commands.table import publisher
from hoistmoor.console.commands.table import spread_report
from hoistmoor.core.table import fold

_Overwrite = Annotated[
    bool,
    cappa.Arg(long="--overwrite", help="Also replace rows that others made."),
]


@cappa.command(name="publish", help="Put the sheets in force.", description=" ")
@attrs.frozen(kw_only=True)
class Publish:
    """Publishes sheets as one edit.

    Attributes:
        directory: Holds the sheets.
        author: Who publishes.
        log_url: Base URL of the platform's log.
        hosts_url: Base URL of the host list; empty where it is ``log_url``.
        wait: Seconds to wait until the edit is in force everywhere.
        overwrite: Whether sheets without a base may undo others' changes.
    """

    directory: str
    author: spread_report.Author
    log_url: log_table.LogUrl
    hosts_url: log_table.HostsUrl = ""
    wait: spread_report.Wait = spread_report.WAIT_SECONDS
    overwrite: _Overwrite = False

    def __call__(self) -> exit_codes.ExitCode:
        """Publishes, and tells what became of it."""
        try:
            found = directories.read(pathlib.Path(self.directory))
        except directories.SheetFaultsError as error:
            directories.report(error)
            return exit_codes.ExitCode.FAULTS
        return asyncio.run(self._run(found))

    async def _run(self, found: directories.Sheets) -> exit_codes.ExitCode:
        async with sessions.make_session() as session:
            client = log_table.client_of(session, self.log_url)
            table = log_table.LogTable(client)
            revision = await self._put(client, table, found)
            if revision is None:
                return exit_codes.ExitCode.REJECTED
            self._refresh(found, (await table.read()).fold)
            return await spread_report.wait_and_tell(
                session, self.hosts_url or self.log_url, revision, self.wait
            )

    async def _put(
        self,
        client: log.LogClient,
        table: log_table.LogTable,
        found: directories.Sheets,
    ) -> int | None:
        """Returns the revision that is as wanted; None if it was rejected."""
        current = (await table.read()).fold
        plan = publisher.plan(
            current, found.table, found.base, self.author, time.time()
        )
        if plan is None:
            _say("nothing to change")
            return current.active.revision
        if found.base is None and not self.overwrite:
            foreign = publisher.foreign_rows(current, plan.edit)
            if foreign:
                _tell_foreign(foreign)
                return None
        verdict = plan.expected
        if isinstance(verdict, fold.Accepted):
            verdict = await publisher.Publisher(
                client, table, publisher.SETTLE_SECONDS
            ).publish(plan.edit)
        if not isinstance(verdict, fold.Accepted):
            _tell_rejected(verdict)
            return None
        _say(f"accepted as revision {verdict.offset}")
        _say(f"changed {publisher.row_count(plan.edit)}")
        return verdict.offset

    def _refresh(
        self, found: directories.Sheets, current: fold.TableFold
    ) -> None:
        """Brings sheets that ``show --out`` made up to date."""
        if found.base is None:
            return
        where = pathlib.Path(self.directory)
        try:
            directories.write(where, current.active.table, current.snapshot())
        except OSError as error:  # The edit is accepted all the same.
            _complain(f"{where} was not brought up to date: {error}")


def _tell_foreign(foreign: tuple[fold.Conflict, ...]) -> None:
    for clash in foreign:
        _complain(f"the sheets would undo a change by another: {clash}")
    _complain(
        "nothing was changed; fetch the table with `hoistmoor table show "
        "--out DIR` and edit that, or add --overwrite to replace these rows"
    )


def _tell_rejected(verdict: fold.Verdict) -> None:
    for line in describe.verdict(verdict):
        _complain(line)
    _complain(
        "nothing was changed; fetch the table with `hoistmoor table show "
        "--out DIR`, make the edit there and publish again"
    )


def _say(line: str) -> None:
    sys.stdout.write(f"{line}\n")


def _complain(line: str) -> None:
    sys.stderr.write(f"{line}\n")
