"""Tests pairs of simultaneous faults under traffic of every kind."""

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
PAIRS = 3  # Pairs of faults per test.
FAULT_RESPONSES = 40  # Responses during which a fault is active.
CALLERS = 24
CALLER_TIMEOUT = 4.0  # Seconds; ends requests to a frozen host.


@attrs.define
class FaultScenario:
    """Traffic with faults that last for a number of responses.

    Attributes:
        deployment: Deployment under test.
        hosts: Hosts that receive requests in turn.
        done: Whether the traffic should end.
        numbers: Numbers of the requests.
    """

    deployment: system_deployment.Deployment
    hosts: list[system_processes.Program]
    done: bool = False
    numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    async def send_requests(self) -> None:
        """Sends sequential requests of each kind in turn."""
        caller = self.deployment.caller
        while not self.done:
            number = next(self.numbers)
            host = self.hosts[number % len(self.hosts)]
            mark = caller.make_mark()
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
        """Sends the same confirm call with one key to two hosts."""
        for at in (number, number + 1):
            host = self.hosts[at % len(self.hosts)]
            await self.deployment.caller.confirm(
                host, mark, f"own-{mark}", deadline=3.0
            )

    async def await_responses(self, count: int = FAULT_RESPONSES) -> None:
        """Waits for a number of further responses."""
        caller = self.deployment.caller
        target = len(caller.responses) + count

        async def received() -> bool:
            return len(caller.responses) >= target

        await system_processes.wait_until(received, f"{count} responses")

    # Faults. They kill the first host and freeze the second; the third runs on.

    async def kill(self) -> None:
        """Kills a host and starts another with its name."""
        await self.deployment.kill(self.hosts[0])
        await self.await_responses()
        self.hosts[0] = await self.deployment.start_entry("entry-1")

    async def freeze(self) -> None:
        """Suspends a host."""
        self.hosts[1].freeze()
        await self.await_responses()
        self.hosts[1].thaw()

    async def outage(self) -> None:
        """Takes the log down."""
        await self._fault(PLATFORM, "outage", match="/streams")

    async def lose_replies(self) -> None:
        """Makes the log store records and lose the replies."""
        await self._fault(
            PLATFORM, "apply_but_lose_reply", match="/streams", method="POST"
        )

    async def slow_log(self) -> None:
        """Delays responses of the log."""
        await self._fault(PLATFORM, "delay", match="/streams", seconds=0.3)

    async def cut_calls(self) -> None:
        """Makes a backend server execute calls and drop the connection."""
        await self._fault(
            "counter-1", "apply_but_lose_reply", match="/confirm", count=10
        )

    async def cut_streams(self) -> None:
        """Makes an engine truncate its streams."""
        await self._fault(
            "engine-1", "cut_after_bytes", match="/v1/chat", bytes=400
        )

    async def cross_frames(self) -> None:
        """Makes an engine interchange frames of its streams."""
        await self._fault("engine-2", "crossed_frames", match="/v1/chat")

    async def replace_server(self) -> None:
        """Replaces a leaving backend server by another at its address."""
        await self.deployment.processes.inject_fault("counter-2", "leaving")
        await self.await_responses()
        await self.deployment.replace_counter("counter-2")

    async def _fault(self, name: str, kind: str, **fields: object) -> None:
        number = await self.deployment.processes.inject_fault(
            name, kind, **fields
        )
        await self.await_responses()
        await self.deployment.processes.clear_fault(name, number)


FAULTS: tuple[Callable[[FaultScenario], Awaitable[None]], ...] = (
    FaultScenario.kill,
    FaultScenario.freeze,
    FaultScenario.outage,
    FaultScenario.lose_replies,
    FaultScenario.slow_log,
    FaultScenario.cut_calls,
    FaultScenario.cut_streams,
    FaultScenario.cross_frames,
    FaultScenario.replace_server,
)


@pytest.mark.parametrize("seed", range(4))
async def test_two_faults_at_once(
    deployment: system_deployment.Deployment, seed: int
) -> None:
    hosts = await deployment.start(hosts=3)
    deployment.caller.timeout_seconds = CALLER_TIMEOUT
    scenario = FaultScenario(deployment, hosts)
    traffic = [
        asyncio.create_task(scenario.send_requests()) for _ in range(CALLERS)
    ]
    rng = random.Random(seed)
    for _ in range(PAIRS):
        pair = rng.sample(FAULTS, 2)
        await scenario.await_responses()
        await asyncio.gather(*(fault(scenario) for fault in pair))
        await deployment.await_ready(*scenario.hosts)
        # A killed host's bills are written by their holder, which must run.
        await deployment.await_bills()
    scenario.done = True
    await asyncio.gather(*traffic)
    response = await deployment.caller.confirm(
        scenario.hosts[0], deployment.caller.make_mark()
    )
    assertions.assert_that(
        response.version,
        matchers.Equals(f"counter {system_table.CONFIRM_ITEM}"),
    )
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))
