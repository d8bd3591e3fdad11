"""Tests of the order in which a host prefers its peers."""

from __future__ import annotations

from collections import Counter

from testtools import assertions
from testtools import matchers

from hoistmoor.core.membership import preference
from hoistmoor.core.membership import view

COUNT = 3


def host(number: int) -> view.HostView:
    return view.HostView(f"h{number}", 1, "", "", f"domain-{number % 7}")


HOSTS = tuple(host(number) for number in range(360))


def test_preferred_hosts_are_in_other_domains_and_stable() -> None:
    before = preference.preferred_peers(HOSTS[0], HOSTS, COUNT)
    domains = {chosen.failure_domain for chosen in before}
    assertions.assert_that(domains, matchers.Not(matchers.Contains("domain-0")))
    removed = before[0]
    remaining = [other for other in HOSTS if other is not removed]
    after = preference.preferred_peers(HOSTS[0], remaining, COUNT)
    assertions.assert_that(after[:2], matchers.Equals(before[1:]))


def test_preferences_are_distributed_evenly() -> None:
    chosen = Counter(
        other.name
        for own in HOSTS
        for other in preference.preferred_peers(own, HOSTS, COUNT)
    )
    assertions.assert_that(max(chosen.values()), matchers.LessThan(15))
