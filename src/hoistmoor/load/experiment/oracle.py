"""The oracle: knows true quality and load, and so gives the limit.

It knows each version's true quality and how confidence foretells it, that a
version has turned bad at the moment it does, and each server's load now. It
does not know how hard a request is, nor how an answer will turn out. It plans
with the same kinds of policy as the router, per kind of request, with no
caution and no exploration.
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
from hoistmoor.load.experiment import world as world_lib

_GRID = 240
_NOISE_GRID = 15


def _normal_grid(size: int) -> np.ndarray:
    normal = statistics.NormalDist()
    return np.array([normal.inv_cdf((i + 0.5) / size) for i in range(size)])


class Oracle(policies.Policy):
    """Plans on the truth; places on the load as it is.

    Attributes:
        name: Its name in reports.
        deployment: The deployment.
        world: The truth.
        engines: The backend servers themselves; set before the run.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        world: world_lib.World,
    ) -> None:
        """Makes an oracle that still has to be shown the engines."""
        self.name = "oracle"
        self.deployment = deployment
        self.world = world
        self.engines: dict[str, engine_lib.Engine] = {}
        self.table = model.Table()
        self.plans: dict[tuple[object, ...], cascade.Plan] = {}
        self.tokens = {
            kind: (shape.prompt * 1.08, shape.output * 1.13)
            for kind, shape in deployment.kinds.items()
        }

    def on_table(self, table: model.Table, revision: int) -> None:
        """Takes a newer table."""
        del revision
        self.table = table
        self.plans.clear()

    def choose(
        self, ask: policies.Ask, now: float
    ) -> policies.Pick | policies.Refused:
        """Returns where to send a model request."""
        usable = self._usable(ask, now)
        if not usable:
            return policies.Refused()
        if ask.pin in {row.key for row in usable}:
            return self._pick(str(ask.pin), ask, None) or policies.Refused()
        plan = self._plan(ask, usable, now)
        key = ask.arrival.session or f"{ask.arrival.number:x}"
        policy = plan.policy(hashing.uniform(key, 3))
        others = sorted(usable, key=lambda row: -row.prior_quality)
        return (
            self._pick(policy.start, ask, policy)
            or next(
                filter(None, (self._pick(r.key, ask, None) for r in others)),
                None,
            )
            or policies.Refused()
        )

    def _usable(self, ask: policies.Ask, now: float) -> list[model.Version]:
        return [
            row
            for row in self.table.versions.values()
            if row.stage in (model.Stage.ACTIVE, model.Stage.CANDIDATE)
            and self.table.grant_for(ask.arrival.account, row)
            and self._quality_left(row, ask.arrival.kind, now) > 0.8
        ]

    def _quality_left(self, row: model.Version, kind: str, now: float) -> float:
        left = self.world.left(row.key, kind, now)
        quality = self.world.qualities[row.key, kind]
        return left * min(1.0, quality / max(0.01, row.prior_quality - 0.2))

    def _pick(
        self, version: str, ask: policies.Ask, policy: cascade.Policy | None
    ) -> policies.Pick | None:
        able = [
            engine
            for engine in self.engines.values()
            if version in engine.versions and self._takes(engine, ask)
        ]
        if not able:
            return None
        best = min(able, key=_true_load)
        hold = policy is not None and bool(policy.then)
        return policies.Pick(version, best.name, hold, policy)

    def _takes(self, engine: engine_lib.Engine, ask: policies.Ask) -> bool:
        return (
            engine.is_up
            and engine.running < engine.capacity
            and engine.name not in ask.excluded
        )

    def judge(
        self,
        ask: policies.Ask,
        pick: policies.Pick,
        confidence: float,
        now: float,
    ) -> policies.Pick | None:
        """Escalates as planned."""
        del now
        policy: cascade.Policy = pick.detail
        if quality_estimates.bucket_of(confidence) >= policy.threshold:
            return None
        fresh = attrs.evolve(ask, excluded=frozenset())
        return self._pick(policy.then, fresh, None)

    def choose_server(
        self, ask: policies.Ask, now: float
    ) -> policies.Pick | policies.Refused:
        """Returns the plain server with the lowest load as it is."""
        del now
        service = self.deployment.plain_service
        able = [
            self.engines[row.server]
            for row in self.table.servers_by_service[service]
            if self._takes(self.engines[row.server], ask)
        ]
        if not able:
            return policies.Refused()
        return policies.Pick("", min(able, key=_true_load).name)

    # Planning on the truth.

    def _plan(
        self, ask: policies.Ask, usable: list[model.Version], now: float
    ) -> cascade.Plan:
        kind = ask.arrival.kind
        target = max(
            g.quality_target
            for g in self.table.grants.values()
            if g.account == ask.arrival.account
        )
        key = (
            kind,
            target,
            bool(ask.arrival.session),
            tuple(
                (row.key, round(self.world.left(row.key, kind, now), 2))
                for row in usable
            ),
        )
        if key not in self.plans:
            found = self._true_policies(
                usable, kind, now, bool(ask.arrival.session)
            )
            self.plans[key] = cascade.make_plan(found, target)
        return self.plans[key]

    def _true_policies(
        self, usable: list[model.Version], kind: str, now: float, alone: bool
    ) -> list[cascade.Policy]:
        grid = _normal_grid(_GRID)
        chances = {
            row.key: np.array(
                [self.world.chance(row.key, kind, d, now) for d in grid]
            )
            for row in usable
        }
        price = {
            r.key: cascade.expected_cost(r, self.tokens[kind]) for r in usable
        }
        found = [
            cascade.Policy(key, 0, "", price[key], float(chance.mean()))
            for key, chance in chances.items()
        ]
        for first in () if alone else chances:
            buckets = self._buckets(first, kind, grid)
            for second in chances:
                if price[first] < price[second]:
                    found += _true_steps(first, second, chances, price, buckets)
        return found

    def _buckets(self, version: str, kind: str, grid: np.ndarray) -> np.ndarray:
        healthy = np.array(
            [self.world.healthy_chance(version, kind, d) for d in grid]
        )
        noise = _normal_grid(_NOISE_GRID) * world_lib.CONFIDENCE_NOISE
        confidence = np.clip(healthy[:, None] + noise[None, :], 0.0, 1.0)
        return np.searchsorted(
            np.array(quality_estimates.BUCKET_EDGES), confidence, side="right"
        )


def _true_steps(
    first: str,
    second: str,
    chances: dict[str, np.ndarray],
    price: dict[str, float],
    buckets: np.ndarray,
) -> list[cascade.Policy]:
    found = []
    for threshold in range(1, quality_estimates.BUCKET_COUNT):
        escalated = (buckets < threshold).mean(axis=1)
        quality = chances[first] * (1 - escalated)
        quality = quality + chances[second] * escalated
        cost = price[first] + float(escalated.mean()) * price[second]
        found.append(
            cascade.Policy(
                first, threshold, second, cost, float(quality.mean())
            )
        )
    return found


def _true_load(engine: engine_lib.Engine) -> float:
    busy = engine.running + len(engine.queue)
    return engine.slowness * (busy + 1) / engine.capacity
