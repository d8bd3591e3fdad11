"""Callers of many hosts in virtual time, before engines that say something.

Each request goes through the hosts' own decisions: a machine of its own, the
host's router, and what the engine tells of itself in its answer. Only sockets
are left out.
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
from hoistmoor.core.relay.answers import pace
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.course import requests
from hoistmoor.core.relay.servers import reports

# The promise to a server that names a limit: from some seconds after it first
# did, it gets in any window at most so many times what the limit allows and a
# few requests more, from hosts that were told a while ago.
SETTLED = 3.0
WINDOW = 4.0
FACTOR = 1.5
SPARE = 5.0
TOLD_FOR = 0.5
# Hosts, engines and requests a second: the sizes of the deployments, and the
# size that is planned for.
SIZES = {7: (6, 35.0), 84: (60, 300.0), 360: (90, 850.0)}
SUBJECTS = 200  # Starts of prompts, so that all engines are wanted alike.
FIRST_PART = 0.1  # Seconds until an answer begins.
WHOLE = 1.0  # Seconds until it has ended.
# The promise to a server that says it leaves: of callers who call longer than
# so many seconds after a host has passed that on, it gets nothing from there.
LEAVING_HEARD = 2.0
# The promise to a server that asks a host for rest: so many seconds later it
# gets nothing from there until the rest is over.
REST_HEARD = 0.5


@attrs.define
class Engine:
    """One engine, what it names, and what it gets.

    Attributes:
        name: Its id.
        limit: Requests a second that it takes from all hosts; None for all.
        named_at: When it first named a limit.
        told: When each host was first told, by the host's name.
        arrived: When requests came, from any host.
        counted: When requests came from hosts that had been told.
        is_leaving: Whether it says that it leaves.
        leaving_passed_on: When each host first passed on an answer that says
            so, by the host's name.
        after_leaving: Requests that came though they should not, then.
        rest: Seconds of rest that it asks of whom it turns away; None while
            it turns nobody away.
        rests: Since when and until when each host was to send nothing.
        during_rest: Requests that came though they should not, then.
    """

    name: str
    limit: float | None = None
    named_at: float = 0.0
    told: dict[str, float] = attrs.field(factory=dict)
    arrived: list[float] = attrs.field(factory=list)
    counted: list[float] = attrs.field(factory=list)
    is_leaving: bool = False
    leaving_passed_on: dict[str, float] = attrs.field(factory=dict)
    after_leaving: list[float] = attrs.field(factory=list)
    rest: float | None = None
    rests: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    during_rest: list[float] = attrs.field(factory=list)

    def begin_limit(self, limit: float) -> None:
        """Names a limit from now on."""
        self.limit = limit
        self.named_at = asyncio.get_running_loop().time()

    def end_limit(self) -> None:
        """Names none from now on."""
        self.limit = None
        self.told.clear()

    def start_anew(self) -> None:
        """Ends, and starts by the same name."""
        self.is_leaving = False
        self.leaving_passed_on.clear()

    def take(self, host: str, called_at: float) -> None:
        """Gets a request, of a caller who called some time before."""
        now = asyncio.get_running_loop().time()
        self.arrived.append(now)
        if called_at > self.leaving_passed_on.get(host, now) + LEAVING_HEARD:
            self.after_leaving.append(now)
        since, until = self.rests.get(host, (now, now))
        if since + REST_HEARD < now < until:
            self.during_rest.append(now)
        if now - self.told.get(host, now) >= TOLD_FOR:
            self.counted.append(now)

    def answer(self, host: str) -> reports.ServerReport:
        """Answers a host; returns what the answer says."""
        now = asyncio.get_running_loop().time()
        if self.limit is not None:
            self.told.setdefault(host, now)
        if self.is_leaving:
            self.leaving_passed_on.setdefault(host, now)
        if self.rest is not None:
            _, until = self.rests.get(host, (now, now))
            self.rests[host] = (now, max(until, now + self.rest))
        return reports.ServerReport(
            limit=self.limit, is_leaving=self.is_leaving, rest=self.rest
        )

    def most_in_a_window(self) -> int:
        """Returns the most that counts within one window."""
        counted = [at for at in self.counted if at >= self.named_at + SETTLED]
        return max(
            (
                bisect.bisect_right(counted, at + WINDOW) - number
                for number, at in enumerate(counted)
            ),
            default=0,
        )

    def rate_since(self, begin: float) -> float:
        """Returns the requests a second that it has got since a moment."""
        now = asyncio.get_running_loop().time()
        count = len(self.arrived) - bisect.bisect_left(self.arrived, begin)
        return count / (now - begin)


def allowed(limit: float) -> float:
    """Returns the requests that may count within one window."""
    return FACTOR * limit * WINDOW + SPARE


@attrs.frozen
class Refused:
    """A call that was refused.

    Attributes:
        refusal: How.
        took: Seconds from the call to the refusal.
        sent: Engines that had got it.
        rest_left: Seconds until the first of the rests ends that engines had
            asked of the host.
    """

    refusal: refusals.Refusal
    took: float
    sent: int
    rest_left: float


class Traffic:
    """Callers of all hosts of a swarm, and the engines behind these.

    Attributes:
        engines: The engines.
        refused: Refused calls, in order.
        delivered: How many requests were answered.
    """

    def __init__(
        self, swarm: relay_swarm.Swarm, engines: int, rate: float
    ) -> None:
        """Makes callers that send nothing yet.

        Args:
            swarm: The hosts.
            engines: How many.
            rate: Requests a second, of all callers.
        """
        self.engines = [Engine(f"e{number}") for number in range(engines)]
        self.refused: list[Refused] = []
        self.delivered = 0
        self._by_name = {each.name: each for each in self.engines}
        self._swarm = swarm
        self._rate = rate
        self._draws = random.Random(len(swarm.members))
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Lists the engines; callers send from then on."""
        for engine in self.engines:
            await self.list_engine(engine, born=1000)
        await self._swarm.until(self._knows_engines)
        self._start(self._call())

    async def list_engine(self, engine: Engine, born: int) -> None:
        """Lists an engine's start."""
        entry = relay_parts.entry(
            engine.name,
            service="llm",
            address=f"{engine.name}:1",
            slots=64,
            born=born,
        )
        await self._swarm.store.publish("servers", engine.name, entry)

    def most_wanted(self, count: int) -> list[Engine]:
        """Returns the engines that have got the most requests."""
        by_demand = sorted(self.engines, key=lambda each: len(each.arrived))
        return by_demand[-count:]

    def share_served(self) -> float:
        """Returns the part of the calls that have ended which was answered."""
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
            if member.relay is not None and member.is_serving:
                self._start(self._serve(member))

    def _draw_prompt(self) -> requests.Prompt:
        """Returns a prompt that shares its start with some others."""
        subject = self._draws.randrange(SUBJECTS)
        return attrs.evolve(
            relay_parts.PROMPT,
            parts=(
                requests.PromptPart(f"shared{subject}", 500),
                requests.PromptPart("own", 500),
            ),
        )

    async def _serve(self, member: relay_swarm.Member) -> None:
        assert member.relay is not None
        state = member.relay.state
        now = state.clock()
        request = relay_parts.request(
            relay_parts.CHAT,
            arrived=now,
            deadline=now + 20.0,
            prompt=self._draw_prompt(),
        )
        state.router.note_request(request, now)
        machine = machine_lib.RelayMachine(request, state.router)
        effect = machine.handle(messages.Started(), now)
        while isinstance(effect, messages.Send):
            effect = await self._attempt(member, machine, effect)
        if isinstance(effect, messages.Refuse):
            self.refused.append(self._refused(member, machine, effect))
        else:
            self.delivered += 1

    def _refused(
        self,
        member: relay_swarm.Member,
        machine: machine_lib.RelayMachine,
        effect: messages.Refuse,
    ) -> Refused:
        now = asyncio.get_running_loop().time()
        ends = [
            each.rests[member.name][1] if member.name in each.rests else now
            for each in self.engines
        ]
        return Refused(
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
        engine.take(member.name, machine.request.arrived)
        turned_away = engine.rest is not None
        await asyncio.sleep(relay_swarm.LATENCY if turned_away else FIRST_PART)
        state.server_beliefs.take_report(
            send.server,
            engine.answer(member.name),
            sent_at,
            is_success=not turned_away,
        )
        if not turned_away:
            await asyncio.sleep(WHOLE - FIRST_PART)
        status, exchange_state, outcome = _ENDS[turned_away]
        state.router.note_ended(machine.request, send, outcome, state.clock())
        return machine.handle(
            messages.AttemptEnded(exchange_state, status), state.clock()
        )


# Status, state and outcome of an attempt, by whether it was turned away.
_ENDS = {
    False: (200, outcomes.ExchangeState.ANSWERED, pace.AttemptOutcome.WELL),
    True: (503, outcomes.ExchangeState.DECLINED, pace.AttemptOutcome.FULL),
}


async def begin(
    hosts: int, engines: int | None = None
) -> tuple[relay_swarm.Swarm, Traffic]:
    """Returns hosts and their callers, who have called for a while.

    Args:
        hosts: How many; a size in ``SIZES``.
        engines: How many, if not those of the size.
    """
    usual, rate = SIZES[hosts]
    swarm = await relay_swarm.calm_swarm(hosts)
    traffic = Traffic(swarm, engines or usual, rate)
    await traffic.begin()
    await asyncio.sleep(3.0)
    return swarm, traffic
