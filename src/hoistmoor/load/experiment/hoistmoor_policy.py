"""Adapts the core router, one per host, to the policy interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import router as router_lib
from hoistmoor.core.table import model
from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import policies

if TYPE_CHECKING:
    from hoistmoor.core import refusals


class RouterPolicy(policies.Policy):
    """Routes each request with the router of the host that received it.

    Attributes:
        name: Name in reports.
        deployment: The deployment.
        routers: The router of each host.
    """

    def __init__(
        self, deployment: deployment_lib.Deployment, seed: int
    ) -> None:
        """Creates the routers, with hosts spread over the failure domains."""
        self.name = "hoistmoor"
        self.deployment = deployment
        domains = sorted(
            {row.failure_domain for row in deployment.table.servers.values()}
        )
        self.routers = [
            router_lib.Router(
                domains[i % len(domains)], 1000 * seed + i, f"host-{i}.{seed}"
            )
            for i in range(deployment.hosts)
        ]
        for router in self.routers:
            router.set_host_count(deployment.hosts)

    def on_table(self, table: model.Table, revision: int) -> None:
        """Applies a new table on each host."""
        for router in self.routers:
            router.on_table(model.ActiveTable(revision, table))

    def on_load(self, report: messages.LoadReport, now: float) -> None:
        """Applies a load report on each host."""
        for router in self.routers:
            router.on_load(report, now)

    def on_cache_event(self, event: messages.CacheEvent, now: float) -> None:
        """Applies a change of a prefix cache on each host."""
        for router in self.routers:
            router.on_cache_event(event, now)

    def on_rating(self, rating: messages.Rating, now: float) -> None:
        """Applies a rating on each host."""
        for router in self.routers:
            router.on_rating(rating, now)

    def choose(
        self, query: policies.Query, now: float
    ) -> policies.Decision | policies.Refusal:
        """Returns the choice of the router on the request's host."""
        router = self.routers[query.arrival.host]
        return _convert_choice(
            router.choose(_make_query(query), query.excluded, now)
        )

    def choose_server(
        self, query: policies.Query, now: float
    ) -> policies.Decision | policies.Refusal:
        """Returns the choice of the router on the call's host."""
        router = self.routers[query.arrival.host]
        service = self.deployment.plain_service
        return _convert_choice(
            router.choose_server(service, query.excluded, now)
        )

    def judge(
        self,
        query: policies.Query,
        decision: policies.Decision,
        confidence: float,
        now: float,
    ) -> policies.Decision | None:
        """Returns where to escalate, or None if the router accepts."""
        router = self.routers[query.arrival.host]
        facts = messages.AnswerFacts(confidence)
        verdict = router.judge(_make_query(query), decision.detail, facts, now)
        if isinstance(verdict, messages.Accept):
            return None
        escalation = _convert_choice(verdict.choice)
        return escalation if isinstance(escalation, policies.Decision) else None

    def on_started(
        self, host: int, decision: policies.Decision, now: float
    ) -> None:
        """Records the start of an attempt on its host."""
        self.routers[host].on_started(decision.server, decision.version, now)

    def on_finished(
        self,
        host: int,
        decision: policies.Decision,
        result: messages.AttemptResult,
        now: float,
    ) -> None:
        """Records the end of an attempt on its host."""
        router = self.routers[host]
        router.on_finished(decision.server, decision.version, result, now)

    def to_probe(
        self, query: policies.Query, decision: policies.Decision, now: float
    ) -> tuple[str, ...]:
        """Returns the servers to probe for their load before a send."""
        router = self.routers[query.arrival.host]
        return router.servers_to_probe(decision.detail, query.excluded, now)

    def best_probed(
        self,
        query: policies.Query,
        decision: policies.Decision,
        names: tuple[str, ...],
    ) -> policies.Decision:
        """Returns the decision, moved to the least loaded probed server."""
        router = self.routers[query.arrival.host]
        best = _convert_choice(router.choose_probed(decision.detail, names))
        return best if isinstance(best, policies.Decision) else decision

    def take_effects(self) -> list[messages.Effect]:
        """Returns the pending log records of all hosts."""
        return [e for router in self.routers for e in router.drain_effects()]

    def on_evidence(self, offset: int, record: messages.Effect) -> None:
        """Applies a record of the log on each host."""
        for router in self.routers:
            router.on_evidence(offset, record)


def _make_query(query: policies.Query) -> messages.RouteQuery:
    arrival = query.arrival
    return messages.RouteQuery(
        request_id=f"h{arrival.host}.1.{arrival.number:x}",
        account=arrival.account,
        model=model.AUTO_MODEL,
        kind=arrival.kind,
        pin=query.pin,
        prompt_tokens=arrival.prompt_tokens,
        max_tokens=1024,
        prefix=arrival.prefix,
        session=arrival.session,
    )


def _convert_choice(
    choice: messages.Choice | refusals.Refusal,
) -> policies.Decision | policies.Refusal:
    if isinstance(choice, messages.Choice):
        return policies.Decision(
            choice.version, choice.server, choice.hold_answer, choice
        )
    return policies.Refusal(float(choice.wait))
