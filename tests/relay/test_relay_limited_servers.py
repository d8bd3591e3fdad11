"""Servers that announce rate limits, with several real relays on loopback.

Guards against ignoring the announced limit: a server with a limit of 2.4
requests per second received 55 requests in four seconds, from all hosts
equally, because the header was not evaluated.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import relay_cluster
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RELAYS = 3
ENGINES = 4
CALLS = 60
# Requests per second; allows hardly more than one during a test.
LOW_LIMIT = 0.05
# A limited server may receive this multiple of its limit over the duration of
# the calls, and some requests in addition.
FACTOR = 1.5
SPARE = 5.0


@pytest.fixture
async def cluster(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[relay_cluster.Cluster]:
    """Three relays with four engines that respond immediately."""
    async with relay_cluster.open_cluster(
        monkeypatch, RELAYS, ENGINES
    ) as opened:
        for engine in opened.engines:
            engine.may_proceed.set()
        yield opened


def limit_line(rate: float) -> bytes:
    """Returns the response header line that announces a limit."""
    return b"X-Server-Limit: %b\r\n" % str(rate).encode()


def limits_of(cluster: relay_cluster.Cluster) -> list[float | None]:
    """Returns the limit of each server as known to each relay."""
    return [
        server.limit.rate
        for relay in cluster.relays
        for server in relay.state.router.fleet
    ]


async def call_all(
    cluster: relay_cluster.Cluster, name: str
) -> list[relay_cluster.Response]:
    """Sends requests to all relays in turn."""
    return [
        await cluster.call(number % RELAYS, b"%d" % number, f"{name}{number}")
        for number in range(CALLS)
    ]


async def test_all_hosts_respect_a_limit_known_to_one(
    cluster: relay_cluster.Cluster,
) -> None:
    await cluster.call(0, b"first", "first")
    (limited,) = [each for each in cluster.engines if each.arrived]
    limited.extra_headers = limit_line(LOW_LIMIT)
    # The same prompt is routed to the same server, which has it cached.
    await cluster.call(0, b"told", "told")
    await relay_cluster.until(
        lambda: limits_of(cluster).count(LOW_LIMIT) == RELAYS
    )
    before = len(limited.arrived)
    clock = asyncio.get_running_loop().time
    start = clock()
    answers = await call_all(cluster, "r")
    allowed = FACTOR * LOW_LIMIT * (clock() - start) + SPARE
    received = len(limited.arrived) - before
    assertions.assert_that(received, matchers.LessThan(allowed))
    complete = [answer.is_whole_stream for answer in answers]
    assertions.assert_that(complete.count(False), matchers.Equals(0))


async def test_the_end_of_a_limit_reaches_all_hosts(
    cluster: relay_cluster.Cluster,
) -> None:
    await cluster.call(0, b"first", "first")
    (limited,) = [each for each in cluster.engines if each.arrived]
    limited.extra_headers = limit_line(40)
    await cluster.call(0, b"told", "told")
    await relay_cluster.until(lambda: limits_of(cluster).count(40.0) == RELAYS)
    limited.extra_headers = b""
    async with asyncio.timeout(relay_cluster.PATIENCE):
        while set(limits_of(cluster)) != {None}:
            await call_all(cluster, "r")


async def test_requests_are_refused_as_not_run_when_all_servers_are_limited(
    cluster: relay_cluster.Cluster,
) -> None:
    for engine in cluster.engines:
        engine.extra_headers = limit_line(LOW_LIMIT)
    answers = await call_all(cluster, "r")
    refused = [answer for answer in answers if answer.status == 503]
    assertions.assert_that(len(refused), matchers.GreaterThan(CALLS // 2))
    assertions.assert_that(
        b"servers_limited" in refused[-1].body, matchers.Is(True)
    )
    assertions.assert_that(
        float(refused[-1].retry_after), matchers.GreaterThan(0.4)
    )
    arrived = sum(len(engine.arrived) for engine in cluster.engines)
    assertions.assert_that(len(refused) + arrived, matchers.Equals(CALLS))
