"""Polling of load reports by each host, and placement on these reports."""

from __future__ import annotations

import pathlib

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import hoistmoor_policy
from hoistmoor.load.experiment import large_deployment
from hoistmoor.load.experiment import polling
from hoistmoor.load.experiment import runs
from hoistmoor.load.experiment import scenarios

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
SEED = 1


@pytest.fixture(scope="module")
def deployment() -> deployment_lib.Deployment:
    return deployment_lib.load(EXAMPLES / "taemsuk")


def poll_for_seconds(poller: polling.HostPoller, seconds: float) -> list[str]:
    ticks = round(seconds * polling.MAX_POLLS_PER_SECOND)
    return [name for _ in range(ticks) if (name := poller.tick())]


def test_dispatches_set_the_poll_rate_of_a_host() -> None:
    poller = polling.HostPoller(["a", "b", "p"], {"llm": ["a", "b"]})
    idle = poll_for_seconds(poller, 12.0)
    assertions.assert_that(idle, matchers.Equals(["a", "b", "p"] * 4))
    poller.requested_polls.extend(["llm"] * 40)
    busy = poll_for_seconds(poller, 2.0)
    assertions.assert_that(busy, matchers.Equals(["a", "b"] * 6))
    assert not poller.requested_polls


def test_few_calls_are_lost_at_80_percent_of_capacity(
    deployment: deployment_lib.Deployment,
) -> None:
    scenario = scenarios.Scenario(
        "busy", 30.0, plain_load=0.8 * scenarios.half_load_factor(deployment)
    )
    busy = attrs.evolve(
        deployment, plain_rate=deployment.plain_rate * scenario.plain_load
    )
    arrivals = deployment_lib.generate_arrivals(
        busy, scenario.duration, scenario.load, SEED, diurnal=False
    )
    simulation = polling.PolledSimulation(
        deployment,
        scenario,
        hoistmoor_policy.RouterPolicy(deployment, SEED),
        runs.make_world(deployment, scenario, SEED),
        SEED,
    )
    result = simulation.run(arrivals)
    lost = result.unserved_plain_calls / max(1, len(result.plain_seconds))
    assertions.assert_that(lost, matchers.LessThan(0.01))
    assertions.assert_that(
        result.summary()["confirm_p99_ms"], matchers.LessThan(400.0)
    )
    assertions.assert_that(max(simulation.report_ages), matchers.LessThan(60.0))


def test_large_deployment_has_the_design_scale(
    deployment: deployment_lib.Deployment,
) -> None:
    result = large_deployment.at_design_scale(deployment)
    assertions.assert_that(result.table.servers, matchers.HasLength(1000))
    assertions.assert_that(result.hosts, matchers.Equals(360))
    replicas = sum(row.replicas for row in result.table.versions.values())
    assertions.assert_that(replicas, matchers.Equals(large_deployment.ENGINES))
    assertions.assert_that(
        result.model_rate + result.plain_rate, matchers.Equals(850.0)
    )
