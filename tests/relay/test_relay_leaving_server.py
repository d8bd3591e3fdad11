"""A server that announces its departure in its responses.

Guards against sending requests to a server whose announcement has not reached
the store. In an observed failure, an engine announced its departure while the
store was unreachable, so the store listed it as leaving only twelve seconds
later. The header was not evaluated: two hosts still chose the engine 9.8 s and
11.1 s after they had forwarded a response with it, and the requests that were
running when the engine terminated were cut off. The engine received 4 and 13
requests in the two seconds after its announcement, 9 and 5 while the store
recovered, and none once the store had listed it:

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
import swarm_faults
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.core import refusals

if TYPE_CHECKING:
    from collections.abc import Callable

LEAVES = b"X-Server-Leaving: 1\r\n"
CALLS = 30  # Calls per host once the departure is known.
OUTAGE = 12.0  # Seconds for which the store is unreachable.
PROPAGATION = 2.0  # Seconds until all hosts know what one has received.


@pytest.mark.parametrize("relays", [3, 7])
async def test_a_leaving_server_receives_no_requests(
    monkeypatch: pytest.MonkeyPatch, relays: int
) -> None:
    async with relay_cluster.open_cluster(monkeypatch, relays, 3) as cluster:
        leaving = await cluster.find_preferred_engine()
        leaving.extra_headers = LEAVES
        await cluster.call_until(
            lambda relay: (
                relay.state.router.fleet.servers[
                    leaving.server_id
                ].departure.announced_at
                is not None
            )
        )
        await cluster.assert_all_served_without(leaving, CALLS)


@pytest.mark.parametrize("hosts", engine_traffic.SIZES)
def test_no_host_uses_a_leaving_server_during_a_store_outage(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm, traffic = await engine_traffic.begin(hosts)
        swarm_faults.make_store_unavailable(swarm)
        (engine,) = traffic.busiest_engines(1)
        engine.is_leaving = True
        await asyncio.sleep(OUTAGE)
        swarm.store.fault.clear()
        await asyncio.sleep(3.0)
        assertions.assert_that(engine.after_leaving, matchers.Equals([]))
        # A response to one host is enough to inform all of them.
        first = min(engine.departure_forwarded_at.values())
        late = [at for at in engine.arrived if at > first + PROPAGATION]
        assertions.assert_that(late, matchers.Equals([]))
        assertions.assert_that(
            traffic.fraction_served(), matchers.GreaterThan(0.99)
        )

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


@pytest.mark.parametrize(
    "inject_fault",
    [swarm_faults.partition_third, swarm_faults.give_stale_host_lists],
)
@pytest.mark.parametrize("hosts", [7, 84])
def test_no_host_uses_a_leaving_server_with_incomplete_peer_lists(
    monkeypatch: pytest.MonkeyPatch,
    hosts: int,
    inject_fault: Callable[[relay_swarm.Swarm], None],
) -> None:
    async def scenario() -> None:
        swarm, traffic = await engine_traffic.begin(hosts)
        inject_fault(swarm)
        (engine,) = traffic.busiest_engines(1)
        engine.is_leaving = True
        await asyncio.sleep(OUTAGE)
        assertions.assert_that(engine.after_leaving, matchers.Equals([]))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", [7, 84])
def test_departure_during_back_off_and_rate_limit(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        _, traffic = await engine_traffic.begin(hosts)
        (engine,) = traffic.busiest_engines(1)
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
            engine.max_requests_in_window(),
            matchers.LessThan(engine_traffic.allowed(1.7) + 1e-9),
        )
        assertions.assert_that(
            traffic.fraction_served(), matchers.GreaterThan(0.99)
        )

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


def test_restarted_hosts_relearn_the_departure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        swarm, traffic = await engine_traffic.begin(84)
        (engine,) = traffic.busiest_engines(1)
        engine.is_leaving = True
        await asyncio.sleep(4.0)
        swarm_faults.restart_all(swarm)
        engine.departure_forwarded_at.clear()
        await asyncio.sleep(OUTAGE)
        assertions.assert_that(engine.after_leaving, matchers.Equals([]))
        first = min(engine.departure_forwarded_at.values())
        late = [at for at in engine.arrived if at > first + PROPAGATION]
        assertions.assert_that(late, matchers.Equals([]))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", engine_traffic.SIZES)
def test_servers_of_a_service_leave_one_after_the_other(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    """A rollout restarts each server two seconds after its announcement."""

    async def scenario() -> None:
        _, traffic = await engine_traffic.begin(hosts, engines=4)
        for number, engine in enumerate(traffic.engines):
            engine.is_leaving = True
            await asyncio.sleep(2.0)
            assertions.assert_that(engine.after_leaving, matchers.Equals([]))
            engine.restart()
            await traffic.list_engine(engine, born=2000 + number)
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(3.0)
            # The previous incarnation's announcement no longer applies.
            assertions.assert_that(
                engine.rate_since(begin), matchers.GreaterThan(0.0)
            )
        assertions.assert_that(
            traffic.fraction_served(), matchers.GreaterThan(0.99)
        )

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


def test_requests_are_refused_immediately_when_all_servers_leave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        _, traffic = await engine_traffic.begin(7, engines=4)
        for engine in traffic.engines:
            engine.is_leaving = True
        await asyncio.sleep(OUTAGE)
        for engine in traffic.engines:
            assertions.assert_that(engine.after_leaving, matchers.Equals([]))
        immediate = [each for each in traffic.refused if not each.sent]
        assertions.assert_that(
            {
                (each.refusal.reason, each.refusal.outcome, each.took)
                for each in immediate
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
        # The Retry-After delay grows with the duration of the outage.
        waits = [each.refusal.retry_after for each in immediate]
        assertions.assert_that(waits[0], matchers.LessThan(1.0))
        assertions.assert_that(waits[-1], matchers.GreaterThan(2.0))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())
