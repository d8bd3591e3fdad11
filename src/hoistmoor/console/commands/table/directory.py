"""Reads and writes directories with the sheets of a table.

``show --out`` also writes a base file there with a snapshot of the table that
the sheets are edited against, so that ``publish`` can distinguish the
operator's own changes from those of others.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core.table import check
from hoistmoor.core.table import edits
from hoistmoor.core.table import model
from hoistmoor.core.table import problems
from hoistmoor.core.table import sheets

if TYPE_CHECKING:
    import pathlib

BASE_FILE = ".hoistmoor-base.json"


class SheetFaultsError(errors.ConfigurationError):
    """The sheets have faults and cannot be published.

    Attributes:
        faults: All faults that were found.
    """

    def __init__(
        self, directory: pathlib.Path, faults: tuple[problems.Fault, ...]
    ) -> None:
        super().__init__(
            f"the sheets in {directory} have {len(faults)} faults",
            "Correct the cells listed above.",
        )
        self.faults = faults


@attrs.frozen
class Sheets:
    """Contents of a directory.

    Attributes:
        table: Table that the sheets describe.
        base: Snapshot that the sheets are edited against; None if they were
            not written by ``show --out``.
    """

    table: model.Table
    base: edits.TableSnapshot | None


def read(directory: pathlib.Path) -> Sheets:
    """Reads and validates the sheets in ``directory``.

    Raises:
        ConfigurationError: The directory does not exist, a sheet is not UTF-8
            text, or the base file is damaged.
        SheetFaultsError: The sheets have faults.
    """
    if not directory.is_dir():
        raise errors.ConfigurationError(
            f"directory {directory} does not exist", "Check the path."
        )
    paths = sorted(directory.glob(f"*{sheets.SUFFIX}"))
    result = check.check_sheets({path.name: _read_text(path) for path in paths})
    if result.faults:
        raise SheetFaultsError(directory, result.faults)
    return Sheets(result.table, _read_base(directory))


def write(
    directory: pathlib.Path, table: model.Table, base: edits.TableSnapshot
) -> None:
    """Writes the sheets of ``table`` and the base file."""
    directory.mkdir(parents=True, exist_ok=True)
    for name, text in sheets.render_sheets(table).items():
        (directory / name).write_text(text, encoding="utf-8")
    (directory / BASE_FILE).write_bytes(codec.encode(base))


def print_faults(error: SheetFaultsError) -> None:
    """Writes each fault to standard error."""
    for fault in error.faults:
        sys.stderr.write(f"{fault}\n")
    sys.stderr.write(f"hoistmoor: {error}\n")


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise errors.ConfigurationError(
            f"{path} is not UTF-8 text", "Save the sheet as CSV in UTF-8."
        ) from error


def _read_base(directory: pathlib.Path) -> edits.TableSnapshot | None:
    path = directory / BASE_FILE
    if not path.exists():
        return None
    try:
        base = codec.decode(path.read_bytes())
    except errors.CodecError as error:
        raise errors.ConfigurationError(
            f"{path} is damaged", "Run `hoistmoor table show --out` again."
        ) from error
    if not isinstance(base, edits.TableSnapshot):
        raise errors.ConfigurationError(
            f"{path} is not a table snapshot",
            "Run `hoistmoor table show --out` again.",
        )
    return base
