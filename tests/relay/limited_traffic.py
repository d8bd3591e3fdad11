"""Callers of many hosts in virtual time, before engines that name limits.

Each request goes through the hosts' own decisions: a machine of its own, the
host's router, and what the engine tells of itself in its answer. Only sockets
are left out.
"""

from __future__ import annotations

import asyncio
import bisect
import random
from typing import TYPE_CHECKING

import attrs
import relay_parts
import relay_swarm

from hoistmoor.core import outcomes
from hoistmoor.core.relay.answers import pace
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.course import requests
from hoistmoor.core.relay.servers import reports

if TYPE_CHECKING:
    from hoistmoor.core import refusals

# The promise to a server that names a limit: from some seconds after it first
# did, it gets in any window at most so many times what the limit allows and a
# few requests more, from hosts that were told a while ago.
SETTLED = 3.0
WINDOW = 4.0
FACTOR = 1.5
SPARE = 5.0
TOLD_FOR = 0.5
SUBJECTS = 200  # Starts of prompts, so that all engines are wanted alike.
FIRST_PART = 0.1  # Seconds until an answer begins.
WHOLE = 1.0  # Seconds until it has ended.


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
    """

    name: str
    limit: float | None = None
    named_at: float = 0.0
    told: dict[str, float] = attrs.field(factory=dict)
    arrived: list[float] = attrs.field(factory=list)
    counted: list[float] = attrs.field(factory=list)

    def begin_limit(self, limit: float) -> None:
        """Names a limit from now on."""
        self.limit = limit
        self.named_at = asyncio.get_running_loop().time()

    def end_limit(self) -> None:
        """Names none from now on."""
        self.limit = None
        self.told.clear()

    def take(self, host: str) -> None:
        """Gets a request."""
        now = asyncio.get_running_loop().time()
        self.arrived.append(now)
        if now - self.told.get(host, now) >= TOLD_FOR:
            self.counted.append(now)

    def tell(self, host: str) -> float | None:
        """Answers a host; returns the limit that the answer names."""
        if self.limit is not None:
            now = asyncio.get_running_loop().time()
            self.told.setdefault(host, now)
        return self.limit

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


class Traffic:
    """Callers of all hosts of a swarm, and the engines behind these.

    Attributes:
        engines: The engines.
        refused: Refusals, in order.
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
        self.refused: list[refusals.Refusal] = []
        self.delivered = 0
        self._by_name = {each.name: each for each in self.engines}
        self._swarm = swarm
        self._rate = rate
        self._draws = random.Random(len(swarm.members))
        self._tasks: set[asyncio.Task[None]] = set()

    async def begin(self) -> None:
        """Lists the engines; callers send from then on."""
        for engine in self.engines:
            entry = relay_parts.entry(
                engine.name,
                service="llm",
                address=f"{engine.name}:1",
                slots=64,
            )
            await self._swarm.store.publish("servers", engine.name, entry)
        await self._swarm.until(self._knows_engines)
        self._start(self._call())

    def most_wanted(self, count: int) -> list[Engine]:
        """Returns the engines that have got the most requests."""
        by_demand = sorted(self.engines, key=lambda each: len(each.arrived))
        return by_demand[-count:]

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
        if isinstance(effect, messages.Refuse):
            self.refused.append(effect.refusal)
            return
        assert isinstance(effect, messages.Send)
        engine = self._by_name[effect.server.entry.server_id]
        await asyncio.sleep(relay_swarm.LATENCY)
        engine.take(member.name)
        await asyncio.sleep(FIRST_PART)
        state.server_beliefs.take_report(
            effect.server,
            reports.ServerReport(limit=engine.tell(member.name)),
            now,
            is_success=True,
        )
        await asyncio.sleep(WHOLE - FIRST_PART)
        state.router.note_ended(
            request, effect, pace.AttemptOutcome.WELL, state.clock()
        )
        machine.handle(
            messages.AttemptEnded(outcomes.ExchangeState.ANSWERED, 200),
            state.clock(),
        )
        self.delivered += 1
