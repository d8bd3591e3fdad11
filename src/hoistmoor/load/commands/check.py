"""``hoistmoor-load check``: verifies all promises on a recorded history."""

from __future__ import annotations

import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from hoistmoor.history import checker
from hoistmoor.history import files


@cappa.command(
    name="check", help="Checks the recorded history of a run.", description=" "
)
@attrs.frozen(kw_only=True)
class Check:
    """Checks a history and prints each violation of a promise.

    Attributes:
        file: The history, as JSON lines.
    """

    file: Annotated[
        pathlib.Path, cappa.Arg(help="History of a run, as JSON lines.")
    ]

    def __call__(self) -> int:
        """Returns 0 if the run kept all promises, else 1."""
        recorded = files.read_history(self.file)
        violations = checker.check(
            recorded.history,
            recorded.terms.once_items,
            frozenset(recorded.terms.crashed),
        )
        for violation in violations:
            sys.stdout.write(f"{violation.promise}: {violation.detail}\n")
        sys.stdout.write(
            f"{len(recorded.history.events)} events, "
            f"{len(violations)} violations\n"
        )
        return 1 if violations else 0
