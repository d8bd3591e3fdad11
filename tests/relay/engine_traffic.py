"""Simulated callers and engines for a swarm of hosts, in virtual time.

Each request runs through the hosts' real decisions: its own state machine, the
host's router, and the report in the engine's response. Only the sockets are
simulated.
"""

from __future__ import annotations

import asyncio
import bisect
import random

import attrs
import relay_parts
import relay_swarm

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.course import requests
from hoistmoor.core.relay.servers import reports

# Guarantee for a server that announces a limit: once SETTLED seconds have
# passed since its first announcement, hosts that were informed at least
# INFORMED_FOR seconds ago send it, in any WINDOW seconds, at most FACTOR times
# what the limit allows plus SPARE requests.
SETTLED = 3.0
WINDOW = 4.0
FACTOR = 1.5
SPARE = 5.0
INFORMED_FOR = 0.5
# Engines and requests per second by number of hosts: the sizes of the
# deployments, and the planned size.
SIZES = {7: (6, 35.0), 84: (60, 300.0), 360: (90, 850.0)}
PREFIXES = 200  # Distinct prompt prefixes; enough to load all engines equally.
CROWDED_FRACTION = 0.9  # Of the calls, while one host gets most of them.
FIRST_PART = 0.1  # Seconds until the first part of a response.
COMPLETION = 1.0  # Seconds until a response is complete.
# Guarantee for a server that announces its departure: it receives no request
# from a host whose caller called more than this many seconds after that host
# had forwarded the announcement.
DEPARTURE_DELAY = 2.0
# Guarantee for a server that requests a back-off from a host: after this many
# seconds, it receives nothing from that host until the back-off is over.
REST_DELAY = 0.5


@attrs.define
class Engine:
    """A simulated engine with its announcements and received requests.

    All times are virtual.

    Attributes:
        name: Server id.
        limit: Announced limit in requests per second from all hosts; None
            for no limit.
        limit_announced_at: Time at which the limit was first announced.
        informed_at: Time at which each host first received the limit, by host
            name.
        arrived: Arrival times of all requests.
        counted: Arrival times of requests from hosts that knew the limit.
        is_leaving: Whether it announces its departure.
        departure_forwarded_at: Time at which each host first forwarded a
            response that announced the departure, by host name.
        after_leaving: Arrival times of requests that violated the guarantee
            for leaving servers.
        rest: Seconds of back-off that it requests when it declines; None
            while it accepts requests.
        rests: Start and end of each host's back-off, by host name.
        during_rest: Arrival times of requests that violated the guarantee for
            back-offs.
    """

    name: str
    limit: float | None = None
    limit_announced_at: float = 0.0
    informed_at: dict[str, float] = attrs.field(factory=dict)
    arrived: list[float] = attrs.field(factory=list)
    counted: list[float] = attrs.field(factory=list)
    is_leaving: bool = False
    departure_forwarded_at: dict[str, float] = attrs.field(factory=dict)
    after_leaving: list[float] = attrs.field(factory=list)
    rest: float | None = None
    rests: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    during_rest: list[float] = attrs.field(factory=list)

    def begin_limit(self, limit: float) -> None:
        """Starts to announce a limit."""
        self.limit = limit
        self.limit_announced_at = asyncio.get_running_loop().time()

    def end_limit(self) -> None:
        """Stops announcing a limit."""
        self.limit = None
        self.informed_at.clear()

    def restart(self) -> None:
        """Restarts as a new incarnation with the same id."""
        self.is_leaving = False
        self.departure_forwarded_at.clear()

    def receive(self, host: str, called_at: float) -> None:
        """Records a request from a host whose caller called earlier."""
        now = asyncio.get_running_loop().time()
        self.arrived.append(now)
        if (
            called_at
            > self.departure_forwarded_at.get(host, now) + DEPARTURE_DELAY
        ):
            self.after_leaving.append(now)
        since, until = self.rests.get(host, (now, now))
        if since + REST_DELAY < now < until:
            self.during_rest.append(now)
        if now - self.informed_at.get(host, now) >= INFORMED_FOR:
            self.counted.append(now)

    def respond(self, host: str) -> reports.ServerReport:
        """Responds to a host and returns the report in the response."""
        now = asyncio.get_running_loop().time()
        if self.limit is not None:
            self.informed_at.setdefault(host, now)
        if self.is_leaving:
            self.departure_forwarded_at.setdefault(host, now)
        if self.rest is not None:
            _, until = self.rests.get(host, (now, now))
            self.rests[host] = (now, max(until, now + self.rest))
        return reports.ServerReport(
            limit=self.limit, is_leaving=self.is_leaving, rest=self.rest
        )

    def max_requests_in_window(self) -> int:
        """Returns the maximum number of counted requests in one window."""
        counted = [
            at for at in self.counted if at >= self.limit_announced_at + SETTLED
        ]
        return max(
            (
                bisect.bisect_right(counted, at + WINDOW) - number
                for number, at in enumerate(counted)
            ),
            default=0,
        )

    def rate_since(self, begin: float) -> float:
        """Returns the requests per second received since a point in time."""
        now = asyncio.get_running_loop().time()
        count = len(self.arrived) - bisect.bisect_left(self.arrived, begin)
        return count / (now - begin)


def allowed(limit: float) -> float:
    """Returns the maximum number of counted requests allowed in one window."""
    return FACTOR * limit * WINDOW + SPARE


@attrs.frozen
class RefusedCall:
    """A refused call.

    Attributes:
        refusal: The refusal.
        took: Seconds from the call to the refusal.
        sent: Number of attempts that were sent to engines.
        rest_left: Seconds until the earliest back-off of the host ends.
    """

    refusal: refusals.Refusal
    took: float
    sent: int
    rest_left: float


class Traffic:
    """Callers and engines of a swarm.

    Attributes:
        engines: The simulated engines.
        crowded: Host that gets most calls; None if all get equally many.
        refused: Refused calls in order.
        delivered: Number of requests that were served.
    """

    def __init__(
        self, swarm: relay_swarm.Swarm, engines: int, rate: float
    ) -> None:
        """Initializes the traffic without sending requests.

        Args:
            swarm: Hosts to call.
            engines: Number of engines.
            rate: Requests per second of all callers together.
        """
        self.engines = [Engine(f"e{number}") for number in range(engines)]
        self.crowded: relay_swarm.Member | None = None
        self.refused: list[RefusedCall] = []
        self.delivered = 0
        self._by_name = {each.name: each for each in self.engines}
        self._swarm = swarm
        self._rate = rate
        self._draws = random.Random(len(swarm.members))
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Registers the engines and starts the callers."""
        for engine in self.engines:
            await self.list_engine(engine, born=1000)
        await self._swarm.until(self._knows_engines)
        self._start(self._call())

    async def list_engine(self, engine: Engine, born: int) -> None:
        """Registers an incarnation of an engine in the store."""
        entry = relay_parts.make_entry(
            engine.name,
            service="llm",
            address=f"{engine.name}:1",
            slots=64,
            born=born,
        )
        await self._swarm.store.publish("servers", engine.name, entry)

    def busiest_engines(self, count: int) -> list[Engine]:
        """Returns the engines that have received the most requests."""
        by_demand = sorted(self.engines, key=lambda each: len(each.arrived))
        return by_demand[-count:]

    def fraction_served(self) -> float:
        """Returns the fraction of finished calls that were served."""
        return self.delivered / (self.delivered + len(self.refused))

    def _knows_engines(self, member: relay_swarm.Member) -> bool:
        assert member.relay is not None
        return member.relay.state.router.fleet.servers.keys() >= set(
            self._by_name
        )

    def _start(self, work: asyncio._CoroutineLike[None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self) -> None:
        while True:
            await asyncio.sleep(self._draws.expovariate(self._rate))
            member = self._draws.choice(self._swarm.members)
            if self.crowded and self._draws.random() < CROWDED_FRACTION:
                member = self.crowded
            if member.relay is not None and member.is_serving:
                self._start(self._serve(member))

    def _draw_prompt(self) -> requests.Prompt:
        """Returns a prompt that shares its prefix with some others."""
        prefix = self._draws.randrange(PREFIXES)
        return attrs.evolve(
            relay_parts.PROMPT,
            parts=(
                requests.PromptPart(f"shared{prefix}", 500),
                requests.PromptPart("own", 500),
            ),
        )

    async def _serve(self, member: relay_swarm.Member) -> None:
        assert member.relay is not None
        state = member.relay.state
        now = state.clock()
        request = relay_parts.make_request(
            relay_parts.CHAT,
            arrived=now,
            deadline=now + 20.0,
            prompt=self._draw_prompt(),
        )
        state.router.record_request(request, now)
        machine = machine_lib.RelayMachine(request, state.router)
        effect = machine.handle(messages.Started(), now)
        while isinstance(effect, messages.Send):
            effect = await self._attempt(member, machine, effect)
        if isinstance(effect, messages.Refuse):
            self.refused.append(self._describe_refusal(member, machine, effect))
        else:
            self.delivered += 1

    def _describe_refusal(
        self,
        member: relay_swarm.Member,
        machine: machine_lib.RelayMachine,
        effect: messages.Refuse,
    ) -> RefusedCall:
        now = asyncio.get_running_loop().time()
        ends = [
            each.rests[member.name][1] if member.name in each.rests else now
            for each in self.engines
        ]
        return RefusedCall(
            effect.refusal,
            now - machine.request.arrived,
            machine.sent,
            max(0.0, min(ends) - now),
        )

    async def _attempt(
        self,
        member: relay_swarm.Member,
        machine: machine_lib.RelayMachine,
        send: messages.Send,
    ) -> messages.Effect:
        assert member.relay is not None
        state = member.relay.state
        engine = self._by_name[send.server.entry.server_id]
        sent_at = state.clock()
        await asyncio.sleep(relay_swarm.LATENCY)
        engine.receive(member.name, machine.request.arrived)
        is_declined = engine.rest is not None
        await asyncio.sleep(relay_swarm.LATENCY if is_declined else FIRST_PART)
        state.report_tracker.apply_report(
            send.server,
            engine.respond(member.name),
            sent_at,
            is_success=not is_declined,
        )
        if not is_declined:
            await asyncio.sleep(COMPLETION - FIRST_PART)
        status, exchange_state, outcome = _RESULTS[is_declined]
        state.router.record_outcome(
            machine.request, send, outcome, state.clock()
        )
        return machine.handle(
            messages.AttemptEnded(exchange_state, status), state.clock()
        )


# Status, state and outcome of an attempt, by whether it was declined.
_RESULTS = {
    False: (
        200,
        outcomes.ExchangeState.ANSWERED,
        response_times.AttemptOutcome.WELL,
    ),
    True: (
        503,
        outcomes.ExchangeState.DECLINED,
        response_times.AttemptOutcome.FULL,
    ),
}


async def begin(
    hosts: int, engines: int | None = None
) -> tuple[relay_swarm.Swarm, Traffic]:
    """Returns a swarm and its traffic after a warm-up of three seconds.

    Args:
        hosts: Number of hosts; a key of ``SIZES``.
        engines: Number of engines; None for that in ``SIZES``.
    """
    default_engines, rate = SIZES[hosts]
    swarm = await relay_swarm.start_swarm(hosts)
    traffic = Traffic(swarm, engines or default_engines, rate)
    await traffic.begin()
    await asyncio.sleep(3.0)
    return swarm, traffic
