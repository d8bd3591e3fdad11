"""``hoistmoor table publish``: publishes sheets as an edit of the table."""

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
from hoistmoor.console.commands.table import propagation_report
from hoistmoor.console.commands.table import publisher
from hoistmoor.console.commands.table import sheet_directory as directories
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core.table import fold

_Overwrite = Annotated[
    bool,
    cappa.Arg(long="--overwrite", help="Also replace rows changed by others."),
]


@cappa.command(
    name="publish", help="Publish the sheets to all hosts.", description=" "
)
@attrs.frozen(kw_only=True)
class Publish:
    """Publishes sheets as one edit.

    Attributes:
        directory: Directory with the sheets.
        author: Name of the operator.
        log_url: Base URL of the platform's log.
        hosts_url: Base URL of the host list; empty to use ``log_url``.
        wait: Seconds to wait until the edit is active on every entry host.
        overwrite: Whether sheets without a base may replace rows that others
            have changed.
    """

    directory: str
    author: propagation_report.Author
    log_url: table_reader.LogUrl
    hosts_url: table_reader.HostsUrl = ""
    wait: propagation_report.Wait = propagation_report.WAIT_SECONDS
    overwrite: _Overwrite = False

    def __call__(self) -> exit_codes.ExitCode:
        """Publishes the sheets and reports the outcome."""
        try:
            contents = directories.read(pathlib.Path(self.directory))
        except directories.SheetFaultsError as error:
            directories.print_faults(error)
            return exit_codes.ExitCode.FAULTS
        return asyncio.run(self._run(contents))

    async def _run(self, contents: directories.Sheets) -> exit_codes.ExitCode:
        async with sessions.make_session() as session:
            client = table_reader.make_log_client(session, self.log_url)
            table = table_reader.TableReader(client)
            revision = await self._publish(client, table, contents)
            if revision is None:
                return exit_codes.ExitCode.REJECTED
            self._refresh_sheets(contents, (await table.read()).fold)
            return await propagation_report.wait_and_report(
                session, self.hosts_url or self.log_url, revision, self.wait
            )

    async def _publish(
        self,
        client: log.LogClient,
        table: table_reader.TableReader,
        contents: directories.Sheets,
    ) -> int | None:
        """Publishes the edit unless the table already matches the sheets.

        Returns:
            The revision that matches the sheets; None if nothing was changed
            because the edit was rejected or would replace rows of others.
        """
        current = (await table.read()).fold
        plan = publisher.plan_edit(
            current, contents.table, contents.base, self.author, time.time()
        )
        if plan is None:
            _print_line("nothing to change")
            return current.active.revision
        if contents.base is None and not self.overwrite:
            clashes = publisher.rows_changed_by_others(current, plan.edit)
            if clashes:
                _report_foreign_rows(clashes)
                return None
        verdict = plan.expected_verdict
        if isinstance(verdict, fold.Accepted):
            verdict = await publisher.Publisher(
                client, table, publisher.SETTLE_SECONDS
            ).publish(plan.edit)
        if not isinstance(verdict, fold.Accepted):
            _report_rejection(verdict)
            return None
        _print_line(f"accepted as revision {verdict.offset}")
        _print_line(f"changed {publisher.describe_row_counts(plan.edit)}")
        return verdict.offset

    def _refresh_sheets(
        self, contents: directories.Sheets, current: fold.TableFold
    ) -> None:
        """Rewrites sheets from ``show --out`` with the active table."""
        if contents.base is None:
            return
        directory = pathlib.Path(self.directory)
        try:
            directories.write(
                directory, current.active.table, current.snapshot()
            )
        except OSError as error:
            # The edit has been accepted, so the command still succeeds.
            _print_error(f"cannot update the sheets in {directory}: {error}")


def _report_foreign_rows(clashes: tuple[fold.Conflict, ...]) -> None:
    for clash in clashes:
        _print_error(f"the sheets would undo a change by another: {clash}")
    _print_error(
        "nothing was changed; fetch the table with `hoistmoor table show "
        "--out DIR` and edit that, or add --overwrite to replace these rows"
    )


def _report_rejection(verdict: fold.Verdict) -> None:
    for line in describe.verdict(verdict):
        _print_error(line)
    _print_error(
        "nothing was changed; fetch the table with `hoistmoor table show "
        "--out DIR`, make the edit there and publish again"
    )


def _print_line(line: str) -> None:
    sys.stdout.write(f"{line}\n")


def _print_error(line: str) -> None:
    sys.stderr.write(f"{line}\n")
