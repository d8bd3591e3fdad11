"""Simulates a rollout at several hosts, in virtual time.

Hosts decide with the code under test. Streams of three routes arrive in
sessions at random hosts; the time to their first event and the pace of the
others are drawn from what engines under moderate load showed. A small model
answers first and is dropped for a larger one in a third of the cases.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import exposure
from hoistmoor.core.relay.versions import phases
from hoistmoor.core.relay.versions import rollouts

if TYPE_CHECKING:
    from collections.abc import Callable

# Requests that a bad version may get.
LIMIT = exposure.ExposureLimit(0.15, 30.0)
NONE: frozenset[str] = frozenset()
VERSIONS = {"v1", "v2"}
SERVICE = "llm"
# Seconds between two decisions, and until others know of them.
DECISION_INTERVAL = 1.0
PROPAGATION = 0.4
ESCALATED_FRACTION = 0.35
NEW_SESSION_FRACTION = 0.3
BEFORE_ORDER = 5.0  # Seconds of requests before the order.
AFTER_LIMIT = 6.0  # Seconds of requests after its time limit.


@attrs.frozen
class Route:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        weight: Its part of the requests.
        first: Median seconds to the first event.
        interval: Median seconds between events.
        events: Median number of events; 1 for a plain response.
    """

    name: str
    weight: float
    first: float
    interval: float
    events: int


ROUTES = (
    Route("plan", 0.21, 0.25, 0.040, 70),
    Route("query", 0.47, 0.09, 0.040, 50),
    Route("note", 0.32, 0.12, 0.045, 4),
)


@attrs.frozen
class Behavior:
    """How the target version responds.

    Attributes:
        factor: Multiple of the usual time that a slow response takes.
        slow: Fraction of its responses that are slow.
        failing: Fraction of its responses that fail.
        begins_at: Seconds after the order from which it does so.
        routes: Routes on which it does so; empty for all.
        pace: Multiple of the usual time that all its responses take.
        harder: Multiple of the usual time to the first event, as of a version
            whose prompts are longer.
    """

    factor: float = 1.0
    slow: float = 0.0
    failing: float = 0.0
    begins_at: float = 0.0
    routes: tuple[str, ...] = ()
    pace: float = 1.0
    harder: float = 1.0


GOOD = Behavior()


@attrs.frozen
class Deployment:
    """Size and load of a deployment.

    Attributes:
        hosts: Number of hosts.
        rate: Requests per second.
        duration: Duration of the order in seconds.
        routes: Its routes.
    """

    hosts: int = 7
    rate: float = 35.0
    duration: float = 15.0
    routes: tuple[Route, ...] = ROUTES


@attrs.define
class Result:
    """What a rollout came to.

    Attributes:
        sent: Requests to the service from the order to its time limit.
        exposed: Requests among them that went to the target version.
        bad_at: Times of the target's bad responses, from the order.
        exposed_at: Times of the requests to the target, from the order.
        changes: Phases and the times from the order at which they began.
        pinned: Requests of a session that went back to the old version.
    """

    sent: int = 0
    exposed: int = 0
    bad_at: list[float] = attrs.field(factory=list)
    exposed_at: list[float] = attrs.field(factory=list)
    changes: dict[phases.Phase, float] = attrs.field(factory=dict)
    pinned: int = 0

    def exposed_after(self, bad_responses: int, bound: float) -> int:
        """Returns the requests to the target that came too late.

        Args:
            bad_responses: Bad responses after which the target must get none.
            bound: Seconds after the last of these.
        """
        if len(self.bad_at) < bad_responses:
            return 0
        latest = sorted(self.bad_at)[bad_responses - 1] + bound
        return sum(at > latest for at in self.exposed_at)


class _Host:
    def __init__(self, order: phases.Order, name: str) -> None:
        self.name = name
        self.registry = rollouts.RolloutRegistry(session_life=5.0)
        self.times = response_times.ResponseTimes()
        self.order = order

    def begin(
        self, route: Route, version: str, session: str, now: float
    ) -> attempt_times.TimedAttempt | None:
        self.registry.record_sent(SERVICE, version, session, now)
        return self.registry.begin_attempt(
            SERVICE, route.name, version, now, is_stream=True
        )

    def record(
        self,
        route: Route,
        version: str,
        measured: response_times.ResponseTiming,
    ) -> None:
        key = (route.name, measured.model)
        is_slow = self.times.is_slow(key, measured, rollouts.SLOW_FACTOR)
        if version == "v1" and not measured.failed:
            self.times.record(key, measured)
        progress = self.registry.progress.get(SERVICE)
        if progress is not None:
            progress.record_response(
                route.name, version, measured.failed, is_slow
            )


class Simulation:
    """One rollout of a version with the given behavior."""

    def __init__(
        self, deployment: Deployment, behavior: Behavior, seed: int
    ) -> None:
        self._deployment = deployment
        self._behavior = behavior
        self._random = random.Random(seed)
        self._order = phases.Order(SERVICE, "v2", deployment.duration, 7)
        self._hosts = [
            _Host(self._order, f"host {number}")
            for number in range(deployment.hosts)
        ]
        self._serials = itertools.count()
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._sessions: list[str] = []
        self._versions: dict[str, str] = {}
        self._phase = phases.Phase.TRIAL
        self.result = Result()

    def run(self) -> Result:
        """Runs until some seconds after the time limit."""
        end = self._deployment.duration + AFTER_LIMIT
        self._at(-BEFORE_ORDER, self._arrive)
        self._at(0.0, self._give_order)
        self._at(DECISION_INTERVAL, self._decide)
        while self._due:
            now, _, action = heapq.heappop(self._due)
            if now > end:
                break
            action(now)
        return self.result

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (when, next(self._serials), action))

    def _give_order(self, now: float) -> None:
        for host in self._hosts:
            host.registry.apply_order(self._order, now)

    def _decide(self, now: float) -> None:
        self._at(now + DECISION_INTERVAL, self._decide)
        counts = [
            evidence
            for host in self._hosts
            for evidence in host.registry.counted(
                host.name, now - PROPAGATION / 2
            )
        ]
        pooled = evidence_lib.pool_evidence(counts)
        duration = self._deployment.duration
        phase = phases.next_phase(
            self._phase,
            pooled,
            now / duration,
            exposure.measure(pooled, LIMIT, now, duration),
        )
        if phase is None:
            return
        self._phase = phase
        self.result.changes[phase] = now
        record = phases.PhaseRecord(SERVICE, "v2", self._order.number, phase)
        for host in self._hosts:
            self._at(
                now + self._random.uniform(0.0, PROPAGATION),
                lambda _, host=host: host.registry.apply_phase(record),
            )

    def _arrive(self, now: float) -> None:
        draws = self._random
        self._at(now + draws.expovariate(self._deployment.rate), self._arrive)
        if not self._sessions or draws.random() < NEW_SESSION_FRACTION:
            self._sessions.append(f"session {next(self._serials)}")
            self._sessions = self._sessions[-int(5 * self._deployment.rate) :]
        session = draws.choice(self._sessions)
        routes = self._deployment.routes
        route = draws.choices(routes, [each.weight for each in routes])[0]
        self._send(now, draws.choice(self._hosts), route, session, "small")

    def _send(
        self, now: float, host: _Host, route: Route, session: str, model: str
    ) -> None:
        version = min(
            host.registry.allowed_versions(
                SERVICE, VERSIONS, session, NONE, now
            )
        )
        self._count_sent(now, session, version)
        timed = host.begin(route, version, session, now)
        factor, fails, is_bad = self._draw_course(now, route, version)
        first = self._draw(route.first, 0.8) * factor
        if version == "v2":
            first *= self._behavior.harder
        interval = self._draw(route.interval, 0.3) * factor
        events = max(1, round(self._draw(route.events, 0.5)))
        if (
            model == "small"
            and not fails
            and self._random.random() < ESCALATED_FRACTION
        ):
            self._at(
                now + first,
                lambda at: self._escalate(
                    at, host, route, session, version, timed, at - now
                ),
            )
            return
        total = first + (events - 1) * interval
        if timed is not None and not fails:
            self._at(now + first, lambda at: timed.record_events(1, at))
            count = attempt_times.PACE_EVENTS + 1
            if events >= count:
                self._at(
                    now + first + (count - 1) * interval,
                    lambda at: timed.record_events(count, at),
                )
        measured = response_times.ResponseTiming(
            model, first, total, events, failed=fails
        )

        def end(at: float) -> None:
            if timed is not None:
                timed.record_end(at, is_served=not fails)
            host.record(route, version, measured)
            if is_bad:
                self.result.bad_at.append(at)

        self._at(now + (first if fails else total), end)

    def _escalate(
        self,
        now: float,
        host: _Host,
        route: Route,
        session: str,
        version: str,
        timed: attempt_times.TimedAttempt | None,
        duration: float,
    ) -> None:
        if timed is not None:
            timed.record_end(now, is_served=False)
        host.record(
            route,
            version,
            response_times.ResponseTiming(
                "small", duration, duration, is_whole=False
            ),
        )
        self._send(now, host, route, session, "large")

    def _draw_course(
        self, now: float, route: Route, version: str
    ) -> tuple[float, bool, bool]:
        """Returns the factor of a response, and whether it fails or is bad."""
        behavior = self._behavior
        if version != "v2":
            return 1.0, False, False
        if now < behavior.begins_at or (
            behavior.routes and route.name not in behavior.routes
        ):
            return behavior.pace, False, False
        fails = self._random.random() < behavior.failing
        is_slow = self._random.random() < behavior.slow
        factor = behavior.factor if is_slow else behavior.pace
        return factor, fails, fails or is_slow

    def _draw(self, median: float, deviation: float) -> float:
        return median * self._random.lognormvariate(0.0, deviation)

    def _count_sent(self, now: float, session: str, version: str) -> None:
        before = self._versions.get(session)
        self._versions[session] = version
        self.result.pinned += before == "v2" and version == "v1"
        if now < 0.0:
            return
        if version == "v2":
            self.result.exposed_at.append(now)
        if now <= self._deployment.duration:
            self.result.sent += 1
            self.result.exposed += version == "v2"


def simulate(
    deployment: Deployment = Deployment(),
    behavior: Behavior = GOOD,
    seed: int = 1,
) -> Result:
    """Returns what a rollout comes to."""
    return Simulation(deployment, behavior, seed).run()
