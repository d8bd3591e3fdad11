"""Servers that name limits, at several real relays over loopback.

A server that had named 2.4 requests a second got 55 in four seconds, from all
hosts alike: nobody read what it named.
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
SLOW = 0.05  # Requests a second: in a test's time hardly more than one.
# What a server that names it may get, by the time that the calls took.
FACTOR = 1.5
SPARE = 5.0


@pytest.fixture
async def cluster(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[relay_cluster.Cluster]:
    """Three relays before four engines that answer at once."""
    async with relay_cluster.open_cluster(
        monkeypatch, RELAYS, ENGINES
    ) as opened:
        for engine in opened.engines:
            engine.pace.set()
        yield opened


def limit_line(rate: float) -> bytes:
    """Returns the line of an answer's head that names a limit."""
    return b"X-Server-Limit: %b\r\n" % str(rate).encode()


def limits_of(cluster: relay_cluster.Cluster) -> list[float | None]:
    """Returns what each relay takes each server's limit for."""
    return [
        server.limit.rate
        for relay in cluster.relays
        for server in relay.state.router.fleet
    ]


async def call_all(
    cluster: relay_cluster.Cluster, name: str
) -> list[relay_cluster.Answer]:
    """Sends some requests, to all relays in turn."""
    return [
        await cluster.call(number % RELAYS, b"%d" % number, f"{name}{number}")
        for number in range(CALLS)
    ]


async def test_all_hosts_keep_to_what_one_was_told(
    cluster: relay_cluster.Cluster,
) -> None:
    await cluster.call(0, b"first", "first")
    (limited,) = [each for each in cluster.engines if each.arrived]
    limited.words = limit_line(SLOW)
    # The same prompt goes to the same server, which has it cached.
    await cluster.call(0, b"told", "told")
    await relay_cluster.until(lambda: limits_of(cluster).count(SLOW) == RELAYS)
    before = len(limited.arrived)
    clock = asyncio.get_running_loop().time
    began = clock()
    answers = await call_all(cluster, "r")
    allowed = FACTOR * SLOW * (clock() - began) + SPARE
    got = len(limited.arrived) - before
    assertions.assert_that(got, matchers.LessThan(allowed))
    whole = [answer.is_whole_stream for answer in answers]
    assertions.assert_that(whole.count(False), matchers.Equals(0))


async def test_a_limit_is_over_everywhere_once_one_host_sees_it(
    cluster: relay_cluster.Cluster,
) -> None:
    await cluster.call(0, b"first", "first")
    (limited,) = [each for each in cluster.engines if each.arrived]
    limited.words = limit_line(40)
    await cluster.call(0, b"told", "told")
    await relay_cluster.until(lambda: limits_of(cluster).count(40.0) == RELAYS)
    limited.words = b""
    async with asyncio.timeout(relay_cluster.PATIENCE):
        while set(limits_of(cluster)) != {None}:
            await call_all(cluster, "r")


async def test_where_all_are_limited_callers_are_refused_as_not_run(
    cluster: relay_cluster.Cluster,
) -> None:
    for engine in cluster.engines:
        engine.words = limit_line(SLOW)
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
