"""What many hosts together send to a server that is cold."""

from __future__ import annotations

import collections
import random
from typing import Any

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import pace
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.servers import warmup
from hoistmoor.core.routing import hashing

NOW = 100.0
ALLOWED = 18.2  # Requests in any second.
LLM = configuration.Service(
    "llm", 10, has_engine=True, warmup_duration=3.0, warmup_rate=8.8
)
EXCESS = warmup.Excess(factor=1.5, requests=5.0)
HOSTS = (1, 9, 84, 360)


def names(count: int) -> list[str]:
    return [f"h{number}" for number in range(count)]


def fleet_of(own: str, hosts: list[str]) -> fleet_lib.Fleet:
    """Returns the fleet of a host with two engines, one of them cold."""
    made = fleet_lib.Fleet(own)
    made.warmups.take_services({"llm": LLM})
    made.warmups.excess = EXCESS
    made.shares.take_hosts(hosts)
    made.put(entry("warm"), NOW)
    made.put(entry("cold", warm_in=3.0), NOW)
    return made


def entry(server_id: str, **fields: Any) -> server_lib.ServerEntry:
    """Returns the entry of an engine."""
    return relay_parts.entry(server_id, service="llm", **fields)


def ready(fleet: fleet_lib.Fleet, now: float) -> set[str]:
    found = relay_parts.ready(fleet, "llm", {"v1"}, (), now)
    return {each.entry.server_id for each in found}


@attrs.define
class Flood:
    """Hosts that send all they may to the cold server, as early as they may.

    Attributes:
        fleets: What each host knows.
        late: Seconds that a request takes to arrive, at most.
        draws: Source of randomness.
    """

    fleets: list[fleet_lib.Fleet]
    late: float
    draws: random.Random

    def most_in_a_second(self) -> int:
        """Returns the most requests that arrive in any second."""
        arrivals = []
        for step in range(300):
            now = NOW + step / 100.0
            for fleet in self.fleets:
                while "cold" in ready(fleet, now):
                    fleet.servers["cold"].sends.note(now)
                    arrivals.append(now + self.draws.uniform(0.0, self.late))
        return most_in_a_second(arrivals)


def most_in_a_second(arrivals: list[float]) -> int:
    """Returns the most of them that lie within one second."""
    window: collections.deque[float] = collections.deque()
    most = 0
    for at in sorted(arrivals):
        window.append(at)
        while at - window[0] > 1.0:
            window.popleft()
        most = max(most, len(window))
    return most


@pytest.mark.parametrize("late", [0.0, 0.2, 0.6])
@pytest.mark.parametrize("hosts", HOSTS)
def test_all_hosts_together_stay_below_what_a_cold_server_bears(
    hosts: int, late: float
) -> None:
    listed = names(hosts)
    fleets = [fleet_of(name, listed) for name in listed]
    most = Flood(fleets, late, random.Random(7)).most_in_a_second()
    assertions.assert_that(most, matchers.LessThan(ALLOWED))
    # And it is used: a server that gets nothing does not help anyone.
    assertions.assert_that(most, matchers.GreaterThan(5))


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("hosts", HOSTS[1:])
def test_hosts_whose_lists_differ_stay_below_it_too(
    hosts: int, seed: int
) -> None:
    # Each host lacks up to a fifth of the others, and a tenth more is listed
    # that has gone for good.
    draws = random.Random(seed)
    listed = names(hosts) + [f"gone{n}" for n in range(hosts // 10)]
    fleets = []
    for name in names(hosts):
        known = [
            other for other in listed if other == name or draws.random() > 0.2
        ]
        fleets.append(fleet_of(name, known))
    most = Flood(fleets, 0.2, draws).most_in_a_second()
    assertions.assert_that(most, matchers.LessThan(ALLOWED))


def test_a_host_that_does_not_know_the_others_sends_nothing() -> None:
    alone = fleet_of("h1", [])
    assertions.assert_that(ready(alone, NOW), matchers.Equals({"warm"}))
    unlisted = fleet_of("h1", ["h2", "h3"])
    assertions.assert_that(ready(unlisted, NOW), matchers.Equals({"warm"}))


def test_a_server_is_cold_as_long_as_it_says() -> None:
    known = fleet_of("h1", [])
    assertions.assert_that(ready(known, NOW + 2.9), matchers.Equals({"warm"}))
    # It may become cold again, and a later word does not shorten a longer one.
    known.put(entry("warm", warm_in=2.0), NOW + 2.0)
    known.put(entry("warm", warm_in=1.0), NOW + 2.5)
    assertions.assert_that(ready(known, NOW + 3.1), matchers.Equals({"cold"}))
    assertions.assert_that(
        ready(known, NOW + 4.1), matchers.Equals({"cold", "warm"})
    )


def test_a_service_whose_servers_need_no_warmup_has_no_bound() -> None:
    known = fleet_of("h1", [])
    known.warmups.take_services({"llm": configuration.Service("llm", 10)})
    assertions.assert_that(ready(known, NOW), matchers.Equals({"cold", "warm"}))


def test_servers_are_cold_once_their_evacuation_ends() -> None:
    known = fleet_lib.Fleet("h1")
    known.warmups.take_services({"llm": LLM})
    known.put(entry("n", zone="north"), NOW)
    known.put(entry("s", zone="south"), NOW)
    known.evacuate(frozenset({"north"}), NOW)
    assertions.assert_that(ready(known, NOW + 5.0), matchers.Equals({"s"}))
    known.evacuate(frozenset(), NOW + 10.0)
    # An entry that it wrote before says nothing of that.
    known.put(entry("n", zone="north"), NOW + 10.1)
    assertions.assert_that(ready(known, NOW + 12.9), matchers.Equals({"s"}))
    assertions.assert_that(
        ready(known, NOW + 13.0), matchers.Equals({"n", "s"})
    )


@pytest.fixture
def router() -> router_lib.Router:
    """A router with two engines, warm ones."""
    made = router_lib.Router(
        "north",
        bounds_lib.Bounds(warmup_excess=EXCESS),
        hashing.Draws.seeded(1),
        "h1",
    )
    made.fleet.warmups.take_services({"llm": LLM})
    for name in ("a", "b"):
        made.fleet.put(entry(name), NOW)
    return made


def fail_to_connect(router: router_lib.Router, name: str, now: float) -> None:
    request = relay_parts.request(relay_parts.CHAT)
    work_class = router.class_of(request, "small")
    serial = router.begin_attempt(request, work_class, now)
    server = router.fleet.servers[name]
    send = messages.Send(server, "small", work_class, serial, now + 1.0)
    router.note_sent(request, send, now)
    router.note_ended(request, send, pace.AttemptOutcome.UNREACHABLE, now)


def test_a_server_that_took_no_connection_may_come_back_cold(
    router: router_lib.Router,
) -> None:
    # It comes back two seconds later, and that is read one more later.
    fail_to_connect(router, "a", NOW)
    for now in (NOW + 0.5, NOW + 2.0, NOW + 2.9):
        assertions.assert_that(ready(router.fleet, now), matchers.Equals({"b"}))
    # In the end it is tried by every host, each at its own time.
    assertions.assert_that(
        ready(router.fleet, NOW + 6.1), matchers.Equals({"a", "b"})
    )


def test_the_hosts_that_may_send_to_cold_servers_try_it_soon(
    router: router_lib.Router,
) -> None:
    router.fleet.shares.take_hosts(["h1"])
    fail_to_connect(router, "a", NOW)
    assertions.assert_that(
        ready(router.fleet, NOW + 2.0), matchers.Equals({"a", "b"})
    )


def test_where_no_server_takes_a_connection_all_are_tried(
    router: router_lib.Router,
) -> None:
    for name in ("a", "b"):
        fail_to_connect(router, name, NOW)
    assertions.assert_that(
        ready(router.fleet, NOW + 2.0), matchers.Equals({"a", "b"})
    )


def test_a_trial_on_cold_servers_is_no_reason_to_refuse(
    router: router_lib.Router,
) -> None:
    router.fleet.put(entry("new", version="v2", warm_in=3.0), NOW)
    assertions.assert_that(
        router.fleet.versions("llm", NOW), matchers.Equals({"v1"})
    )
    assertions.assert_that(
        router.fleet.versions("llm", NOW + 3.0), matchers.Equals({"v1", "v2"})
    )
