"""Any two faults at once, under traffic of every kind."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

import attrs
import pytest
import system_deployment
import system_processes
import system_table
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PLATFORM = "platform"
PAIRS = 3  # Pairs of faults a test.
LASTS = 40  # Answers for which a fault stays.
WORKERS = 24
PATIENCE = 4.0  # Seconds until a caller hangs up on a frozen host.


@attrs.define
class Storm:
    """Traffic, and faults that come and go by the count of answers.

    Attributes:
        deployment: The processes.
        hosts: Those that are asked, in turn.
        done: Ends the traffic.
    """

    deployment: system_deployment.Deployment
    hosts: list[system_processes.Program]
    done: bool = False
    numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    async def ask(self) -> None:
        """Sends one request after another, of each kind in turn."""
        caller = self.deployment.caller
        while not self.done:
            number = next(self.numbers)
            host = self.hosts[number % len(self.hosts)]
            mark = caller.mark()
            kind = number // len(self.hosts) % 4
            if kind == 0:
                await caller.confirm(host, mark, deadline=3.0)
            elif kind == 1:
                await self._confirm_twice(number, mark)
            elif kind == 2:
                await caller.chat(host, mark, "auto", deadline=3.0)
            else:
                session = f"session-{number % 5}"
                await caller.chat(host, mark, session=session, deadline=3.0)

    async def _confirm_twice(self, number: int, mark: str) -> None:
        """Sends the same confirm under one key to two hosts."""
        for at in (number, number + 1):
            host = self.hosts[at % len(self.hosts)]
            await self.deployment.caller.confirm(
                host, mark, f"own-{mark}", deadline=3.0
            )

    async def await_answers(self, count: int = LASTS) -> None:
        """Returns after so many answers more."""
        caller = self.deployment.caller
        due = len(caller.answers) + count

        async def come() -> bool:
            return len(caller.answers) >= due

        await system_processes.wait_until(come, f"{count} answers")

    # Faults. The first host dies, the second freezes, the third goes on.

    async def kill(self) -> None:
        """Kills a host, and starts another of its name."""
        await self.deployment.kill(self.hosts[0])
        await self.await_answers()
        self.hosts[0] = await self.deployment.start_entry("entry-1")

    async def freeze(self) -> None:
        """Pauses a host."""
        self.hosts[1].freeze()
        await self.await_answers()
        self.hosts[1].thaw()

    async def outage(self) -> None:
        """Takes the log down."""
        await self._fault(PLATFORM, "outage", match="/streams")

    async def lose_replies(self) -> None:
        """Has the log keep records and lose its replies."""
        await self._fault(
            PLATFORM, "apply_but_lose_reply", match="/streams", method="POST"
        )

    async def slow_log(self) -> None:
        """Slows the log down."""
        await self._fault(PLATFORM, "delay", match="/streams", seconds=0.3)

    async def cut_calls(self) -> None:
        """Has a backend server run calls and cut the connection."""
        await self._fault(
            "counter-1", "apply_but_lose_reply", match="/confirm", count=10
        )

    async def cut_streams(self) -> None:
        """Has an engine cut its streams."""
        await self._fault(
            "engine-1", "cut_after_bytes", match="/v1/chat", bytes=400
        )

    async def cross_frames(self) -> None:
        """Has an engine mix up its frames."""
        await self._fault("engine-2", "crossed_frames", match="/v1/chat")

    async def replace_server(self) -> None:
        """Has a backend server leave, and another come at its address."""
        await self.deployment.processes.inject_fault("counter-2", "leaving")
        await self.await_answers()
        await self.deployment.replace_counter("counter-2")

    async def _fault(self, name: str, kind: str, **fields: object) -> None:
        number = await self.deployment.processes.inject_fault(
            name, kind, **fields
        )
        await self.await_answers()
        await self.deployment.processes.clear_fault(name, number)


FAULTS: tuple[Callable[[Storm], Awaitable[None]], ...] = (
    Storm.kill,
    Storm.freeze,
    Storm.outage,
    Storm.lose_replies,
    Storm.slow_log,
    Storm.cut_calls,
    Storm.cut_streams,
    Storm.cross_frames,
    Storm.replace_server,
)


@pytest.mark.parametrize("seed", range(4))
async def test_two_faults_at_once(
    deployment: system_deployment.Deployment, seed: int
) -> None:
    hosts = await deployment.start(hosts=3)
    deployment.caller.patience = PATIENCE
    storm = Storm(deployment, hosts)
    asking = [asyncio.create_task(storm.ask()) for _ in range(WORKERS)]
    draws = random.Random(seed)
    for _ in range(PAIRS):
        pair = draws.sample(FAULTS, 2)
        await storm.await_answers()
        await asyncio.gather(*(fault(storm) for fault in pair))
        await deployment.await_ready(*storm.hosts)
        # The bills of a host that died come by its holder, which must live.
        await deployment.await_bills()
    storm.done = True
    await asyncio.gather(*asking)
    told = await deployment.caller.confirm(
        storm.hosts[0], deployment.caller.mark()
    )
    assertions.assert_that(
        told.version, matchers.Equals(f"counter {system_table.CONFIRM}")
    )
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))
