"""``hoistmoor-load experiment``: compares routing policies."""

from __future__ import annotations

import importlib
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from hoistmoor.core import errors
from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import scenarios

_REPORT = "hoistmoor.load.experiment.report"
_RUNS = "hoistmoor.load.experiment.runs"


@cappa.command(
    name="experiment",
    help="Compares the router with baselines on a virtual clock.",
)
@attrs.frozen(kw_only=True)
class Experiment:
    """Runs each policy in each scenario with each seed.

    Attributes:
        table: Directory of a deployment's sheets.
        scenario: Names of scenarios; empty for all.
        policy: Names of policies; empty for all.
        seeds: Number of runs of each, with seeds from 1.
        scale: Factor on the scenarios' durations, for short trials.
        plots: Directory for plots; None to draw none.
    """

    table: Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help="Directory of a deployment's sheets."),
    ]
    scenario: Annotated[
        list[str],
        cappa.Arg(long=True, help="Name of a scenario; default: all."),
    ] = attrs.field(factory=list)
    policy: Annotated[
        list[str], cappa.Arg(long=True, help="Name of a policy; default: all.")
    ] = attrs.field(factory=list)
    seeds: Annotated[
        int, cappa.Arg(long=True, help="Number of runs of each.")
    ] = 3
    scale: Annotated[
        float, cappa.Arg(long=True, help="Factor on the durations.")
    ] = 1.0
    plots: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Directory for plots."),
    ] = None

    def __call__(self) -> int:
        """Runs the experiment and prints its tables."""
        # The plots need packages that are installed only for development.
        report_lib = importlib.import_module(_REPORT)
        runs = importlib.import_module(_RUNS)
        deployment = deployment_lib.load(self.table)
        names = _select("--scenario", self.scenario, scenarios.NAMES)
        policies = _select("--policy", self.policy, runs.POLICIES)
        results = []
        for name in names:
            scenario = scenarios.make_scenario(name, deployment, self.scale)
            for seed in range(1, self.seeds + 1):
                for policy in policies:
                    results.append(runs.run(deployment, scenario, policy, seed))
                sys.stderr.write(f"{name}: seed {seed} done\n")
        report = report_lib.Report(deployment.name, tuple(results))
        sys.stdout.write(report.markdown())
        if self.plots is not None:
            for path in report_lib.draw(report, self.plots):
                sys.stderr.write(f"drew {path}\n")
        return 0


def _select(
    flag: str, wanted: list[str], known: tuple[str, ...]
) -> tuple[str, ...]:
    for name in wanted:
        if name not in known:
            raise errors.ConfigurationError(
                f"{flag} {name} is unknown",
                f"Use one of: {', '.join(known)}.",
            )
    return tuple(wanted) or known


COMMANDS = (Experiment,)
