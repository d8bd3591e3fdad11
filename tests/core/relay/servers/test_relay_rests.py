"""Rest periods that servers request from one host."""

from __future__ import annotations

import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import eligibility
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import rests

NOW = 100.0


def test_overlapping_rests_end_with_the_last_one() -> None:
    state = rests.RestState()
    assertions.assert_that(state.record(3.0, NOW), matchers.Is(True))
    assertions.assert_that(state.record(0.5, NOW + 1.0), matchers.Is(False))
    assertions.assert_that(state.remaining(NOW + 1.0), matchers.Equals(2.0))
    assertions.assert_that(state.record(3.0, NOW + 1.0), matchers.Is(False))
    assertions.assert_that(state.remaining(NOW + 1.0), matchers.Equals(3.0))
    assertions.assert_that(state.remaining(NOW + 4.0), matchers.Equals(0.0))
    assertions.assert_that(state.record(1.0, NOW + 4.0), matchers.Is(True))


def test_resting_server_is_not_used_as_a_last_resort() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.make_entry("a"))
    fleet.put(relay_parts.make_entry("b"))
    for server in fleet:
        server.rest.record(3.0, NOW)
    ready = relay_parts.ready_servers(fleet, "desk", {"v1"}, (), NOW + 2.9)
    assertions.assert_that(ready, matchers.Equals([]))
    fleet.servers["b"].rest.record(9.0, NOW)
    assertions.assert_that(
        fleet.next_eligibility("desk", NOW + 1.0),
        matchers.Equals(
            eligibility.NextEligibility(
                eligibility.IneligibilityReason.RESTING, 2.0
            )
        ),
    )
    assertions.assert_that(
        fleet.next_eligibility("desk", NOW + 3.0), matchers.Is(None)
    )


def test_session_keeps_its_version_while_its_servers_rest() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.make_entry("a"))
    fleet.put(relay_parts.make_entry("b", version="v2"))
    fleet.servers["a"].rest.record(3.0, NOW)
    assertions.assert_that(fleet.versions("desk", NOW), matchers.Equals({"v2"}))
    assertions.assert_that(
        fleet.versions("desk", NOW, eligibility.TRANSIENT_REASONS),
        matchers.Equals({"v1", "v2"}),
    )


def test_next_incarnation_does_not_inherit_a_rest() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.make_entry("a", born=1000))
    fleet.servers["a"].rest.record(9.0, NOW)
    fleet.put(relay_parts.make_entry("a", born=2000))
    assertions.assert_that(
        fleet.next_eligibility("desk", NOW), matchers.Is(None)
    )


def test_first_request_after_a_rest_reports_its_end() -> None:
    state = rests.RestState()
    assertions.assert_that(state.record_send(NOW), matchers.Is(False))
    state.record(3.0, NOW)
    assertions.assert_that(state.record_send(NOW + 2.9), matchers.Is(False))
    assertions.assert_that(state.record_send(NOW + 3.0), matchers.Is(True))
    assertions.assert_that(state.record_send(NOW + 3.1), matchers.Is(False))


def test_traffic_ramps_up_after_a_rest() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.make_entry("a"))
    fleet.put(relay_parts.make_entry("b"))
    fleet.servers["a"].rest.record(3.0, NOW)
    for elapsed, fraction in ((3.0, 0.0), (3.5, 0.25), (4.0, 0.5), (5.0, 1.0)):
        now = NOW + elapsed
        is_ready = [
            len(
                relay_parts.ready_servers(
                    fleet, "desk", {"v1"}, (), now, draw / 100
                )
            )
            == 2
            for draw in range(1, 101)
        ]
        assertions.assert_that(sum(is_ready) / 100, matchers.Equals(fraction))
    # Without another server, all requests return at once.
    fleet.remove("b")
    ready = relay_parts.ready_servers(fleet, "desk", {"v1"}, (), NOW + 3.0, 0.9)
    assertions.assert_that(len(ready), matchers.Equals(1))


def test_rest_survives_removal_and_relisting_of_the_entry() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.make_entry("a"))
    fleet.servers["a"].rest.record(9.0, NOW)
    fleet.remove("a")
    fleet.put(relay_parts.make_entry("a"), NOW + 1.0)
    ready = relay_parts.ready_servers(fleet, "desk", {"v1"}, (), NOW + 1.0)
    assertions.assert_that(ready, matchers.Equals([]))
