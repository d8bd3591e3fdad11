"""Simulates load reports that each entry host polls by itself.

Each dispatch requests two polls of servers of its service. A busy host makes at
most six polls per second, an idle host one. The age of reports therefore grows
with the number of backend servers.
"""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import attrs

from hoistmoor.load.experiment import simulation

if TYPE_CHECKING:
    from hoistmoor.core.routing import messages
    from hoistmoor.load.experiment import deployment as deployment_lib
    from hoistmoor.load.experiment import engine as engine_lib
    from hoistmoor.load.experiment import hoistmoor_policy
    from hoistmoor.load.experiment import policies
    from hoistmoor.load.experiment import quality_model as quality_model_lib
    from hoistmoor.load.experiment import scenarios

# Same values as in the load report poller of the entry host; polls per second.
IDLE_POLLS_PER_SECOND = 1.0
MAX_POLLS_PER_SECOND = 6.0
POLLS_PER_DISPATCH = 2
MAX_REQUESTED_POLLS = 12
# Maximum age of the load that a probed server reports.
PROBE_REPORT_INTERVAL = 1.0


@attrs.define(eq=False)
class HostPoller:
    """Selects the servers that one host polls.

    Attributes:
        servers: Names of all backend servers.
        by_service: Names of the backend servers of each service.
        requested_polls: Services of the polls requested by dispatches.
        polls_by_service: Number of polls so far, by service, for round-robin;
            the empty name stands for all servers.
        idle_ticks: Ticks since the last poll.
    """

    servers: list[str]
    by_service: dict[str, list[str]]
    requested_polls: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_REQUESTED_POLLS)
    )
    polls_by_service: dict[str, int] = attrs.field(factory=dict)
    idle_ticks: int = 0

    def tick(self) -> str | None:
        """Returns the server to poll in this sixth of a second, if any."""
        if self.requested_polls:
            self.idle_ticks = 0
            service = self.requested_polls.popleft()
            return self._select(service, self.by_service[service])
        self.idle_ticks += 1
        if self.idle_ticks < MAX_POLLS_PER_SECOND / IDLE_POLLS_PER_SECOND:
            return None
        self.idle_ticks = 0
        return self._select("", self.servers)

    def _select(self, service: str, names: list[str]) -> str:
        turn = self.polls_by_service.get(service, 0)
        self.polls_by_service[service] = turn + 1
        return names[turn % len(names)]


class PolledSimulation(simulation.Simulation):
    """A run in which each host knows only the load reports that it polls.

    Cache events and ratings are left out: they do not depend on the placement,
    and would have to be applied to each of 360 routers.

    Attributes:
        policy: The policy under test, with one router per host.
        pollers: The poller of each host.
        report_ages: Ages of the reports of the chosen servers, in seconds.
        declines: Number of attempts that a server declined.
        is_probing: Whether a host probes some servers for their load before
            it sends a model request.
        probes: Number of probes.
        probe_reports: Load report that each server returns to a probe.
        first_token_waits: Seconds from the start of each model attempt to its
            first token, whether the response is held or not.
    """

    policy: hoistmoor_policy.RouterPolicy

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        scenario: scenarios.Scenario,
        policy: hoistmoor_policy.RouterPolicy,
        world: quality_model_lib.QualityModel,
        seed: int,
        is_probing: bool = False,
    ) -> None:
        """Prepares a run; all randomness comes from ``seed``."""
        super().__init__(deployment, scenario, policy, world, seed)
        self.report_ages: list[float] = []
        self.declines = 0
        self.is_probing = is_probing
        self.probes = 0
        self.probe_reports: dict[str, messages.LoadReport] = {}
        self.first_token_waits: list[float] = []
        names = list(self.table.servers)
        by_service = {
            service: [row.server for row in rows]
            for service, rows in self.table.servers_by_service.items()
        }
        rng = random.Random(f"pollers {seed}")
        self.pollers = []
        for _ in range(deployment.hosts):
            # Random positions, as hosts have been up for different times.
            turns = {s: rng.randrange(10**6) for s in ("", *by_service)}
            self.pollers.append(
                HostPoller(names, by_service, polls_by_service=turns)
            )

    def _tick_reports(self) -> None:
        self._update_probe_reports()
        for host in range(len(self.pollers)):
            phase = host / len(self.pollers) / MAX_POLLS_PER_SECOND
            self.clock.schedule_after(phase, self._tick_poller, host)

    def _update_probe_reports(self) -> None:
        self.clock.schedule_after(
            PROBE_REPORT_INTERVAL, self._update_probe_reports
        )
        for engine in self.engines.values():
            self.probe_reports[engine.name] = engine.report()

    def _probe(
        self, request: simulation.Request, decision: policies.Decision
    ) -> policies.Decision:
        """Probes some servers for their load; a probe takes no time here."""
        query = self._make_query(request)
        names = self.policy.to_probe(query, decision, self.clock.now)
        if not names:
            return decision
        self.probes += len(names)
        for name in names:
            self._deliver_to(request.arrival.host, self.probe_reports[name])
        return self.policy.best_probed(query, decision, names)

    def _tick_poller(self, host: int) -> None:
        self.clock.schedule_after(
            1.0 / MAX_POLLS_PER_SECOND, self._tick_poller, host
        )
        name = self.pollers[host].tick()
        if name is not None:
            self._poll(host, name)

    def _poll(self, host: int, name: str) -> None:
        report = self.engines[name].report()
        self.clock.schedule_after(
            simulation.REPORT_DELAY, self._deliver_to, host, report
        )

    def _deliver_to(self, host: int, report: messages.LoadReport) -> None:
        self.policy.routers[host].on_load(report, self.clock.now)

    def _send(
        self, request: simulation.Request, decision: policies.Decision
    ) -> None:
        if self.is_probing and decision.version:
            decision = self._probe(request, decision)
        host = request.arrival.host
        service = self.table.servers[decision.server].service
        self.pollers[host].requested_polls.extend(
            [service] * POLLS_PER_DISPATCH
        )
        server = self.policy.routers[host].fleet.by_name[decision.server]
        if server.report is not None:
            self.report_ages.append(self.clock.now - server.report.at)
        super()._send(request, decision)

    def _on_done(
        self,
        request: simulation.Request,
        decision: policies.Decision,
        job: engine_lib.Job,
        ok: bool,
    ) -> None:
        if ok and decision.version and request.job is job:
            self.first_token_waits.append(job.first_token_at - request.sent_at)
        super()._on_done(request, decision, job, ok)

    def _finish_attempt(
        self,
        request: simulation.Request,
        ok: bool,
        declined: bool = False,
        confidence: float | None = None,
    ) -> None:
        if declined and request.decision is not None:
            self.declines += 1
            self._poll(request.arrival.host, request.decision.server)
        super()._finish_attempt(request, ok, declined, confidence)

    def _rate(
        self,
        request: simulation.Request,
        decision: policies.Decision,
        confidence: float,
        good: bool,
    ) -> None:
        """Ignores the response, as ratings are left out."""
