"""A server that says in its answers that it leaves.

An engine said so while the store was away, so that the store listed it as
leaving twelve seconds later only. Each host went on choosing it, one of them
9.8 s after it had passed on an answer with that word, another 11.1 s after:
nobody read the word. What ran there when the engine ended was cut. The engine
got 4 and 13 requests in the two seconds after its word, 9 and 5 in the seconds
in which the store came back, and nothing once the store had listed it:

    8.442 bangna-3 has passed on an answer of 9b29cd that says so
    19.503 a request of a caller who called at 19.497 reaches it from bangna-3
    20.522 {"event":"server","server":"i-9b29cd","leaving":true}
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import engine_traffic
import relay_cluster
import relay_swarm
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import pytest

LEAVES = b"X-Server-Leaving: 1\r\n"
CALLS = 30  # Of callers at each host, once the word is known.
AWAY = 12.0  # Seconds for which the store is away.


async def call_until_known(
    cluster: relay_cluster.Cluster, server_id: str
) -> None:
    """Has callers call until all hosts know that a server leaves."""
    async with asyncio.timeout(relay_cluster.PATIENCE):
        for number, relay in enumerate(cluster.relays):
            server = relay.state.router.fleet.servers[server_id]
            while server.departure.said_at is None:
                await cluster.call(number, b"first")


async def test_a_leaving_server_gets_nothing_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_cluster.open_cluster(monkeypatch, 3, 3) as cluster:
        leaving = await cluster.find_wanted()
        leaving.words = LEAVES
        await call_until_known(cluster, leaving.server_id)
        leaving.arrived.clear()
        for number in range(len(cluster.relays)):
            for _ in range(CALLS):
                answer = await cluster.call(number, b"later")
                assertions.assert_that(
                    answer.is_whole_stream, matchers.Is(True)
                )
        assertions.assert_that(leaving.arrived, matchers.Equals([]))


def test_no_host_sends_to_a_leaving_server_while_the_store_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        swarm, traffic = await engine_traffic.begin(7)
        swarm.store.fault[""] = "silent"
        (engine,) = traffic.most_wanted(1)
        engine.is_leaving = True
        await asyncio.sleep(AWAY)
        swarm.store.fault.clear()
        await asyncio.sleep(3.0)
        assertions.assert_that(engine.after_leaving, matchers.Equals([]))

    relay_swarm.play(monkeypatch, scenario())
