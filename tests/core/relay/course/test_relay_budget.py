"""What all hosts together may send a second time.

Each host might repeat three requests to a service without having had any, so
that 360 hosts might repeat 1,080 where operators allow 430.
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


def router_of(own: str, hosts: list[str], slack: float) -> router_lib.Router:
    made = router_lib.Router(
        "north",
        bounds_lib.Bounds(repeat_slack=slack),
        hashing.Draws.seeded(1),
        own,
    )
    made.fleet.shares.take_hosts(hosts)
    return made


def repeats_of(router: router_lib.Router) -> int:
    """Returns how often a host repeats requests while it may."""
    request = relay_parts.request()
    count = 0
    while router.may_repeat(request, NOW) and count < 99:
        router._service(request.service).budget.note_repeat(NOW)
        count += 1
    return count


@pytest.mark.parametrize("hosts", [1, 7, 84, 360])
def test_all_hosts_together_repeat_no_more_than_allowed(hosts: int) -> None:
    names = [f"h{number}" for number in range(hosts)]
    repeats = sum(repeats_of(router_of(name, names, SLACK)) for name in names)
    assertions.assert_that(repeats, matchers.LessThan(SLACK))


def test_few_hosts_repeat_as_many_as_one_may() -> None:
    router = router_of("h1", ["h1", "h2"], SLACK)
    assertions.assert_that(repeats_of(router), matchers.Equals(3))


def test_a_host_that_is_not_listed_repeats_what_it_has_earned() -> None:
    router = router_of("h1", [], SLACK)
    assertions.assert_that(repeats_of(router), matchers.Equals(0))
    for _ in range(50):
        router.note_request(relay_parts.request(), NOW)
    assertions.assert_that(repeats_of(router), matchers.Equals(8))
