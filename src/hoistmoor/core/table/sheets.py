"""Parsing and rendering of the table as CSV sheets.

Each sheet corresponds to a row class of ``model`` and has a column for each
attribute of that class. Lists in a cell are separated by spaces.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
import csv
import io
from typing import Any

import attrs

from hoistmoor.core.table import columns
from hoistmoor.core.table import model
from hoistmoor.core.table import problems

SUFFIX = ".csv"


@attrs.frozen
class Sheet:
    """One sheet of the table.

    Attributes:
        name: Name of the sheet and of its attribute in ``model.Table``.
        row_class: Class of its rows.
        columns: Columns in the order of the header.
    """

    name: str
    row_class: type[Any]
    columns: tuple[columns.Column, ...]

    @property
    def header(self) -> list[str]:
        """Returns the names of the columns."""
        return [column.name for column in self.columns]


def _make_sheet(name: str, row_class: type[Any]) -> Sheet:
    return Sheet(name, row_class, columns.columns_of(row_class))


SHEETS: dict[str, Sheet] = {
    sheet.name: sheet
    for sheet in (
        _make_sheet("accounts", model.Account),
        _make_sheet("versions", model.Version),
        _make_sheet("grants", model.Grant),
        _make_sheet("services", model.Service),
        _make_sheet("calls", model.Call),
        _make_sheet("servers", model.Server),
        _make_sheet("limits", model.Limit),
    )
}


@attrs.frozen(order=True)
class RowName:
    """Identifies a row of the table.

    Attributes:
        sheet: Name of the sheet.
        key: Key of the row within it.
    """

    sheet: str
    key: str

    def __str__(self) -> str:
        """Returns the text for messages."""
        return f"{self.sheet} row {self.key!r}"


@attrs.frozen
class SheetsResult:
    """Result of parsing the sheets of a table.

    Attributes:
        table: The parsed rows. Cells that failed to parse hold placeholders,
            so the table must be used only if there are no faults.
        faults: All faults found.
        lines: Line number of each row in its sheet, counted from 1.
    """

    table: model.Table
    faults: tuple[problems.Fault, ...]
    lines: Mapping[RowName, int]

    def locate(self, fault: problems.Fault) -> problems.Fault:
        """Returns ``fault`` with the line number of its row."""
        line = self.lines.get(RowName(fault.sheet, fault.row), fault.line)
        return attrs.evolve(fault, line=line)


def rows_of(table: model.Table, sheet: str) -> dict[str, Any]:
    """Returns the rows of one sheet by key."""
    rows: dict[str, Any] = getattr(table, sheet)
    return rows


def parse_sheets(files: Mapping[str, str]) -> SheetsResult:
    """Parses a table from the text of its sheets.

    Args:
        files: Text of each sheet by file name, such as ``accounts.csv``.

    Returns:
        The parsed rows and all parse faults. References between rows are
        validated by ``check.check_table``.
    """
    parser = _Parser()
    for unknown in sorted(set(files) - {name + SUFFIX for name in SHEETS}):
        parser.report_unknown_file(unknown)
    for sheet in SHEETS.values():
        parser.parse_sheet(sheet, files.get(sheet.name + SUFFIX))
    return SheetsResult(
        model.Table(**parser.rows), tuple(parser.faults), parser.lines
    )


def render_sheets(table: model.Table) -> dict[str, str]:
    """Returns the text of each sheet by file name, rows sorted by key."""
    return {
        sheet.name + SUFFIX: _render(sheet, rows_of(table, sheet.name))
        for sheet in SHEETS.values()
    }


def _render(sheet: Sheet, rows: Mapping[str, Any]) -> str:
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(sheet.header)
    for key in sorted(rows):
        row = rows[key]
        writer.writerow(
            column.render(getattr(row, column.name)) for column in sheet.columns
        )
    return out.getvalue()


@attrs.define
class _Parser:
    """Parser that accumulates rows and faults across sheets."""

    rows: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    faults: list[problems.Fault] = attrs.field(factory=list)
    lines: dict[RowName, int] = attrs.field(factory=dict)

    def report_unknown_file(self, file_name: str) -> None:
        sheet = file_name.removesuffix(SUFFIX)
        self.faults.append(
            problems.Fault(
                sheet,
                problems.WHOLE_SHEET,
                problems.WHOLE_ROW,
                "there is no sheet with this name",
                f"Remove the file; the known sheets are {', '.join(SHEETS)}.",
            )
        )

    def parse_sheet(self, sheet: Sheet, text: str | None) -> None:
        self.rows[sheet.name] = {}
        header = ",".join(sheet.header)
        if text is None:
            problem = "the sheet is missing"
            remedy = f"Add a file with at least the header {header}."
            self._report(sheet, 0, "", problem, remedy)
            return
        lines = csv.reader(io.StringIO(text.removeprefix("\ufeff")))
        found = [cell.strip() for cell in next(lines, [])]
        if found != sheet.header:
            problem = f"the header is {','.join(found)!r}"
            self._report(sheet, 1, "", problem, f"Write the header {header}.")
            return
        for cells in self._records(sheet, lines):
            self._parse_row(sheet, lines.line_num, cells)

    def _records(self, sheet: Sheet, lines: Any) -> Iterator[list[str]]:
        """Yields the rows that are not blank, up to the first CSV error."""
        try:
            for cells in lines:
                if any(cell.strip() for cell in cells):
                    yield cells
        except csv.Error as error:
            problem = f"the rest of the sheet is not valid CSV ({error})"
            remedy = "Save the sheet again as CSV."
            self._report(sheet, lines.line_num, "", problem, remedy)

    def _parse_row(self, sheet: Sheet, line: int, cells: list[str]) -> None:
        expected = len(sheet.columns)
        if len(cells) != expected:
            problem = f"the row has {len(cells)} cells instead of {expected}"
            remedy = "Write one cell per column; quote a cell that has a comma."
            self._report(sheet, line, "", problem, remedy)
            return
        values = self._parse_cells(sheet, line, cells)
        self._add_row(sheet, line, sheet.row_class(**values))

    def _parse_cells(
        self, sheet: Sheet, line: int, cells: list[str]
    ) -> dict[str, Any]:
        """Returns the cell values, with placeholders for invalid cells."""
        values: dict[str, Any] = {}
        for column, cell in zip(sheet.columns, cells, strict=True):
            try:
                values[column.name] = column.parse(cell.strip())
            except columns.CellError as error:
                values[column.name] = column.placeholder
                self._report(sheet, line, column.name, str(error), error.remedy)
        return values

    def _add_row(self, sheet: Sheet, line: int, row: Any) -> None:
        name = RowName(sheet.name, row.key)
        if name in self.lines:
            problem = f"the row is already on line {self.lines[name]}"
            self._report(
                sheet, line, "", problem, "Remove one of them.", row.key
            )
            return
        self.lines[name] = line
        self.rows[sheet.name][row.key] = row

    def _report(
        self,
        sheet: Sheet,
        line: int,
        column: str,
        problem: str,
        remedy: str,
        row: str = "",
    ) -> None:
        self.faults.append(
            problems.Fault(sheet.name, row, column, problem, remedy, line)
        )
