"""The oracle: a reference policy that knows true quality and current load.

Its results bound what a policy can reach. It knows the true quality of each
version and how confidence predicts it, learns of a regression as soon as it
happens, and sees the current load of each server. It does not know the
difficulty of a request, nor whether a response will be good. It plans with the
same cascades as the router, per kind of request, without safety margins or
exploration.
"""

from __future__ import annotations

import statistics

import attrs
import numpy as np

from hoistmoor.core.routing import cascade
from hoistmoor.core.routing import hashing
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.table import model
from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import engine as engine_lib
from hoistmoor.load.experiment import policies
from hoistmoor.load.experiment import quality_model as quality_model_lib

_GRID = 240
_NOISE_GRID = 15


def _normal_grid(size: int) -> np.ndarray:
    normal = statistics.NormalDist()
    return np.array([normal.inv_cdf((i + 0.5) / size) for i in range(size)])


class Oracle(policies.Policy):
    """Plans on the true quality and places on the current load.

    Attributes:
        name: Name in reports.
        deployment: The deployment.
        world: The ground truth.
        engines: The simulated backend servers; set before the run.
        table: The table in force.
        plans: Plans by kind, target, use of a session and true quality.
        tokens: Mean prompt and output tokens by kind.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        world: quality_model_lib.QualityModel,
    ) -> None:
        """Creates an oracle; ``engines`` must be set before it is used."""
        self.name = "oracle"
        self.deployment = deployment
        self.world = world
        self.engines: dict[str, engine_lib.SimulatedEngine] = {}
        self.table = model.Table()
        self.plans: dict[tuple[object, ...], cascade.Plan] = {}
        self.tokens = {
            kind: (shape.median_prompt * 1.08, shape.median_output * 1.13)
            for kind, shape in deployment.kinds.items()
        }

    def on_table(self, table: model.Table, revision: int) -> None:
        """Applies a new table."""
        del revision
        self.table = table
        self.plans.clear()

    def choose(
        self, query: policies.Query, now: float
    ) -> policies.Decision | policies.Refusal:
        """Returns where to send a model request."""
        eligible = self._eligible_versions(query, now)
        if not eligible:
            return policies.Refusal()
        if query.pin in {row.key for row in eligible}:
            return (
                self._place(str(query.pin), query, None) or policies.Refusal()
            )
        plan = self._plan(query, eligible, now)
        key = query.arrival.session or f"{query.arrival.number:x}"
        policy = plan.policy(hashing.uniform(key, 3))
        others = sorted(eligible, key=lambda row: -row.prior_quality)
        return (
            self._place(policy.start, query, policy)
            or next(
                filter(None, (self._place(r.key, query, None) for r in others)),
                None,
            )
            or policies.Refusal()
        )

    def _eligible_versions(
        self, query: policies.Query, now: float
    ) -> list[model.Version]:
        return [
            row
            for row in self.table.versions.values()
            if row.stage in (model.Stage.ACTIVE, model.Stage.CANDIDATE)
            and self.table.grant_for(query.arrival.account, row)
            and self._remaining_quality(row, query.arrival.kind, now) > 0.8
        ]

    def _remaining_quality(
        self, row: model.Version, kind: str, now: float
    ) -> float:
        left = self.world.remaining_fraction(row.key, kind, now)
        quality = self.world.qualities[row.key, kind]
        return left * min(1.0, quality / max(0.01, row.prior_quality - 0.2))

    def _place(
        self, version: str, query: policies.Query, policy: cascade.Policy | None
    ) -> policies.Decision | None:
        candidates = [
            engine
            for engine in self.engines.values()
            if version in engine.versions and self._accepts(engine, query)
        ]
        if not candidates:
            return None
        best = min(candidates, key=_current_load)
        hold = policy is not None and bool(policy.then)
        return policies.Decision(version, best.name, hold, policy)

    def _accepts(
        self, engine: engine_lib.SimulatedEngine, query: policies.Query
    ) -> bool:
        return (
            engine.is_up
            and engine.running < engine.capacity
            and engine.name not in query.excluded
        )

    def judge(
        self,
        query: policies.Query,
        decision: policies.Decision,
        confidence: float,
        now: float,
    ) -> policies.Decision | None:
        """Returns where to escalate by the plan, or None to accept."""
        del now
        policy: cascade.Policy = decision.detail
        if quality_estimates.bucket_of(confidence) >= policy.threshold:
            return None
        escalation = attrs.evolve(query, excluded=frozenset())
        return self._place(policy.then, escalation, None)

    def choose_server(
        self, query: policies.Query, now: float
    ) -> policies.Decision | policies.Refusal:
        """Returns the plain server with the lowest current load."""
        del now
        service = self.deployment.plain_service
        candidates = [
            self.engines[row.server]
            for row in self.table.servers_by_service[service]
            if self._accepts(self.engines[row.server], query)
        ]
        if not candidates:
            return policies.Refusal()
        return policies.Decision("", min(candidates, key=_current_load).name)

    # Planning on the true quality.

    def _plan(
        self, query: policies.Query, eligible: list[model.Version], now: float
    ) -> cascade.Plan:
        kind = query.arrival.kind
        target = max(
            g.quality_target
            for g in self.table.grants.values()
            if g.account == query.arrival.account
        )
        key = (
            kind,
            target,
            bool(query.arrival.session),
            tuple(
                (
                    row.key,
                    round(self.world.remaining_fraction(row.key, kind, now), 2),
                )
                for row in eligible
            ),
        )
        if key not in self.plans:
            cascades = self._true_policies(
                eligible, kind, now, bool(query.arrival.session)
            )
            self.plans[key] = cascade.make_plan(cascades, target)
        return self.plans[key]

    def _true_policies(
        self,
        eligible: list[model.Version],
        kind: str,
        now: float,
        single_step: bool,
    ) -> list[cascade.Policy]:
        grid = _normal_grid(_GRID)
        chances = {
            row.key: np.array(
                [self.world.chance(row.key, kind, d, now) for d in grid]
            )
            for row in eligible
        }
        price = {
            r.key: cascade.expected_cost(r, self.tokens[kind]) for r in eligible
        }
        cascades = [
            cascade.Policy(key, 0, "", price[key], float(chance.mean()))
            for key, chance in chances.items()
        ]
        for first in () if single_step else chances:
            buckets = self._buckets(first, kind, grid)
            for second in chances:
                if price[first] < price[second]:
                    cascades += _true_cascades(
                        first, second, chances, price, buckets
                    )
        return cascades

    def _buckets(self, version: str, kind: str, grid: np.ndarray) -> np.ndarray:
        healthy = np.array(
            [self.world.healthy_chance(version, kind, d) for d in grid]
        )
        noise = _normal_grid(_NOISE_GRID) * quality_model_lib.CONFIDENCE_NOISE
        confidence = np.clip(healthy[:, None] + noise[None, :], 0.0, 1.0)
        return np.searchsorted(
            np.array(quality_estimates.BUCKET_EDGES), confidence, side="right"
        )


def _true_cascades(
    first: str,
    second: str,
    chances: dict[str, np.ndarray],
    price: dict[str, float],
    buckets: np.ndarray,
) -> list[cascade.Policy]:
    cascades = []
    for threshold in range(1, quality_estimates.BUCKET_COUNT):
        escalated = (buckets < threshold).mean(axis=1)
        quality = chances[first] * (1 - escalated)
        quality = quality + chances[second] * escalated
        cost = price[first] + float(escalated.mean()) * price[second]
        cascades.append(
            cascade.Policy(
                first, threshold, second, cost, float(quality.mean())
            )
        )
    return cascades


def _current_load(engine: engine_lib.SimulatedEngine) -> float:
    busy = engine.running + len(engine.queue)
    return engine.slowness * (busy + 1) / engine.capacity
