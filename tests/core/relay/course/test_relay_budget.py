"""Retry budget of all hosts together.

Guards against an allowance per host that adds up to more than the limit: with
three retries each without any request, 360 hosts could send 1,080 retries while
operators allow 430.
"""

from __future__ import annotations

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.routing import hashing

NOW = 100.0
SLACK = 430.0


def make_router(own: str, hosts: list[str], slack: float) -> router_lib.Router:
    made = router_lib.Router(
        "north",
        bounds_lib.Bounds(repeat_slack=slack),
        hashing.RandomGenerator.from_seed(1),
        own,
    )
    made.fleet.shares.set_hosts(hosts)
    return made


def count_retries(router: router_lib.Router) -> int:
    """Returns how many retries the budget of a host allows."""
    request = relay_parts.make_request()
    count = 0
    while router.may_retry(request, NOW) and count < 99:
        router._service(request.service).budget.record_retry(NOW)
        count += 1
    return count


@pytest.mark.parametrize("hosts", [1, 7, 84, 360])
def test_retries_of_all_hosts_stay_within_the_limit(hosts: int) -> None:
    names = [f"h{number}" for number in range(hosts)]
    retries = sum(
        count_retries(make_router(name, names, SLACK)) for name in names
    )
    assertions.assert_that(retries, matchers.LessThan(SLACK))


def test_few_hosts_get_the_allowance_of_a_single_host() -> None:
    router = make_router("h1", ["h1", "h2"], SLACK)
    assertions.assert_that(count_retries(router), matchers.Equals(3))


def test_unlisted_host_may_retry_in_proportion_to_its_requests() -> None:
    router = make_router("h1", [], SLACK)
    assertions.assert_that(count_retries(router), matchers.Equals(0))
    for _ in range(50):
        router.record_request(relay_parts.make_request(), NOW)
    assertions.assert_that(count_retries(router), matchers.Equals(8))
