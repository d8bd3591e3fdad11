"""Bounds on the requests that all hosts together send to one server."""

from __future__ import annotations

import random

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import shares

NOW = 100.0
HOSTS = (1, 7, 84, 360)
SERVERS = [f"s{number}" for number in range(10)]


def names(count: int) -> list[str]:
    return [f"h{number}" for number in range(count)]


def make_shares(own: str, hosts: list[str]) -> shares.HostShares:
    host_shares = shares.HostShares(own)
    host_shares.set_hosts(hosts)
    return host_shares


@pytest.mark.parametrize("requests", [1, 2, 3, 9, 33, 500])
@pytest.mark.parametrize("hosts", HOSTS)
def test_quotas_of_all_hosts_add_up_to_the_bound(
    hosts: int, requests: int
) -> None:
    listed = names(hosts)
    all_shares = [make_shares(name, listed) for name in listed]
    for server in SERVERS[:5]:
        parts = [each.quota_for(server, requests) for each in all_shares]
        total = sum(part.own for part in parts)
        assertions.assert_that(total, matchers.LessThan(requests + 1))
        # Equal integer quotas leave less than half of the bound unused.
        assertions.assert_that(total, matchers.GreaterThan(requests / 2))
        totals = {part.total for part in parts}
        assertions.assert_that(totals, matchers.Equals({total}))


@pytest.mark.parametrize("hosts", HOSTS[1:])
def test_lists_lacking_a_fifth_exceed_the_bound_by_a_quarter_on_average(
    hosts: int,
) -> None:
    # A host knows eight of ten hosts that precede it in the hash order. It
    # therefore counts itself among the first three as often as it would among
    # the first 3.75 with a complete list.
    totals = []
    for seed in range(10):
        draws = random.Random(seed)
        all_shares: list[shares.HostShares] = []
        for name in names(hosts):
            others = [n for n in names(hosts) if draws.random() > 0.2]
            all_shares.append(make_shares(name, [name, *others]))
        totals += [
            sum(each.quota_for(server, 3).own for each in all_shares)
            for server in SERVERS
        ]
    mean = sum(totals) / len(totals)
    assertions.assert_that(mean, matchers.LessThan(3 / 0.8 * 1.05))
    assertions.assert_that(max(totals), matchers.LessThan(2 * 3 + 1))


def test_unlisted_host_has_no_quota() -> None:
    for listed in ([], ["h2", "h3"]):
        part = make_shares("h1", listed).quota_for("s1", 9)
        assertions.assert_that(part.own, matchers.Equals(0))


@pytest.mark.parametrize("requests", [1, 3, shares.MAX_SENDS])
def test_no_window_has_more_sends_than_the_quota(requests: int) -> None:
    sends = shares.RecentSends()
    window = 2.0
    now = NOW
    times = []
    for _ in range(4 * requests):
        now += sends.wait(requests, window, now)
        sends.record(now)
        times.append(now)
    spans = [
        times[number + requests] - times[number]
        for number in range(len(times) - requests)
    ]
    assertions.assert_that(min(spans), matchers.GreaterThan(window - 1e-6))


def test_quota_above_the_stored_sends_keeps_its_rate() -> None:
    sends = shares.RecentSends()
    part = 4 * shares.MAX_SENDS
    now = NOW
    sent = 0
    while now < NOW + 10.0:
        wait = sends.wait(part, 2.0, now)
        now += wait
        if not wait:
            sends.record(now)
            sent += 1
    assertions.assert_that(
        sent, matchers.LessThan(part / 2.0 * 10.0 + shares.MAX_SENDS + 1)
    )
