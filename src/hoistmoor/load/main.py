"""Entry point of ``hoistmoor-load``.

A command is an attrs class with its flags as attributes and a ``__call__``
that returns an exit code: 0 for success, 1 for failure, 2 for a usage error.
"""

from __future__ import annotations

import sys

import attrs
import cappa

import hoistmoor
from hoistmoor.core import errors
from hoistmoor.load.commands import check
from hoistmoor.load.commands import compare
from hoistmoor.load.commands import demo
from hoistmoor.load.commands import run
from hoistmoor.load.commands import wait
from hoistmoor.load.experiment import command as experiment

_EXIT_USAGE = 2


@cappa.command(
    name="hoistmoor-load", help="Load generation, comparisons and experiments."
)
@attrs.frozen
class Load:
    """Generates load, compares latencies, runs the demo and experiments."""

    command: cappa.Subcommands[
        run.Run
        | compare.Compare
        | check.Check
        | demo.Demo
        | experiment.Experiment
        | wait.Wait
    ]


def main(arguments: list[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    try:
        code = cappa.invoke(
            Load,
            argv=sys.argv[1:] if arguments is None else arguments,
            version=hoistmoor.__version__,
            completion=False,
        )
    except errors.HoistmoorError as error:
        sys.stderr.write(f"hoistmoor-load: {error}\n")
        return _EXIT_USAGE
    return int(code or 0)


if __name__ == "__main__":
    sys.exit(main())
