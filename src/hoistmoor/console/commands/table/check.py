"""``hoistmoor table check``: validates sheets offline."""

from __future__ import annotations

import pathlib
import sys

import attrs
import cappa

from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import sheet_directory as directories
from hoistmoor.core.table import sheets


@cappa.command(
    name="check", help="Report every fault of the sheets.", description=" "
)
@attrs.frozen
class Check:
    """Validates sheets without access to the log.

    Attributes:
        directory: Directory with the sheets.
    """

    directory: str

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the faults, or the number of rows if there are none."""
        try:
            contents = directories.read(pathlib.Path(self.directory))
        except directories.SheetFaultsError as error:
            directories.print_faults(error)
            return exit_codes.ExitCode.FAULTS
        for sheet in sheets.SHEETS:
            count = len(sheets.rows_of(contents.table, sheet))
            sys.stdout.write(f"{sheet}: {count} rows\n")
        return exit_codes.ExitCode.DONE
