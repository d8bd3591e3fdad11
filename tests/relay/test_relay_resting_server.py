"""A server that declines requests and asks for a back-off.

Guards against ignoring Retry-After. In an observed failure, two of six engines
declined all requests for nine seconds, each time with a back-off of three
seconds. The header was not evaluated, so each host paused for only a quarter of
a second. One engine received 4 to 20 requests per second from seven hosts, more
than before, and five from one host within three seconds. 31 requests were
refused although the other four engines had capacity, because the attempts at
one or two declining engines had used up the retries:

    6.397 141d30 turns straumsvik-2 away and asks for rest
    8.413 a request reaches 141d30 from straumsvik-2; it answers 503
    {"event":"request","reason":"backend_declined","outcome":"not_run",
     "attempts":["141d30 declined 503 0.003s","5937c3 declined 503 0.001s"]}
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

    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import application

BACK_OFF_HEADER = b"Retry-After: 600\r\n"
CALLS = 30  # Calls per host once the back-off is known.
BACK_OFF = 3.0  # Seconds of back-off that an engine requests, in virtual time.
DECLINING = 9.0  # Seconds for which an engine declines all requests.


@pytest.mark.parametrize("relays", [3, 7])
async def test_a_server_receives_nothing_during_its_rest(
    monkeypatch: pytest.MonkeyPatch, relays: int
) -> None:
    def server_at(relay: application.Relay) -> server_lib.ServerState:
        return relay.state.router.fleet.servers[resting.server_id]

    def is_backed_off(relay: application.Relay) -> bool:
        return server_at(relay).rest.remaining(relay.state.clock()) > 0.0

    def may_be_retried(relay: application.Relay) -> bool:
        """Whether the pause for full servers is over."""
        return relay.state.clock() > server_at(relay).health.at_capacity_until

    async with relay_cluster.open_cluster(monkeypatch, relays, 3) as cluster:
        resting = await cluster.find_preferred_engine()
        resting.extra_headers, resting.declines = BACK_OFF_HEADER, True
        await cluster.call_until(is_backed_off)
        await relay_cluster.until(
            lambda: all(map(may_be_retried, cluster.relays))
        )
        await cluster.assert_all_served_without(resting, CALLS)


@pytest.mark.parametrize("hosts", engine_traffic.SIZES)
def test_no_host_sends_during_a_back_off(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        _, traffic = await engine_traffic.begin(hosts)
        resting = traffic.busiest_engines(2)
        for engine in resting:
            engine.rest = BACK_OFF
        await asyncio.sleep(DECLINING)
        for engine in resting:
            engine.rest = None
        await asyncio.sleep(BACK_OFF)
        for engine in resting:
            assertions.assert_that(engine.during_rest, matchers.Equals([]))
        assertions.assert_that(
            traffic.fraction_served(), matchers.GreaterThan(0.99)
        )

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", engine_traffic.SIZES)
def test_requests_are_refused_immediately_when_all_servers_rest(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        # Back-offs are not shared between hosts: each engine tells each host.
        _, traffic = await engine_traffic.begin(hosts, engines=4)
        for engine in traffic.engines:
            engine.rest = BACK_OFF
        await asyncio.sleep(DECLINING)
        for engine in traffic.engines:
            engine.rest = None
            assertions.assert_that(engine.during_rest, matchers.Equals([]))
        refused = traffic.refused
        assertions.assert_that(
            {each.refusal.outcome for each in refused},
            matchers.Equals({outcomes.Outcome.NOT_RUN}),
        )
        immediate = [each for each in refused if not each.sent]
        assertions.assert_that(
            {each.refusal.reason for each in immediate},
            matchers.Equals({refusals.Reason.SERVERS_RESTING}),
        )
        assertions.assert_that(
            max(each.took for each in immediate), matchers.Equals(0.0)
        )
        for each in immediate:
            wait = each.refusal.retry_after
            assertions.assert_that(
                wait, matchers.GreaterThan(each.rest_left - 1e-9)
            )
            assertions.assert_that(
                wait, matchers.LessThan(1.5 * each.rest_left + 1e-9)
            )
        # Callers that respect Retry-After are served.
        await asyncio.sleep(BACK_OFF * 1.5)
        count = len(traffic.refused)
        await asyncio.sleep(2.0)
        assertions.assert_that(len(traffic.refused), matchers.Equals(count))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


@pytest.mark.parametrize(
    "inject_fault",
    [swarm_faults.make_store_unavailable, swarm_faults.partition_third],
)
@pytest.mark.parametrize("hosts", [7, 84])
def test_back_off_is_respected_during_a_partition(
    monkeypatch: pytest.MonkeyPatch,
    hosts: int,
    inject_fault: Callable[[relay_swarm.Swarm], None],
) -> None:
    async def scenario() -> None:
        swarm, traffic = await engine_traffic.begin(hosts)
        inject_fault(swarm)
        resting = traffic.busiest_engines(2)
        for engine in resting:
            engine.rest = BACK_OFF
        await asyncio.sleep(DECLINING)
        for engine in resting:
            assertions.assert_that(engine.during_rest, matchers.Equals([]))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())
