"""Runs ``python -m hoistmoor.load.experiment``."""

from __future__ import annotations

import sys

import cappa

from hoistmoor.core import errors
from hoistmoor.load.experiment import command

_EXIT_USAGE = 2


def main() -> int:
    """Runs the command and returns its exit code."""
    try:
        return int(cappa.invoke(command.Experiment) or 0)
    except errors.HoistmoorError as error:
        sys.stderr.write(f"experiment: {error}\n")
        return _EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
