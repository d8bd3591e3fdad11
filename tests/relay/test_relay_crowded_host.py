"""One host that gets most of the new connections for some seconds.

Guards against serving callers at such a host worse than before, because limits
are divided evenly among hosts.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import engine_traffic
import pytest
import relay_cluster
import relay_swarm
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    from collections.abc import Callable

RELAYS = 5
ENGINES = 3
CALLS = 90  # Requests at once, each on a connection of its own.
STABLE_SECONDS = 4.0  # Seconds until the crowded host must serve as before.
MIN_FRACTION = 0.75  # Of the fraction that was served before.
ROOM = 2.0  # What servers allow, relative to the requests.


async def test_a_crowded_host_serves_what_it_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_cluster.open_cluster(
        monkeypatch, RELAYS, ENGINES
    ) as cluster:

        async def call(number: int) -> bool:
            async with aiohttp.ClientSession() as caller:
                cluster.caller = caller
                relay = 0 if number % 10 else number // 10 % RELAYS
                answer = await cluster.call(
                    relay, b"%d" % number, f"r{number}", f"/chat/{number}"
                )
            return answer.is_whole_stream

        served = await asyncio.gather(*map(call, range(CALLS)))
        assertions.assert_that(all(served), matchers.Is(True))


def limit_rates(traffic: engine_traffic.Traffic, rate: float) -> None:
    """Makes engines limit the requests of all hosts together."""
    for engine in traffic.engines:
        engine.begin_limit(ROOM * rate / len(traffic.engines))


def no_limits(traffic: engine_traffic.Traffic, rate: float) -> None:
    """Leaves engines without limits."""


@pytest.mark.parametrize("prepare", [no_limits, limit_rates])
def test_a_crowded_host_serves_as_before(
    monkeypatch: pytest.MonkeyPatch,
    prepare: Callable[[engine_traffic.Traffic, float], None],
) -> None:
    async def fraction_served(
        traffic: engine_traffic.Traffic, seconds: float
    ) -> float:
        traffic.delivered = 0
        traffic.refused.clear()
        await asyncio.sleep(seconds)
        return traffic.fraction_served()

    async def scenario() -> None:
        hosts = 7
        swarm, traffic = await engine_traffic.begin(hosts)
        prepare(traffic, engine_traffic.SIZES[hosts][1])
        await asyncio.sleep(STABLE_SECONDS)
        before = await fraction_served(traffic, 5.0)
        traffic.crowded = swarm.members[2]
        await asyncio.sleep(STABLE_SECONDS)
        crowded = await fraction_served(traffic, 8.0)
        assertions.assert_that(
            crowded, matchers.GreaterThan(MIN_FRACTION * before)
        )

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())
