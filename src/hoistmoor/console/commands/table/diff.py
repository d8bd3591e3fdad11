"""``hoistmoor table diff``: shows the changes that sheets would make."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import attrs
import cappa

from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import describe
from hoistmoor.console.commands.table import publisher
from hoistmoor.console.commands.table import sheet_directory as directories
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core.table import fold


@cappa.command(
    name="diff", help="Show what publishing would change.", description=" "
)
@attrs.frozen(kw_only=True)
class Diff:
    """Compares sheets with the active table.

    Attributes:
        directory: Directory with the sheets.
        log_url: Base URL of the platform's log.
    """

    directory: str
    log_url: table_reader.LogUrl

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the changes, and why they would be rejected if so."""
        try:
            contents = directories.read(pathlib.Path(self.directory))
        except directories.SheetFaultsError as error:
            directories.print_faults(error)
            return exit_codes.ExitCode.FAULTS
        current = asyncio.run(read_fold(self.log_url))
        plan = publisher.plan_edit(
            current, contents.table, contents.base, "", 0.0
        )
        if plan is None:
            return exit_codes.ExitCode.DONE
        planned = plan.edit.changes
        for line in describe.changes(current.active.table, planned):
            sys.stdout.write(f"{line}\n")
        if not isinstance(plan.expected_verdict, fold.Rejected):
            return exit_codes.ExitCode.DONE
        sys.stderr.write(
            f"would be rejected ({plan.expected_verdict.reason})\n"
        )
        for line in describe.rejection(plan.expected_verdict):
            sys.stderr.write(f"{line}\n")
        return exit_codes.ExitCode.REJECTED


async def read_fold(log_url: str) -> fold.TableFold:
    """Returns the fold of all records that are on the log now."""
    async with sessions.make_session() as session:
        table = table_reader.TableReader(
            table_reader.make_log_client(session, log_url)
        )
        return (await table.read()).fold
