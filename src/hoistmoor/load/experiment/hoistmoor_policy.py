"""The real core router, one a host, behind the simulation's interface."""

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
    """Asks the router of the host that took the request in.

    Attributes:
        name: Its name in reports.
        deployment: The deployment.
        routers: One router a host.
    """

    def __init__(
        self, deployment: deployment_lib.Deployment, seed: int
    ) -> None:
        """Makes the hosts' routers, spread over the failure domains."""
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
            router.on_hosts(deployment.hosts)

    def on_table(self, table: model.Table, revision: int) -> None:
        """Takes a newer table at each host."""
        for router in self.routers:
            router.on_table(model.ActiveTable(revision, table))

    def on_load(self, report: messages.LoadReport, now: float) -> None:
        """Takes a load report at each host."""
        for router in self.routers:
            router.on_load(report, now)

    def on_cache_event(self, event: messages.CacheEvent, now: float) -> None:
        """Takes a change of a prefix cache at each host."""
        for router in self.routers:
            router.on_cache_event(event, now)

    def on_rating(self, rating: messages.Rating, now: float) -> None:
        """Takes a rating at each host."""
        for router in self.routers:
            router.on_rating(rating, now)

    def choose(
        self, ask: policies.Ask, now: float
    ) -> policies.Pick | policies.Refused:
        """Asks the router of the request's host."""
        router = self.routers[ask.arrival.host]
        return _pick(router.choose(_query(ask), ask.excluded, now))

    def choose_server(
        self, ask: policies.Ask, now: float
    ) -> policies.Pick | policies.Refused:
        """Asks the router of the call's host."""
        router = self.routers[ask.arrival.host]
        service = self.deployment.plain_service
        return _pick(router.choose_server(service, ask.excluded, now))

    def judge(
        self,
        ask: policies.Ask,
        pick: policies.Pick,
        confidence: float,
        now: float,
    ) -> policies.Pick | None:
        """Asks the router whether the answer may go out."""
        router = self.routers[ask.arrival.host]
        facts = messages.AnswerFacts(confidence)
        verdict = router.judge(_query(ask), pick.detail, facts, now)
        if isinstance(verdict, messages.Accept):
            return None
        found = _pick(verdict.choice)
        return found if isinstance(found, policies.Pick) else None

    def on_started(self, host: int, pick: policies.Pick, now: float) -> None:
        """Counts an attempt at its host."""
        self.routers[host].on_started(pick.server, pick.version, now)

    def on_finished(
        self,
        host: int,
        pick: policies.Pick,
        result: messages.AttemptResult,
        now: float,
    ) -> None:
        """Counts the end of an attempt at its host."""
        router = self.routers[host]
        router.on_finished(pick.server, pick.version, result, now)

    def to_probe(
        self, ask: policies.Ask, pick: policies.Pick, now: float
    ) -> tuple[str, ...]:
        """Returns whom to ask for its load before ``pick`` is sent."""
        router = self.routers[ask.arrival.host]
        return router.servers_to_probe(pick.detail, ask.excluded, now)

    def best_probed(
        self, ask: policies.Ask, pick: policies.Pick, names: tuple[str, ...]
    ) -> policies.Pick:
        """Returns ``pick`` at the least loaded server asked."""
        router = self.routers[ask.arrival.host]
        found = _pick(router.choose_probed(pick.detail, names))
        return found if isinstance(found, policies.Pick) else pick

    def take_effects(self) -> list[messages.Effect]:
        """Returns the records of all hosts."""
        return [e for router in self.routers for e in router.drain_effects()]

    def on_evidence(self, offset: int, record: messages.Effect) -> None:
        """Takes a record of the log at each host."""
        for router in self.routers:
            router.on_evidence(offset, record)


def _query(ask: policies.Ask) -> messages.RouteQuery:
    arrival = ask.arrival
    return messages.RouteQuery(
        request_id=f"h{arrival.host}.1.{arrival.number:x}",
        account=arrival.account,
        model=model.AUTO_MODEL,
        kind=arrival.kind,
        pin=ask.pin,
        prompt_tokens=arrival.prompt,
        max_tokens=1024,
        prefix=arrival.prefix,
        session=arrival.session,
    )


def _pick(
    found: messages.Choice | refusals.Refusal,
) -> policies.Pick | policies.Refused:
    if isinstance(found, messages.Choice):
        return policies.Pick(
            found.version, found.server, found.hold_answer, found
        )
    return policies.Refused(float(found.wait))
