"""Placement on load reports that each host polls, wide and at today's sizes.

Run with ``python benchmarks/placement.py [SIZE ...]``; see ``SIZES``. The
router is driven on a virtual clock at the entry hosts' rate of polls.
"""

from __future__ import annotations

import pathlib
import statistics
import sys
import time

import attrs
import numpy as np

from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import hoistmoor_policy
from hoistmoor.load.experiment import large_deployment
from hoistmoor.load.experiment import metrics as metrics_lib
from hoistmoor.load.experiment import polling
from hoistmoor.load.experiment import runs
from hoistmoor.load.experiment import scenarios

_TABLES = pathlib.Path(__file__).parents[1] / "examples"
SIZES = ("wide", "wide-probed", "today", "today-busy", "today-probed")
SEEDS = (1, 2, 3)
WIDE_S = 120.0  # Virtual seconds; a run takes a minute or two.
TODAY_S = 600.0
BUSY_LOAD = 2.0
BUSY_SHARE = 0.8  # Of the plain pool's capacity that is offered.


@attrs.frozen
class Row:
    """What one run is judged by.

    Attributes:
        confirm_p50: Median milliseconds of a plain call.
        confirm_p99: Its 99th percentile.
        first_token_p50: Median seconds to the first token.
        first_token_p95: Its 95th percentile.
        wait_p95: 95th percentile of the seconds from a model attempt to its
            first token, whether the answer is held or not.
        declines: Attempts that a server declined, as a share of requests.
        refused: Refusals, as a share of requests.
        unserved: Requests that got no answer, as a share.
        age: Median age of the report of a chosen server, in seconds.
    """

    confirm_p50: float
    confirm_p99: float
    first_token_p50: float
    first_token_p95: float
    wait_p95: float
    declines: float
    refused: float
    unserved: float
    age: float


def run(size: str, seed: int) -> Row:
    """Runs one size with one seed."""
    deployment = deployment_lib.load(_TABLES / "taemsuk")
    scenario = scenarios.Scenario(size, TODAY_S)
    if size.startswith("wide"):
        deployment = large_deployment.at_design_scale(deployment)
        scenario = scenarios.Scenario(size, WIDE_S)
    elif size == "today-busy":
        plain = BUSY_SHARE * scenarios.half_load_factor(deployment) / BUSY_LOAD
        scenario = attrs.evolve(
            scenario, load=BUSY_LOAD, plain_load=plain, length=TODAY_S / 2
        )
    world = runs.make_world(deployment, scenario, seed)
    policy = hoistmoor_policy.RouterPolicy(deployment, seed)
    simulation = polling.PolledSimulation(
        deployment,
        scenario,
        policy,
        world,
        seed,
        is_probing=size.endswith("-probed"),
    )
    shaped = attrs.evolve(
        deployment, plain_rate=deployment.plain_rate * scenario.plain_load
    )
    arrivals = deployment_lib.generate_arrivals(
        shaped, scenario.duration, scenario.load, seed, diurnal=False
    )
    measures = simulation.run(arrivals)
    return _row(measures, simulation, len(arrivals))


def _row(
    measures: metrics_lib.Metrics,
    simulation: polling.PolledSimulation,
    requests: int,
) -> Row:
    unserved = measures.unserved_requests + measures.unserved_plain_calls
    return Row(
        1000 * float(np.percentile(measures.plain_seconds, 50)),
        1000 * float(np.percentile(measures.plain_seconds, 99)),
        float(np.percentile(measures.first_token_seconds, 50)),
        float(np.percentile(measures.first_token_seconds, 95)),
        float(np.percentile(simulation.first_token_waits, 95)),
        simulation.declines / requests,
        measures.refusals / requests,
        unserved / requests,
        statistics.median(simulation.report_ages),
    )


def main() -> None:
    """Prints a line for each size and seed."""
    write = sys.stdout.write
    write(
        "size          seed  confirm p50  p99 ms  first token p50  p95 s"
        "  attempt p95 s  declined  refused  unserved  age s\n"
    )
    for size in sys.argv[1:] or SIZES:
        for seed in SEEDS:
            began = time.process_time()
            row = run(size, seed)
            write(
                f"{size:12} {seed:5} {row.confirm_p50:12.0f} "
                f"{row.confirm_p99:7.0f} {row.first_token_p50:16.2f} "
                f"{row.first_token_p95:6.2f} {row.wait_p95:14.2f} "
                f"{row.declines:9.2%} "
                f"{row.refused:8.2%} {row.unserved:9.2%} {row.age:6.1f}\n"
            )
            sys.stderr.write(f"{time.process_time() - began:.0f} s\n")


if __name__ == "__main__":
    main()
