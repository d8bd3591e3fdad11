"""Rollouts of slow and of good versions, simulated from order to end."""

from __future__ import annotations

import pytest
import rollout_simulation as simulation
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import phases

SEEDS = range(8)
BAD_RESPONSES = 50
ROLLBACK_SECONDS = 5.0

HALF_SLOW = simulation.Behavior(factor=8.0, slow=0.5)
ALL_SLOW = simulation.Behavior(factor=4.0, slow=1.0)
SLOW_ON_ONE_ROUTE = simulation.Behavior(factor=8.0, slow=1.0, routes=("plan",))
SLOW_FROM_SECOND_NINE = simulation.Behavior(factor=8.0, slow=0.5, begins_at=9.0)
FAILING_ON_ONE_ROUTE = simulation.Behavior(failing=0.5, routes=("plan",))

USUAL = simulation.Deployment()
SHORT_ORDER = simulation.Deployment(duration=8.0)
MANY_HOSTS = simulation.Deployment(hosts=60, rate=120.0)
FEW_REQUESTS = simulation.Deployment(rate=5.0, duration=24.0)


def check_bounds(result: simulation.Result) -> None:
    """Checks that a bad version got no more than operators allow."""
    limit = simulation.LIMIT
    allowed = limit.share * result.sent + limit.tolerance
    assertions.assert_that(result.exposed <= allowed, matchers.Is(True))
    assertions.assert_that(
        result.exposed_after(BAD_RESPONSES, ROLLBACK_SECONDS),
        matchers.Equals(0),
    )
    assertions.assert_that(
        phases.Phase.COMPLETE in result.changes, matchers.Is(False)
    )


@pytest.mark.parametrize(
    ("deployment", "behavior"),
    [
        (USUAL, HALF_SLOW),
        (USUAL, ALL_SLOW),
        (USUAL, SLOW_ON_ONE_ROUTE),
        (USUAL, FAILING_ON_ONE_ROUTE),
        (SHORT_ORDER, HALF_SLOW),
        (MANY_HOSTS, HALF_SLOW),
        (FEW_REQUESTS, HALF_SLOW),
    ],
)
def test_bad_version_stays_within_its_bounds_and_is_reverted(
    deployment: simulation.Deployment, behavior: simulation.Behavior
) -> None:
    for seed in SEEDS:
        check_bounds(simulation.simulate(deployment, behavior, seed))


def test_version_that_turns_slow_during_the_trial_stays_within_its_bounds() -> (
    None
):
    for seed in SEEDS:
        check_bounds(simulation.simulate(USUAL, SLOW_FROM_SECOND_NINE, seed))


@pytest.mark.parametrize("deployment", [USUAL, MANY_HOSTS])
def test_good_version_is_completed_in_time(
    deployment: simulation.Deployment,
) -> None:
    in_time = 0
    for seed in SEEDS:
        changes = simulation.simulate(deployment, seed=seed).changes
        assertions.assert_that(
            phases.Phase.REVERTED in changes, matchers.Is(False)
        )
        completed = changes.get(phases.Phase.COMPLETE, float("inf"))
        in_time += completed <= deployment.duration
    assertions.assert_that(in_time >= len(SEEDS) - 1, matchers.Is(True))


def test_good_version_with_longer_prompts_is_completed() -> None:
    behavior = simulation.Behavior(harder=1.3)
    for seed in SEEDS:
        changes = simulation.simulate(USUAL, behavior, seed).changes
        assertions.assert_that(
            phases.Phase.COMPLETE in changes, matchers.Is(True)
        )


def test_version_without_evidence_waits() -> None:
    deployment = simulation.Deployment(rate=1.0)
    for seed in SEEDS:
        changes = simulation.simulate(deployment, HALF_SLOW, seed).changes
        assertions.assert_that(
            phases.Phase.SPREAD in changes, matchers.Is(False)
        )
