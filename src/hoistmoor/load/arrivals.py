"""Open-loop load: arrival times do not depend on earlier responses."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import random
import time
from typing import TYPE_CHECKING

import attrs

from hoistmoor.load import calls

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from hoistmoor.load import caller as caller_lib

MAX_RATE = 1000.0  # Highest accepted rate, in requests per second.
MAX_COUNT = 200_000  # Highest accepted number of requests in one run.


@attrs.frozen
class LoadPlan:
    """The parameters of one load run.

    Attributes:
        entries: Base URLs, used round-robin.
        mix: Calls, drawn with equal probability.
        rate: Mean requests per second.
        count: Total number of requests.
        seed: Seed of the arrival times and of the choice of calls.
        max_in_flight: Maximum number of concurrent requests; the time that
            further ones wait for a slot counts towards their latency.
    """

    entries: Sequence[str]
    mix: Sequence[calls.Call]
    rate: float
    count: int
    seed: int = 1
    max_in_flight: int = 256


def arrival_offsets(plan: LoadPlan) -> Iterator[float]:
    """Yields when requests are due, in seconds from the start of the run."""
    rng = random.Random(plan.seed)
    offset = 0.0
    for _ in range(plan.count):
        offset += rng.expovariate(plan.rate)
        yield offset


async def run(
    plan: LoadPlan,
    caller: caller_lib.HttpCaller,
    on_result: Callable[[calls.RequestResult], None],
) -> None:
    """Sends the requests of a plan.

    Args:
        plan: What to send, and when.
        caller: Sends the requests.
        on_result: Called with the result of each request as it ends.
    """
    mix_rng = random.Random(plan.seed + 1)
    slots = asyncio.Semaphore(plan.max_in_flight)
    start = time.time()

    async def send(serial: int, call: calls.Call, due: float) -> None:
        async with slots:
            entry = plan.entries[serial % len(plan.entries)]
            on_result(await caller.send(serial, entry, call, due))

    async with asyncio.TaskGroup() as group:
        for serial, offset in enumerate(arrival_offsets(plan)):
            await asyncio.sleep(max(0.0, start + offset - time.time()))
            call = mix_rng.choice(plan.mix)
            group.create_task(send(serial, call, start + offset))
