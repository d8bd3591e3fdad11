"""Runs policies in scenarios and collects their metrics."""

from __future__ import annotations

import attrs

from hoistmoor.core.table import model
from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import hoistmoor_policy
from hoistmoor.load.experiment import metrics as metrics_lib
from hoistmoor.load.experiment import oracle as oracle_lib
from hoistmoor.load.experiment import policies
from hoistmoor.load.experiment import quality_model as quality_model_lib
from hoistmoor.load.experiment import scenarios
from hoistmoor.load.experiment import simulation

POLICIES = ("oracle", "hoistmoor", *policies.BASELINES)


@attrs.frozen
class Run:
    """The result of one policy in one scenario with one seed.

    Attributes:
        policy: Name of the policy.
        scenario: Name of the scenario.
        seed: Random seed.
        metrics: Metrics of the run.
    """

    policy: str
    scenario: str
    seed: int
    metrics: metrics_lib.Metrics


def run(
    deployment: deployment_lib.Deployment,
    scenario: scenarios.Scenario,
    policy_name: str,
    seed: int,
) -> Run:
    """Runs a policy in a scenario."""
    world = make_world(deployment, scenario, seed)
    policy = _make_policy(policy_name, deployment, world, seed)
    simulated = simulation.Simulation(deployment, scenario, policy, world, seed)
    if isinstance(policy, oracle_lib.Oracle):
        policy.engines = simulated.engines
    scaled = attrs.evolve(
        deployment, plain_rate=deployment.plain_rate * scenario.plain_load
    )
    arrivals = deployment_lib.generate_arrivals(
        scaled, scenario.duration, scenario.load, seed, scenario.diurnal
    )
    return Run(policy_name, scenario.name, seed, simulated.run(arrivals))


def make_world(
    deployment: deployment_lib.Deployment,
    scenario: scenarios.Scenario,
    seed: int,
) -> quality_model_lib.QualityModel:
    """Returns the ground truth of a scenario and seed."""
    shifts = {kind: s.log_odds_shift for kind, s in deployment.kinds.items()}
    world = quality_model_lib.make_quality_model(
        deployment.table, shifts, scenario.regressions, seed
    )
    if not scenario.candidate_quality:
        return world
    candidates = {
        row.key
        for row in deployment.table.versions.values()
        if row.stage is model.Stage.CANDIDATE
    }
    qualities = {
        (key, kind): scenario.candidate_quality
        if key in candidates
        else quality
        for (key, kind), quality in world.qualities.items()
    }
    return quality_model_lib.QualityModel(qualities, scenario.regressions)


def _make_policy(
    name: str,
    deployment: deployment_lib.Deployment,
    world: quality_model_lib.QualityModel,
    seed: int,
) -> policies.Policy:
    if name == "oracle":
        return oracle_lib.Oracle(deployment, world)
    if name == "hoistmoor":
        return hoistmoor_policy.RouterPolicy(deployment, seed)
    return policies.make_baseline(name, deployment, seed)
