"""Tables and plots of experiment results."""

from __future__ import annotations

import attrs
import matplotlib
from matplotlib import figure as figure_lib
import numpy as np

from hoistmoor.load.experiment import runs

matplotlib.use("Agg")

from typing import TYPE_CHECKING

from matplotlib import pyplot

if TYPE_CHECKING:
    from collections.abc import Sequence
    import pathlib


@attrs.frozen
class Column:
    """A column of the report.

    Attributes:
        name: Name of the metric in the summary.
        title: Heading.
        digits: Number of decimal places.
    """

    name: str
    title: str
    digits: int = 0


COLUMNS = (
    Column("cost_per_good", "cost per good answer"),
    Column("cost_per_answer", "cost per answer"),
    Column("good_share", "good share", 3),
    Column("target", "target", 3),
    Column("at_target", "traffic at target", 2),
    Column("confirm_p50_ms", "confirm p50 ms"),
    Column("confirm_p99_ms", "confirm p99 ms"),
    Column("ttft_p95_s", "first token p95 s", 2),
    Column("gap_p95_ms", "gap p95 ms"),
    Column("bad_after_turn", "bad after turn"),
    Column("refusals", "refused"),
    Column("unserved", "unserved"),
    Column("wasted_share", "wasted tokens", 3),
)


@attrs.frozen
class Cell:
    """A metric aggregated over the seeds.

    Attributes:
        mean: Mean value.
        low: Minimum.
        high: Maximum.
    """

    mean: float
    low: float
    high: float

    def text(self, digits: int) -> str:
        """Returns the mean, followed by the range if values differ."""
        if np.isnan(self.mean):
            return "-"
        mean = f"{self.mean:.{digits}f}"
        low, high = f"{self.low:.{digits}f}", f"{self.high:.{digits}f}"
        return mean if low == high else f"{mean} ({low}..{high})"


_EMPTY_CELL = Cell(float("nan"), float("nan"), float("nan"))


@attrs.frozen
class Report:
    """The report on all runs of a deployment.

    Attributes:
        name: Name of the deployment.
        runs: Results of the runs.
    """

    name: str
    runs: tuple[runs.Run, ...]

    @property
    def scenarios(self) -> list[str]:
        """Names of the scenarios, in run order."""
        return list(dict.fromkeys(run.scenario for run in self.runs))

    @property
    def policies(self) -> list[str]:
        """Names of the policies, in run order."""
        return list(dict.fromkeys(run.policy for run in self.runs))

    def cell(self, scenario: str, policy: str, figure: str) -> Cell:
        """Returns a metric aggregated over the seeds."""
        values = [
            run.metrics.summary()[figure]
            for run in self.runs
            if (run.scenario, run.policy) == (scenario, policy)
        ]
        if not values:
            return _EMPTY_CELL
        return Cell(float(np.mean(values)), min(values), max(values))

    def markdown(self) -> str:
        """Returns one table per scenario."""
        return "\n".join(self._table(name) for name in self.scenarios)

    def _table(self, scenario: str) -> str:
        titles = " | ".join(column.title for column in COLUMNS)
        separator = "|".join(["---"] + ["---:"] * len(COLUMNS))
        lines = [f"### {self.name}: {scenario}", ""]
        lines += [f"| policy | {titles} |", f"|{separator}|"]
        for policy in self.policies:
            cells = " | ".join(
                self.cell(scenario, policy, column.name).text(column.digits)
                for column in COLUMNS
            )
            lines.append(f"| {policy} | {cells} |")
        lines += self._detection_lines(scenario)
        return "\n".join([*lines, ""])

    def _detection_lines(self, scenario: str) -> list[str]:
        """Returns the detection limit and what the router withdrew."""
        lines = []
        limit = self.cell(scenario, "hoistmoor", "bad_limit")
        if not np.isnan(limit.mean):
            lines += ["", f"Detection limit: {limit.text(0)} bad responses."]
        for run in self.runs:
            if (run.scenario, run.policy) == (scenario, "hoistmoor"):
                withdrawn = ", ".join(
                    f"{key} at {at:.0f} s"
                    for key, at in run.metrics.withdrawn_at.items()
                )
                if withdrawn:
                    lines += ["", f"Seed {run.seed} withdrew {withdrawn}."]
        return lines


def draw(report: Report, directory: pathlib.Path) -> list[pathlib.Path]:
    """Draws the plots into ``directory`` and returns their paths."""
    directory.mkdir(parents=True, exist_ok=True)
    drawn = []
    if "day" in report.scenarios:
        drawn.append(_draw_cost(report, directory))
    regressed = [
        name
        for name in report.scenarios
        if report.cell(name, report.policies[-1], "bad_after_turn").high > 0
    ]
    if regressed:
        drawn.append(_draw_exposure(report, regressed, directory))
    if {"half-load", "overload"} <= set(report.scenarios):
        drawn.append(_draw_confirms(report, directory))
    return drawn


def _draw_cost(report: Report, directory: pathlib.Path) -> pathlib.Path:
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy in report.policies:
        cost = report.cell("day", policy, "cost_per_answer")
        good = report.cell("day", policy, "good_share")
        axes.errorbar(
            good.mean,
            cost.mean,
            xerr=[[good.mean - good.low], [good.high - good.mean]],
            yerr=[[cost.mean - cost.low], [cost.high - cost.mean]],
            fmt="o",
            label=policy,
        )
    target = report.cell("day", report.policies[0], "target").mean
    axes.axvline(target, color="grey", linestyle="--", label="mean target")
    axes.set_xlabel("fraction of good responses")
    axes.set_ylabel("cost per response, micros")
    axes.set_title(f"{report.name}: ordinary day")
    axes.legend(fontsize=8)
    return _save(figure, directory / f"{report.name}-cost.png")


def _draw_exposure(
    report: Report, scenarios: Sequence[str], directory: pathlib.Path
) -> pathlib.Path:
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    width = 0.8 / len(report.policies)
    for position, policy in enumerate(report.policies):
        cells = [
            report.cell(name, policy, "bad_after_turn") for name in scenarios
        ]
        axes.bar(
            [i + position * width for i in range(len(scenarios))],
            [cell.mean for cell in cells],
            width,
            yerr=[
                [cell.mean - cell.low for cell in cells],
                [cell.high - cell.mean for cell in cells],
            ],
            label=policy,
        )
    axes.set_xticks([i + 0.4 for i in range(len(scenarios))], scenarios)
    axes.set_ylabel("bad responses delivered after the regression")
    axes.set_title(f"{report.name}: exposure")
    axes.legend(fontsize=7)
    return _save(figure, directory / f"{report.name}-exposure.png")


def _draw_confirms(report: Report, directory: pathlib.Path) -> pathlib.Path:
    figure, axes = pyplot.subplots(figsize=(8, 4))
    positions = range(len(report.policies))
    for offset, scenario in ((-0.2, "half-load"), (0.2, "overload")):
        heights = [
            report.cell(scenario, policy, "confirm_p99_ms").mean
            for policy in report.policies
        ]
        axes.bar([x + offset for x in positions], heights, 0.4, label=scenario)
    axes.set_xticks(list(positions), report.policies, rotation=20, fontsize=8)
    axes.set_ylabel("confirm p99, ms")
    axes.set_title(f"{report.name}: confirms at half and twice capacity")
    axes.legend()
    return _save(figure, directory / f"{report.name}-confirms.png")


def _save(figure: figure_lib.Figure, path: pathlib.Path) -> pathlib.Path:
    figure.tight_layout()
    figure.savefig(path, dpi=90, metadata={"Software": None})
    pyplot.close(figure)
    return path
