"""``hoistmoor table show``: prints the table or fetches it for edits."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import sheet_directory as directories
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core import errors
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets

_Sheet = Annotated[
    str | None, cappa.Arg(long="--sheet", help="Print only this sheet.")
]
_Out = Annotated[
    str | None,
    cappa.Arg(long="--out", help="Write the sheets to this directory."),
]
_Revision = Annotated[
    int | None,
    cappa.Arg(long="--revision", help="Older revision, to revert to."),
]


@attrs.frozen
class Selection:
    """Table of the requested revision.

    Attributes:
        current: Fold of the table's stream, with the active table.
        revision: Requested revision.
        table: Table of that revision.
    """

    current: fold.TableFold
    revision: int
    table: model.Table


@cappa.command(
    name="show", help="Print or fetch the active table.", description=" "
)
@attrs.frozen(kw_only=True)
class Show:
    """Shows the table of a revision.

    Attributes:
        log_url: Base URL of the platform's log.
        sheet: Name of the sheet to print; None for all.
        out: Directory to write the sheets to instead of printing them.
        revision: Revision to show; None for the active one.
    """

    log_url: table_reader.LogUrl
    sheet: _Sheet = None
    out: _Out = None
    revision: _Revision = None

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the sheets, or writes them to a directory."""
        if self.sheet is not None and self.sheet not in sheets.SHEETS:
            raise errors.ConfigurationError(
                f"--sheet: unknown sheet {self.sheet!r}",
                f"Choose one of: {', '.join(sheets.SHEETS)}.",
            )
        selection = asyncio.run(self._select())
        sys.stdout.write(f"revision {selection.revision}\n")
        if self.out is not None:
            # The base is the active table even if an older revision is shown.
            # Publishing the sheets then reverts the table to that revision,
            # and conflicts with later edits are detected.
            base = selection.current.snapshot()
            directories.write(pathlib.Path(self.out), selection.table, base)
            return exit_codes.ExitCode.DONE
        self._print(selection.table)
        return exit_codes.ExitCode.DONE

    async def _select(self) -> Selection:
        wanted = -1 if self.revision is None else self.revision
        async with sessions.make_session() as session:
            client = table_reader.make_log_client(session, self.log_url)
            reader = table_reader.TableReader(client, wanted)
            current = (await reader.read()).fold
        if self.revision is None:
            in_force = current.active
            return Selection(current, in_force.revision, in_force.table)
        if reader.kept_table is None:
            raise errors.ConfigurationError(
                f"--revision: the log does not hold revision {self.revision}",
                "Choose an accepted edit from `hoistmoor table history`.",
            )
        return Selection(current, self.revision, reader.kept_table)

    def _print(self, table: model.Table) -> None:
        for name, text in sheets.render_sheets(table).items():
            if self.sheet in (None, name.removesuffix(sheets.SUFFIX)):
                sys.stdout.write(f"\n{name}\n{text}")
