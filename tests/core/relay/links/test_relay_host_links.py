"""Lost links are told from failed servers, in bounded time."""

from __future__ import annotations

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.links import forwarders as forwarders_lib
from hoistmoor.core.relay.links import host_links
from hoistmoor.core.relay.links import link as link_lib
from hoistmoor.core.relay.servers import eligibility
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import server as server_lib

NOW = 100.0
CHECK_INTERVAL = 0.1  # Seconds between checks of what is due.
TIMEOUT = 0.3  # Seconds until a silent connection counts as failed.
# Seconds after the beginning of a partition from which callers must be served
# as elsewhere; the detection has to leave time for the first requests.
STABLE_SECONDS = 3.0
Result = forwarders_lib.ForwardResult


def make_fleet(servers: int, zones: int, hosts: int = 0) -> fleet_lib.Fleet:
    fleet = fleet_lib.Fleet("h0", zone="z0")
    for number in range(servers):
        fleet.put(
            relay_parts.make_entry(f"s{number}", zone=f"z{number % zones}"), NOW
        )
    fleet.forwarders.set_hosts(
        relay_parts.make_host(number) for number in range(hosts)
    )
    return fleet


@attrs.define
class Network:
    """Probes of one host in virtual time; cut-off servers do not respond.

    Attributes:
        fleet: Servers of the host.
        cut: Names of the servers that it does not reach.
        now: Virtual time.
        probes: Number of probes so far.
    """

    fleet: fleet_lib.Fleet
    cut: set[str] = attrs.field(factory=set)
    now: float = NOW
    probes: int = 0
    _pending: list[tuple[float, server_lib.ServerState]] = attrs.field(
        factory=list
    )

    def step(self) -> None:
        """Advances the time to the next check and delivers the results."""
        self.now += CHECK_INTERVAL
        for due, server in list(self._pending):
            if due > self.now:
                continue
            self._pending.remove((due, server))
            if server.entry.server_id in self.cut:
                self.fleet.links.record_failed(
                    server, self.now, was_refused=False
                )
            else:
                self.fleet.record_connected(server, self.now)
        self.fleet.links.check(self.now)
        for server in self.fleet.links.due_probes(self.now):
            self.probes += 1
            is_cut = server.entry.server_id in self.cut
            delay = TIMEOUT if is_cut else 0.0
            self._pending.append((self.now + delay, server))

    def run(self, seconds: float) -> None:
        """Advances the time by some seconds."""
        for _ in range(round(seconds / CHECK_INTERVAL)):
            self.step()


@pytest.mark.parametrize(
    ("servers", "zones"), [(1, 1), (4, 2), (45, 6), (1000, 7)]
)
def test_lost_links_are_noticed_without_any_request(
    servers: int, zones: int
) -> None:
    network = Network(make_fleet(servers, zones, hosts=7))
    network.run(5.0)
    network.cut = set(network.fleet.servers)
    network.run(STABLE_SECONDS - 0.5)
    assertions.assert_that(
        network.fleet.links.lost_since, matchers.Not(matchers.Is(None))
    )


@pytest.mark.parametrize(("servers", "zones"), [(4, 2), (45, 6), (1000, 7)])
def test_own_links_are_used_again_within_a_second(
    servers: int, zones: int
) -> None:
    network = Network(make_fleet(servers, zones, hosts=7))
    network.cut = set(network.fleet.servers)
    network.run(12.0)
    network.cut = set()
    network.run(1.0)
    unusable = [
        server
        for server in network.fleet
        if not network.fleet.links.is_usable(server, network.now)
    ]
    assertions.assert_that(unusable, matchers.Equals([]))


@pytest.mark.parametrize("servers", [4, 45, 1000])
def test_a_lost_failure_domain_is_not_taken_for_lost_links(
    servers: int,
) -> None:
    network = Network(make_fleet(servers, 4, hosts=7))
    network.run(5.0)
    network.cut = {f"s{number}" for number in range(0, servers, 4)}
    for name in network.cut:
        network.fleet.links.record_failed(
            network.fleet.servers[name], network.now, was_refused=True
        )
    for _ in range(100):
        network.step()
        assertions.assert_that(
            network.fleet.links.lost_since, matchers.Is(None)
        )


def test_probes_stay_few_while_a_third_of_many_servers_is_dead() -> None:
    network = Network(make_fleet(1000, 7, hosts=7))
    network.cut = {f"s{number}" for number in range(333)}
    for name in network.cut:
        network.fleet.links.record_failed(
            network.fleet.servers[name], network.now, was_refused=True
        )
    network.run(10.0)
    most = (
        10.0 / CHECK_INTERVAL * (host_links.MAX_PROBES + host_links.SAMPLE_SIZE)
    )
    assertions.assert_that(network.probes, matchers.LessThan(most + 1))


def test_a_server_that_was_silent_for_a_second_is_used_again_at_once() -> None:
    network = Network(make_fleet(4, 2, hosts=7))
    network.run(2.0)
    network.cut = {"s0"}
    server = network.fleet.servers["s0"]
    network.fleet.links.record_failed(server, network.now, was_refused=False)
    server.health.rest_unreachable(network.now, 1.0, 8.0)
    server.link.rested_until = server.health.ejected_until
    network.run(1.0)
    network.cut = set()
    network.run(link_lib.MAX_PROBE_INTERVAL)
    ready = relay_parts.ready_servers(
        network.fleet, "desk", {"v1"}, (), network.now
    )
    assertions.assert_that(ready, matchers.Contains(server))


def test_blame_is_undone_if_another_host_reaches_the_server() -> None:
    fleet = make_fleet(1, 1, hosts=3)
    server = fleet.servers["s0"]
    fleet.links.record_failed(server, NOW, was_refused=True)
    server.health.rest_unreachable(NOW, 1.0, 8.0)
    server.link.rested_until = server.health.ejected_until
    fleet.record_reached(server, "h1", NOW)
    assertions.assert_that(server.health.is_resting, matchers.Is(False))


def lose_links(fleet: fleet_lib.Fleet, now: float) -> None:
    began = now - 2.0 * host_links.SETTLING_SECONDS
    for server in fleet:
        fleet.links.record_failed(server, began, was_refused=True)
    fleet.links.check(now)


def test_no_server_is_eligible_if_no_host_reaches_any() -> None:
    fleet = make_fleet(4, 2, hosts=3)
    lose_links(fleet, NOW)
    assertions.assert_that(fleet.eligible("desk", NOW), matchers.HasLength(4))
    for name in ("h1", "h2"):
        fleet.forwarders.record_result(name, Result.LINKS_LOST, NOW)
    assertions.assert_that(fleet.eligible("desk", NOW), matchers.HasLength(0))
    outlook = fleet.next_eligibility("desk", NOW)
    assert outlook is not None
    assertions.assert_that(
        outlook.reason,
        matchers.Equals(eligibility.IneligibilityReason.UNREACHABLE),
    )
    # The other hosts are asked again soon.
    assertions.assert_that(
        fleet.eligible("desk", NOW + 3.0), matchers.HasLength(4)
    )


def test_a_dead_server_is_left_out_and_the_others_are_used_directly() -> None:
    fleet = make_fleet(4, 2, hosts=3)
    dead = fleet.servers["s0"]
    fleet.links.record_failed(dead, NOW, was_refused=True)
    fleet.record_connected(fleet.servers["s1"], NOW)
    dead.link.record_unreached(NOW)
    eligible = fleet.eligible("desk", NOW)
    assertions.assert_that(eligible, matchers.Not(matchers.Contains(dead)))
    for server in eligible:
        assertions.assert_that(
            fleet.reachability.forwarder_for(server, NOW), matchers.Is(None)
        )


def test_a_link_counts_as_open_again_if_nothing_is_heard_of_it() -> None:
    fleet = make_fleet(4, 2)
    server = fleet.servers["s0"]
    fleet.links.record_failed(server, NOW, was_refused=True)
    later = NOW + link_lib.FAILURE_TTL
    assertions.assert_that(
        fleet.links.is_usable(server, later), matchers.Is(True)
    )


@pytest.mark.parametrize(("servers", "zones"), [(10, 4), (45, 6)])
def test_a_host_cut_from_some_servers_does_not_flap(
    servers: int, zones: int
) -> None:
    network = Network(make_fleet(servers, zones, hosts=7))
    network.run(5.0)
    network.cut = {f"s{number}" for number in range(0, servers, 2)}
    losses = 0
    for _ in range(300):
        before = network.fleet.links.lost_since
        network.step()
        for name in network.cut:  # Requests keep the closed links closed.
            network.fleet.servers[name].link.asked_at = network.now
        is_lost = network.fleet.links.lost_since is not None
        losses += is_lost and before is None
    assertions.assert_that(losses, matchers.LessThan(2))


def test_one_host_that_reaches_a_server_outweighs_those_that_do_not() -> None:
    link = link_lib.ServerLink()
    link.record_unreached(NOW)
    link.record_reached("h1", NOW + 0.1)
    link.record_unreached(NOW + 0.2)
    assertions.assert_that(
        link.is_reached_by_others(NOW + 0.3), matchers.Is(True)
    )


def test_lost_links_are_noticed_beside_a_dead_server() -> None:
    network = Network(make_fleet(45, 6, hosts=7))
    network.cut = {"s0"}
    network.fleet.links.record_failed(
        network.fleet.servers["s0"], network.now, was_refused=True
    )
    network.run(5.0)
    network.cut = set(network.fleet.servers)
    network.run(STABLE_SECONDS - 0.5)
    assertions.assert_that(
        network.fleet.links.lost_since, matchers.Not(matchers.Is(None))
    )
