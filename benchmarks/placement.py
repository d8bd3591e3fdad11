"""Measures placement on polled load reports, in wide and current deployments.

Run with ``python benchmarks/placement.py [SIZE ...]``; see ``SIZES``. The
router runs on a virtual clock and polls at the rate of the entry hosts.
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
WIDE_SECONDS = 120.0  # Virtual time; a run takes one to two minutes.
TODAY_SECONDS = 600.0  # Virtual time.
BUSY_LOAD = 2.0
BUSY_FRACTION = 0.8  # Load of the plain pool as a fraction of its capacity.


@attrs.frozen
class Result:
    """Results of one simulation.

    Attributes:
        confirm_p50: Median milliseconds of a plain call.
        confirm_p99: Its 99th percentile.
        first_token_p50: Median seconds to the first token.
        first_token_p95: Its 95th percentile.
        wait_p95: 95th percentile of the seconds from a model attempt to its
            first token, whether or not the response is held back.
        declines: Attempts that a server declined, per request.
        refused: Refusals per request.
        unserved: Fraction of requests without a response.
        age: Median age in seconds of the load report of the chosen server.
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


def run(size: str, seed: int) -> Result:
    """Simulates one size with one seed."""
    deployment = deployment_lib.load(_TABLES / "taemsuk")
    scenario = scenarios.Scenario(size, TODAY_SECONDS)
    if size.startswith("wide"):
        deployment = large_deployment.at_design_scale(deployment)
        scenario = scenarios.Scenario(size, WIDE_SECONDS)
    elif size == "today-busy":
        plain_load = (
            BUSY_FRACTION * scenarios.half_load_factor(deployment) / BUSY_LOAD
        )
        scenario = attrs.evolve(
            scenario,
            load=BUSY_LOAD,
            plain_load=plain_load,
            length=TODAY_SECONDS / 2,
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
    scaled = attrs.evolve(
        deployment, plain_rate=deployment.plain_rate * scenario.plain_load
    )
    arrivals = deployment_lib.generate_arrivals(
        scaled, scenario.duration, scenario.load, seed, diurnal=False
    )
    measures = simulation.run(arrivals)
    return _make_result(measures, simulation, len(arrivals))


def _make_result(
    measures: metrics_lib.Metrics,
    simulation: polling.PolledSimulation,
    requests: int,
) -> Result:
    unserved = measures.unserved_requests + measures.unserved_plain_calls
    return Result(
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
            start = time.process_time()
            result = run(size, seed)
            write(
                f"{size:12} {seed:5} {result.confirm_p50:12.0f} "
                f"{result.confirm_p99:7.0f} {result.first_token_p50:16.2f} "
                f"{result.first_token_p95:6.2f} {result.wait_p95:14.2f} "
                f"{result.declines:9.2%} "
                f"{result.refused:8.2%} {result.unserved:9.2%} "
                f"{result.age:6.1f}\n"
            )
            sys.stderr.write(f"{time.process_time() - start:.0f} s\n")


if __name__ == "__main__":
    main()
