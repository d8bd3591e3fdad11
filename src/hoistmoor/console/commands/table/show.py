"""``hoistmoor table show``."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import directory as directories
from hoistmoor.console.commands.table import log_table
from hoistmoor.core import errors
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets

_Sheet = Annotated[
    str | None, cappa.Arg(long="--sheet", help="One sheet only.")
]
_Out = Annotated[
    str | None,
    cappa.Arg(long="--out", help="Directory to write sheets to, for edits."),
]
_Revision = Annotated[
    int | None,
    cappa.Arg(long="--revision", help="An older revision, to go back to."),
]


@attrs.frozen
class Found:
    """What the log tells.

    Attributes:
        current: The table in force.
        revision: The revision asked for.
        table: The table of that revision.
    """

    current: fold.TableFold
    revision: int
    table: model.Table


@cappa.command(
    name="show", help="Print or fetch the table in force.", description=" "
)
@attrs.frozen(kw_only=True)
class Show:
    """Shows a table.

    Attributes:
        log_url: Base URL of the platform's log.
        sheet: Name of the sheet to print; None for all.
        out: Directory to write the sheets to instead of printing them.
        revision: The revision to show; None for the one in force.
    """

    log_url: log_table.LogUrl
    sheet: _Sheet = None
    out: _Out = None
    revision: _Revision = None

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the sheets, or writes them for an edit."""
        if self.sheet is not None and self.sheet not in sheets.SHEETS:
            raise errors.ConfigurationError(
                f"--sheet: there is no sheet {self.sheet!r}",
                f"Choose one of: {', '.join(sheets.SHEETS)}.",
            )
        found = asyncio.run(self._find())
        sys.stdout.write(f"revision {found.revision}\n")
        if self.out is not None:
            # The base is what is in force now, also below an older table: so
            # publishing the sheets goes back to it, and clashes show.
            base = found.current.snapshot()
            directories.write(pathlib.Path(self.out), found.table, base)
            return exit_codes.ExitCode.DONE
        self._print(found.table)
        return exit_codes.ExitCode.DONE

    async def _find(self) -> Found:
        wanted = -1 if self.revision is None else self.revision
        async with sessions.make_session() as session:
            client = log_table.client_of(session, self.log_url)
            log = log_table.LogTable(client, wanted)
            current = (await log.read()).fold
        if self.revision is None:
            in_force = current.active
            return Found(current, in_force.revision, in_force.table)
        if log.wanted_table is None:
            raise errors.ConfigurationError(
                f"--revision: the log does not hold revision {self.revision}",
                "Choose an accepted edit of `hoistmoor table history`.",
            )
        return Found(current, self.revision, log.wanted_table)

    def _print(self, table: model.Table) -> None:
        for name, text in sheets.render_sheets(table).items():
            if self.sheet in (None, name.removesuffix(sheets.SUFFIX)):
                sys.stdout.write(f"\n{name}\n{text}")
