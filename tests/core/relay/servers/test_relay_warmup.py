"""Bounds on the requests that all hosts together send to a cold server."""

from __future__ import annotations

import collections
import random
from typing import Any

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.servers import warmup
from hoistmoor.core.routing import hashing

NOW = 100.0
ALLOWED = 18.2  # Requests in any second: 8.8 * 1.5 + 5.
LLM = configuration.Service(
    "llm", 10, has_engine=True, warmup_duration=3.0, warmup_rate=8.8
)
EXCESS = warmup.RateTolerance(factor=1.5, requests=5.0)
HOSTS = (1, 9, 84, 360)


def names(count: int) -> list[str]:
    return [f"h{number}" for number in range(count)]


def fleet_of(own: str, hosts: list[str]) -> fleet_lib.Fleet:
    """Returns the fleet of a host with two engines, one of them cold."""
    fleet = fleet_lib.Fleet(own)
    fleet.warmups.set_services({"llm": LLM})
    fleet.warmups.tolerance = EXCESS
    fleet.shares.set_hosts(hosts)
    fleet.put(entry("warm"), NOW)
    fleet.put(entry("cold", warm_in=3.0), NOW)
    return fleet


def entry(server_id: str, **fields: Any) -> server_lib.ServerEntry:
    """Returns the entry of an engine."""
    return relay_parts.make_entry(server_id, service="llm", **fields)


def ready(fleet: fleet_lib.Fleet, now: float) -> set[str]:
    found = relay_parts.ready_servers(fleet, "llm", {"v1"}, (), now)
    return {each.entry.server_id for each in found}


@attrs.define
class Burst:
    """Hosts that use their full quota at the cold server as early as possible.

    Attributes:
        fleets: Fleet of each host.
        latency: Maximum seconds until a request arrives.
        rng: Source of randomness.
    """

    fleets: list[fleet_lib.Fleet]
    latency: float
    rng: random.Random

    def max_per_second(self) -> int:
        """Returns the maximum number of requests that arrive in any second."""
        arrivals = []
        for step in range(300):
            now = NOW + step / 100.0
            for fleet in self.fleets:
                while "cold" in ready(fleet, now):
                    fleet.servers["cold"].sends.record(now)
                    arrivals.append(now + self.rng.uniform(0.0, self.latency))
        return max_per_second(arrivals)


def max_per_second(arrivals: list[float]) -> int:
    """Returns the maximum number of arrivals within one second."""
    window: collections.deque[float] = collections.deque()
    maximum = 0
    for at in sorted(arrivals):
        window.append(at)
        while at - window[0] > 1.0:
            window.popleft()
        maximum = max(maximum, len(window))
    return maximum


@pytest.mark.parametrize("latency", [0.0, 0.2, 0.6])
@pytest.mark.parametrize("hosts", HOSTS)
def test_all_hosts_together_stay_below_the_limit_of_a_cold_server(
    hosts: int, latency: float
) -> None:
    listed = names(hosts)
    fleets = [fleet_of(name, listed) for name in listed]
    maximum = Burst(fleets, latency, random.Random(7)).max_per_second()
    assertions.assert_that(maximum, matchers.LessThan(ALLOWED))
    # The bound must be used as well, or the server stays idle.
    assertions.assert_that(maximum, matchers.GreaterThan(5))


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("hosts", HOSTS[1:])
def test_hosts_with_different_lists_stay_below_the_limit(
    hosts: int, seed: int
) -> None:
    # Each list lacks about a fifth of the hosts and contains others that are
    # gone for good, a tenth of the number of hosts.
    rng = random.Random(seed)
    listed = names(hosts) + [f"gone{n}" for n in range(hosts // 10)]
    fleets = []
    for name in names(hosts):
        known = [
            other for other in listed if other == name or rng.random() > 0.2
        ]
        fleets.append(fleet_of(name, known))
    maximum = Burst(fleets, 0.2, rng).max_per_second()
    assertions.assert_that(maximum, matchers.LessThan(ALLOWED))


def test_host_without_a_list_of_hosts_sends_nothing() -> None:
    alone = fleet_of("h1", [])
    assertions.assert_that(ready(alone, NOW), matchers.Equals({"warm"}))
    unlisted = fleet_of("h1", ["h2", "h3"])
    assertions.assert_that(ready(unlisted, NOW), matchers.Equals({"warm"}))


def test_server_is_cold_as_long_as_it_reports() -> None:
    fleet = fleet_of("h1", [])
    assertions.assert_that(ready(fleet, NOW + 2.9), matchers.Equals({"warm"}))
    # It may become cold again. A later, shorter report does not shorten that.
    fleet.put(entry("warm", warm_in=2.0), NOW + 2.0)
    fleet.put(entry("warm", warm_in=1.0), NOW + 2.5)
    assertions.assert_that(ready(fleet, NOW + 3.1), matchers.Equals({"cold"}))
    assertions.assert_that(
        ready(fleet, NOW + 4.1), matchers.Equals({"cold", "warm"})
    )


def test_service_without_warmup_has_no_bound() -> None:
    fleet = fleet_of("h1", [])
    fleet.warmups.set_services({"llm": configuration.Service("llm", 10)})
    assertions.assert_that(ready(fleet, NOW), matchers.Equals({"cold", "warm"}))


def test_servers_are_cold_after_their_evacuation() -> None:
    fleet = fleet_lib.Fleet("h1")
    fleet.warmups.set_services({"llm": LLM})
    fleet.put(entry("n", zone="north"), NOW)
    fleet.put(entry("s", zone="south"), NOW)
    fleet.evacuate(frozenset({"north"}), NOW)
    assertions.assert_that(ready(fleet, NOW + 5.0), matchers.Equals({"s"}))
    fleet.evacuate(frozenset(), NOW + 10.0)
    # An entry written before the end of the evacuation does not change that.
    fleet.put(entry("n", zone="north"), NOW + 10.1)
    assertions.assert_that(ready(fleet, NOW + 12.9), matchers.Equals({"s"}))
    assertions.assert_that(
        ready(fleet, NOW + 13.0), matchers.Equals({"n", "s"})
    )


@pytest.fixture
def router() -> router_lib.Router:
    """A router with two warm engines."""
    router = router_lib.Router(
        "north",
        bounds_lib.Bounds(rate_tolerance=EXCESS),
        hashing.RandomGenerator.from_seed(1),
        "h1",
    )
    router.fleet.warmups.set_services({"llm": LLM})
    for name in ("a", "b"):
        router.fleet.put(entry(name), NOW)
    return router


def fail_to_connect(router: router_lib.Router, name: str, now: float) -> None:
    request = relay_parts.make_request(relay_parts.CHAT)
    work_class = router.class_of(request, "small")
    serial = router.begin_attempt(request, work_class, now)
    server = router.fleet.servers[name]
    send = messages.Send(server, "small", work_class, serial, now + 1.0)
    router.record_sent(request, send, now)
    router.record_outcome(
        request, send, response_times.AttemptOutcome.UNREACHABLE, now
    )


def test_unreachable_server_may_return_cold(
    router: router_lib.Router,
) -> None:
    # It restarts after two seconds, and its entry is read a second later.
    fail_to_connect(router, "a", NOW)
    for now in (NOW + 0.5, NOW + 2.0, NOW + 2.9):
        assertions.assert_that(ready(router.fleet, now), matchers.Equals({"b"}))
    # Eventually every host retries it, each at a different time.
    assertions.assert_that(
        ready(router.fleet, NOW + 6.1), matchers.Equals({"a", "b"})
    )


def test_hosts_with_a_quota_for_cold_servers_retry_soon(
    router: router_lib.Router,
) -> None:
    router.fleet.shares.set_hosts(["h1"])
    fail_to_connect(router, "a", NOW)
    assertions.assert_that(
        ready(router.fleet, NOW + 2.0), matchers.Equals({"a", "b"})
    )


def test_all_servers_are_retried_if_none_is_reachable(
    router: router_lib.Router,
) -> None:
    for name in ("a", "b"):
        fail_to_connect(router, name, NOW)
    assertions.assert_that(
        ready(router.fleet, NOW + 2.0), matchers.Equals({"a", "b"})
    )


def test_version_with_only_cold_servers_is_not_selectable(
    router: router_lib.Router,
) -> None:
    router.fleet.put(entry("new", version="v2", warm_in=3.0), NOW)
    assertions.assert_that(
        router.fleet.versions("llm", NOW), matchers.Equals({"v1"})
    )
    assertions.assert_that(
        router.fleet.versions("llm", NOW + 3.0), matchers.Equals({"v1", "v2"})
    )
