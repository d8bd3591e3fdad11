"""The policy interface of the simulation, and the baseline policies.

Each baseline combines a rule that chooses the version, such as by price, with
a rule that chooses the backend server, as load balancers have.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
import random
from typing import Any

import attrs

from hoistmoor.core.routing import messages
from hoistmoor.core.table import model
from hoistmoor.load.experiment import deployment as deployment_lib

RETRY_AFTER_SECONDS = 1.0  # Retry-After of all refusals by a baseline.
FIXED_CONFIDENCE = 0.8  # The fixed cascade escalates below this.


@attrs.frozen
class Decision:
    """Where a policy sends an attempt.

    Attributes:
        version: Key of the version; empty for a plain service.
        server: Name of the backend server.
        hold: Whether the response is held back until it is judged.
        detail: Private data of the policy.
    """

    version: str
    server: str
    hold: bool = False
    detail: Any = None


@attrs.frozen
class Refusal:
    """A policy's refusal.

    Attributes:
        wait: Seconds after which the caller should retry.
    """

    wait: float = RETRY_AFTER_SECONDS


@attrs.frozen
class Query:
    """A routing query, as a policy sees it.

    Attributes:
        arrival: The request; a policy must not use its difficulty.
        pin: Version that the request's session is pinned to, if any.
        excluded: Servers that declined or failed the request.
        attempt: Number of the attempt, from 1.
    """

    arrival: deployment_lib.Arrival
    pin: str | None
    excluded: frozenset[str]
    attempt: int


class Policy:
    """The interface of a policy; updates are ignored by default."""

    name: str

    def choose(self, query: Query, now: float) -> Decision | Refusal:
        """Returns where to send a model request."""
        raise NotImplementedError

    def choose_server(self, query: Query, now: float) -> Decision | Refusal:
        """Returns where to send a call to the plain service."""
        raise NotImplementedError

    def judge(
        self, query: Query, decision: Decision, confidence: float, now: float
    ) -> Decision | None:
        """Returns where to escalate, or None to accept the response."""
        del query, decision, confidence, now
        return None

    def on_table(self, table: model.Table, revision: int) -> None:
        """Applies a new table."""

    def on_load(self, report: messages.LoadReport, now: float) -> None:
        """Applies a load report."""

    def on_cache_event(self, event: messages.CacheEvent, now: float) -> None:
        """Applies a change of a prefix cache."""

    def on_rating(self, rating: messages.Rating, now: float) -> None:
        """Applies a rating."""

    def on_started(self, host: int, decision: Decision, now: float) -> None:
        """Records the start of an attempt."""

    def on_finished(
        self,
        host: int,
        decision: Decision,
        result: messages.AttemptResult,
        now: float,
    ) -> None:
        """Records the end of an attempt."""

    def take_effects(self) -> list[messages.Effect]:
        """Returns and clears the records to append to the log."""
        return []

    def on_evidence(self, offset: int, record: messages.Effect) -> None:
        """Applies a record read from the log."""


ChooseVersion = Callable[["Baseline", Query, Sequence[model.Version]], str]
ChooseServer = Callable[["Baseline", Sequence[str]], str]


@attrs.define(eq=False)
class Baseline(Policy):
    """A policy with fixed rules for the version and the server.

    Attributes:
        name: Name in reports.
        deployment: The deployment.
        version_rule: Chooses among the granted versions.
        server_rule: Chooses among the servers with the version loaded.
        escalates: Whether it is a fixed cascade.
        rng: Random number generator of the rules.
        table: The table in force.
        reports: Latest load report of each server.
        choice_count: Number of choices so far, for round-robin.
    """

    name: str
    deployment: deployment_lib.Deployment
    version_rule: ChooseVersion
    server_rule: ChooseServer
    escalates: bool = False
    rng: random.Random = attrs.field(factory=lambda: random.Random(5))
    table: model.Table = attrs.field(factory=model.Table)
    reports: dict[str, messages.LoadReport] = attrs.field(factory=dict)
    choice_count: int = 0

    def on_table(self, table: model.Table, revision: int) -> None:
        """Applies a new table."""
        del revision
        self.table = table

    def on_load(self, report: messages.LoadReport, now: float) -> None:
        """Applies a load report."""
        del now
        self.reports[report.server] = report

    def choose(self, query: Query, now: float) -> Decision | Refusal:
        """Returns where to send a model request."""
        del now
        granted = self._granted(query)
        if not granted:
            return Refusal()
        version = query.pin or ""
        if version not in {row.key for row in granted}:
            version = self.version_rule(self, query, granted)
        return self._pick(query, version, self.escalates and not query.pin)

    def _granted(self, query: Query) -> list[model.Version]:
        stages = {model.Stage.ACTIVE, model.Stage.CANDIDATE}
        return [
            row
            for row in self.table.versions.values()
            if row.stage in stages
            and self.table.grant_for(query.arrival.account, row)
        ]

    def _pick(
        self, query: Query, version: str, hold: bool
    ) -> Decision | Refusal:
        names = [
            name
            for name, report in self.reports.items()
            if version in report.versions
            and report.state == "live"
            and name not in query.excluded
        ]
        if not names:
            return Refusal()
        return Decision(version, self.server_rule(self, names), hold)

    def judge(
        self, query: Query, decision: Decision, confidence: float, now: float
    ) -> Decision | None:
        """Escalates to the most expensive version below a fixed confidence."""
        del now
        granted = self._granted(query)
        if confidence >= FIXED_CONFIDENCE or not granted:
            return None
        most_expensive = max(granted, key=lambda row: row.output_price)
        if most_expensive.key == decision.version:
            return None
        escalation = self._pick(
            attrs.evolve(query, excluded=frozenset()),
            most_expensive.key,
            hold=False,
        )
        return escalation if isinstance(escalation, Decision) else None

    def choose_server(self, query: Query, now: float) -> Decision | Refusal:
        """Returns where to send a call to the plain service."""
        del now
        rows = self.table.servers_by_service[self.deployment.plain_service]
        names = [
            row.server
            for row in rows
            if row.server not in query.excluded
            and row.server in self.reports
            and self.reports[row.server].state == "live"
        ]
        if not names:
            return Refusal()
        return Decision("", self.server_rule(self, names))

    def reported_load(self, name: str) -> int:
        """Returns the last reported load of a server."""
        report = self.reports[name]
        return report.running + report.queued


def most_expensive(
    policy: Baseline, query: Query, granted: Sequence[model.Version]
) -> str:
    """Chooses the most expensive granted version."""
    del policy, query
    return max(granted, key=lambda row: row.output_price).key


def cheapest(
    policy: Baseline, query: Query, granted: Sequence[model.Version]
) -> str:
    """Chooses the cheapest granted version, an active one if prices tie."""
    del policy, query
    return min(
        granted,
        key=lambda row: (row.output_price, row.stage is not _ACTIVE, row.key),
    ).key


def by_weight(
    policy: Baseline, query: Query, granted: Sequence[model.Version]
) -> str:
    """Chooses at random by the weights of the versions in the table."""
    del query
    weights = [row.weight for row in granted]
    return policy.rng.choices(granted, weights)[0].key


def random_server(policy: Baseline, names: Sequence[str]) -> str:
    """Chooses a server at random."""
    return policy.rng.choice(names)


def round_robin(policy: Baseline, names: Sequence[str]) -> str:
    """Chooses the servers round-robin."""
    policy.choice_count += 1
    return sorted(names)[policy.choice_count % len(names)]


def least_loaded(policy: Baseline, names: Sequence[str]) -> str:
    """Chooses the server with the lowest reported load."""
    return min(names, key=lambda name: (policy.reported_load(name), name))


def less_loaded_of_two(policy: Baseline, names: Sequence[str]) -> str:
    """Chooses the less loaded, as reported, of two random servers."""
    if len(names) == 1:
        return names[0]
    return min(policy.rng.sample(list(names), 2), key=policy.reported_load)


_ACTIVE = model.Stage.ACTIVE
BASELINES: dict[str, tuple[ChooseVersion, ChooseServer, bool]] = {
    "always-dearest": (most_expensive, less_loaded_of_two, False),
    "always-cheapest": (cheapest, less_loaded_of_two, False),
    "fixed-cascade": (cheapest, less_loaded_of_two, True),
    "random": (by_weight, random_server, False),
    "round-robin": (by_weight, round_robin, False),
    "least-reported": (by_weight, least_loaded, False),
    "two-reported": (by_weight, less_loaded_of_two, False),
}


def make_baseline(
    name: str, deployment: deployment_lib.Deployment, seed: int
) -> Baseline:
    """Returns the baseline ``name``."""
    version_rule, server_rule, escalates = BASELINES[name]
    return Baseline(
        name,
        deployment,
        version_rule,
        server_rule,
        escalates,
        random.Random(f"{name} {seed}"),
    )
