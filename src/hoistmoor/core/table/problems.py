"""Faults of a table, described so that an operator can fix them."""

from __future__ import annotations

import attrs

WHOLE_SHEET = ""
WHOLE_ROW = ""


@attrs.frozen(order=True)
class Fault:
    """A fault because of which a table is rejected.

    Attributes:
        sheet: Name of the sheet.
        row: Key of the row; empty if the fault concerns the whole sheet or
            the row could not be parsed.
        column: Name of the column; empty if the fault concerns the whole row.
        problem: Description of the fault, one sentence without a full stop.
        remedy: How to fix it, one sentence.
        line: Line number in the CSV file, counted from 1; 0 if unknown.
    """

    sheet: str
    row: str
    column: str
    problem: str
    remedy: str
    line: int = 0

    def __str__(self) -> str:
        """Returns the fault as one line of text."""
        location = [f"{self.sheet}.csv"]
        if self.line:
            location.append(f"line {self.line}")
        if self.row:
            location.append(f"row {self.row!r}")
        if self.column:
            location.append(f"column {self.column}")
        return f"{', '.join(location)}: {self.problem}. {self.remedy}"
