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
import pytest
import relay_cluster
import relay_swarm
import swarm_troubles
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.core import refusals

if TYPE_CHECKING:
    from collections.abc import Callable

LEAVES = b"X-Server-Leaving: 1\r\n"
CALLS = 30  # Of callers at each host, once the word is known.
AWAY = 12.0  # Seconds for which the store is away.
ALL_TOLD = 2.0  # Seconds until one host's answer is known to all.


@pytest.mark.parametrize("relays", [3, 7])
async def test_a_leaving_server_gets_nothing_more(
    monkeypatch: pytest.MonkeyPatch, relays: int
) -> None:
    async with relay_cluster.open_cluster(monkeypatch, relays, 3) as cluster:
        leaving = await cluster.find_wanted()
        leaving.words = LEAVES
        await cluster.call_until(
            lambda relay: (
                relay.state.router.fleet.servers[
                    leaving.server_id
                ].departure.said_at
                is not None
            )
        )
        await cluster.assert_all_served_without(leaving, CALLS)


@pytest.mark.parametrize("hosts", engine_traffic.SIZES)
def test_no_host_sends_to_a_leaving_server_while_the_store_is_away(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm, traffic = await engine_traffic.begin(hosts)
        swarm_troubles.store_away(swarm)
        (engine,) = traffic.most_wanted(1)
        engine.is_leaving = True
        await asyncio.sleep(AWAY)
        swarm.store.fault.clear()
        await asyncio.sleep(3.0)
        assertions.assert_that(engine.after_leaving, matchers.Equals([]))
        # One host's answer is enough for all.
        first = min(engine.leaving_passed_on.values())
        late = [at for at in engine.arrived if at > first + ALL_TOLD]
        assertions.assert_that(late, matchers.Equals([]))
        assertions.assert_that(
            traffic.share_served(), matchers.GreaterThan(0.99)
        )

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize(
    "trouble",
    [swarm_troubles.third_cut_off, swarm_troubles.hosts_with_old_lists],
)
@pytest.mark.parametrize("hosts", [7, 84])
def test_nor_where_hosts_know_little(
    monkeypatch: pytest.MonkeyPatch,
    hosts: int,
    trouble: Callable[[relay_swarm.Swarm], None],
) -> None:
    async def scenario() -> None:
        swarm, traffic = await engine_traffic.begin(hosts)
        trouble(swarm)
        (engine,) = traffic.most_wanted(1)
        engine.is_leaving = True
        await asyncio.sleep(AWAY)
        assertions.assert_that(engine.after_leaving, matchers.Equals([]))

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", [7, 84])
def test_a_server_may_leave_while_it_rests_and_names_a_limit(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        _, traffic = await engine_traffic.begin(hosts)
        (engine,) = traffic.most_wanted(1)
        engine.begin_limit(1.7)
        await asyncio.sleep(4.0)
        engine.rest = 3.0
        await asyncio.sleep(4.0)
        engine.is_leaving = True
        await asyncio.sleep(4.0)
        engine.rest = None
        await asyncio.sleep(6.0)
        assertions.assert_that(engine.after_leaving, matchers.Equals([]))
        assertions.assert_that(engine.during_rest, matchers.Equals([]))
        assertions.assert_that(
            engine.most_in_a_window(),
            matchers.LessThan(engine_traffic.allowed(1.7) + 1e-9),
        )
        assertions.assert_that(
            traffic.share_served(), matchers.GreaterThan(0.99)
        )

    relay_swarm.play(monkeypatch, scenario())


def test_all_restarted_learn_it_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        swarm, traffic = await engine_traffic.begin(84)
        (engine,) = traffic.most_wanted(1)
        engine.is_leaving = True
        await asyncio.sleep(4.0)
        swarm_troubles.all_restarted(swarm)
        engine.leaving_passed_on.clear()
        await asyncio.sleep(AWAY)
        assertions.assert_that(engine.after_leaving, matchers.Equals([]))
        first = min(engine.leaving_passed_on.values())
        late = [at for at in engine.arrived if at > first + ALL_TOLD]
        assertions.assert_that(late, matchers.Equals([]))

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", engine_traffic.SIZES)
def test_all_of_a_service_leave_one_after_the_other(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    """A roll-out: each is replaced by another start, two seconds later."""

    async def scenario() -> None:
        _, traffic = await engine_traffic.begin(hosts, engines=4)
        for number, engine in enumerate(traffic.engines):
            engine.is_leaving = True
            await asyncio.sleep(2.0)
            assertions.assert_that(engine.after_leaving, matchers.Equals([]))
            engine.start_anew()
            await traffic.list_engine(engine, born=2000 + number)
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(3.0)
            # What was said of the start before binds nobody.
            assertions.assert_that(
                engine.rate_since(begin), matchers.GreaterThan(0.0)
            )
        assertions.assert_that(
            traffic.share_served(), matchers.GreaterThan(0.99)
        )

    relay_swarm.play(monkeypatch, scenario())


def test_where_all_leave_callers_are_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        _, traffic = await engine_traffic.begin(7, engines=4)
        for engine in traffic.engines:
            engine.is_leaving = True
        await asyncio.sleep(AWAY)
        for engine in traffic.engines:
            assertions.assert_that(engine.after_leaving, matchers.Equals([]))
        at_once = [each for each in traffic.refused if not each.sent]
        assertions.assert_that(
            {
                (each.refusal.reason, each.refusal.outcome, each.took)
                for each in at_once
            },
            matchers.Equals(
                {
                    (
                        refusals.Reason.SERVERS_LEAVING,
                        outcomes.Outcome.NOT_RUN,
                        0.0,
                    )
                }
            ),
        )
        # The longer it has lasted, the later callers are told to come back.
        waits = [each.refusal.retry_after for each in at_once]
        assertions.assert_that(waits[0], matchers.LessThan(1.0))
        assertions.assert_that(waits[-1], matchers.GreaterThan(2.0))

    relay_swarm.play(monkeypatch, scenario())
