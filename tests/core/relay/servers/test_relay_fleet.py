"""Restarted backend servers, outdated entries, evacuation and departures."""

from __future__ import annotations

from typing import Any

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import departures
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import server as server_lib

NOW = 100.0


@pytest.fixture
def fleet() -> fleet_lib.Fleet:
    """A fleet with one server whose state differs from a new one's."""
    fleet = fleet_lib.Fleet()
    fleet.put(entry(born=1000, sequence=50))
    state = fleet.servers["a"]
    state.in_flight, state.work, state.mean_work = 3, 500.0, 100.0
    state.load.others, state.load.at = 4, NOW
    state.peer_work = outstanding.ServerWork(70.0, 2)
    state.peer_work_until = NOW + 5.0
    state.health.eject(NOW)
    return fleet


def entry(**fields: Any) -> server_lib.ServerEntry:
    """Returns an entry of the server."""
    return relay_parts.make_entry("a", **fields)


def test_new_incarnation_starts_from_a_clean_state(
    fleet: fleet_lib.Fleet,
) -> None:
    old = fleet.servers["a"]
    changed = fleet.put(entry(born=2000, sequence=1), NOW)
    assertions.assert_that(changed, matchers.Is(True))
    found = fleet.servers["a"]
    # Only the time of the replacement is recorded.
    fresh = server_lib.ServerState(
        entry(born=2000, sequence=1), replaced_predecessor_at=NOW
    )
    assertions.assert_that(
        attrs.asdict(found), matchers.Equals(attrs.asdict(fresh))
    )
    ready = relay_parts.ready_servers(fleet, "desk", {"v1"}, (), NOW)
    assertions.assert_that(ready, matchers.Equals([found]))
    # Requests to the old incarnation that end now do not affect the new one.
    old.in_flight -= 1
    assertions.assert_that(found.in_flight, matchers.Equals(0))


def test_request_that_failed_may_be_retried_at_the_next_incarnation(
    fleet: fleet_lib.Fleet,
) -> None:
    failed = frozenset({fleet.servers["a"].entry.identity})
    fleet.servers["a"].health.readmit()
    ready = relay_parts.ready_servers(fleet, "desk", {"v1"}, failed, NOW)
    assertions.assert_that(ready, matchers.HasLength(0))
    fleet.put(entry(born=2000))
    ready = relay_parts.ready_servers(fleet, "desk", {"v1"}, failed, NOW)
    assertions.assert_that(ready, matchers.HasLength(1))


def test_reported_work_does_not_carry_over_to_the_next_incarnation(
    fleet: fleet_lib.Fleet,
) -> None:
    reported = fleet.own_work()
    fleet.put(entry(born=2000))
    fleet.set_peer_work(reported, NOW)
    assertions.assert_that(
        fleet.servers["a"].total_work(100.0, NOW), matchers.Equals(0.0)
    )


@pytest.mark.parametrize(
    ("born", "sequence"), [(999, 80), (1000, 49), (1, 10_000)]
)
def test_entries_of_older_incarnations_are_ignored(
    fleet: fleet_lib.Fleet, born: int, sequence: int
) -> None:
    late = entry(born=born, sequence=sequence, is_leaving=True, slots=9)
    before = fleet.servers["a"].entry
    assertions.assert_that(fleet.put(late), matchers.Is(False))
    assertions.assert_that(fleet.servers["a"].entry, matchers.Is(before))


def test_delayed_heartbeat_does_not_relist_a_removed_server(
    fleet: fleet_lib.Fleet,
) -> None:
    fleet.put(entry(born=1000, sequence=51))
    fleet.remove("a")
    assertions.assert_that(
        fleet.put(entry(born=1000, sequence=50)), matchers.Is(False)
    )
    assertions.assert_that(fleet.servers, matchers.Equals({}))
    # A live server writes higher numbers; a new incarnation restarts them.
    assertions.assert_that(
        fleet.put(entry(born=1000, sequence=52)), matchers.Is(True)
    )
    fleet.remove("a")
    assertions.assert_that(
        fleet.put(entry(born=2000, sequence=1)), matchers.Is(True)
    )


def test_latest_entry_applies_without_a_start_time() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(entry(sequence=50))
    fleet.put(entry(sequence=1, slots=9))
    assertions.assert_that(fleet.servers["a"].entry.slots, matchers.Equals(9))


def test_memory_of_removed_servers_is_bounded() -> None:
    fleet = fleet_lib.Fleet()
    for number in range(fleet_lib.MAX_REMOVED + 50):
        fleet.put(relay_parts.make_entry(f"s{number}", born=1))
        fleet.remove(f"s{number}")
    assertions.assert_that(
        fleet._removed, matchers.HasLength(fleet_lib.MAX_REMOVED)
    )


def test_server_that_changes_its_service_is_a_new_incarnation(
    fleet: fleet_lib.Fleet,
) -> None:
    fleet.put(entry(born=1000, sequence=51, service="llm"))
    assertions.assert_that(
        relay_parts.ready_servers(fleet, "desk", {"v1"}, (), NOW),
        matchers.HasLength(0),
    )
    assertions.assert_that(
        relay_parts.ready_servers(fleet, "llm", {"v1"}, (), NOW),
        matchers.HasLength(1),
    )


def test_evacuated_failure_domain_gets_no_requests() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.make_entry("n", zone="north"))
    fleet.put(relay_parts.make_entry("s", zone="south", version="v2"))
    fleet.evacuate(frozenset({"north"}), NOW)
    ready = relay_parts.ready_servers(fleet, "desk", {"v1", "v2"}, (), NOW)
    assertions.assert_that(
        [each.entry.server_id for each in ready], matchers.Equals(["s"])
    )
    # A version whose servers are all evacuated cannot be selected.
    assertions.assert_that(fleet.versions("desk", NOW), matchers.Equals({"v2"}))
    fleet.evacuate(frozenset({"north", "south"}), NOW)
    assertions.assert_that(
        relay_parts.ready_servers(fleet, "desk", {"v1", "v2"}, (), NOW),
        matchers.Equals([]),
    )


def leaving_fleet(**fields: Any) -> fleet_lib.Fleet:
    """Returns a fleet in which server "a" has announced its departure."""
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.make_entry("a", **fields), NOW)
    fleet.put(relay_parts.make_entry("b"), NOW)
    fleet.servers["a"].departure.record(NOW)
    return fleet


def ready_names(fleet: fleet_lib.Fleet, now: float) -> list[str]:
    ready = relay_parts.ready_servers(fleet, "desk", {"v1"}, (), now)
    return sorted(each.entry.server_id for each in ready)


@pytest.mark.parametrize("born", [None, 1000])
def test_store_entries_do_not_revoke_an_announced_departure(
    born: int | None,
) -> None:
    fleet = leaving_fleet(born=born, sequence=7)
    assertions.assert_that(ready_names(fleet, NOW), matchers.Equals(["b"]))
    fleet.put(relay_parts.make_entry("a", born=born, sequence=8), NOW + 1.0)
    assertions.assert_that(
        ready_names(fleet, NOW + 1.0), matchers.Equals(["b"])
    )
    fleet.remove("a")
    fleet.put(relay_parts.make_entry("a", born=born, sequence=9), NOW + 2.0)
    assertions.assert_that(
        ready_names(fleet, NOW + 2.0), matchers.Equals(["b"])
    )
    fleet.schedule_expiry("a", NOW + 3.0)
    fleet.remove_expired(NOW + 4.0)
    fleet.put(relay_parts.make_entry("a", born=born, sequence=9), NOW + 5.0)
    assertions.assert_that(
        ready_names(fleet, NOW + 5.0), matchers.Equals(["b"])
    )


@pytest.mark.parametrize(
    "start", [{"born": 2000}, {"born": 1000, "address": "127.0.0.1:2"}]
)
def test_next_incarnation_of_a_leaving_server_is_used_at_once(
    start: dict[str, Any],
) -> None:
    fleet = leaving_fleet(born=1000, sequence=7)
    fleet.put(relay_parts.make_entry("a", sequence=8, **start), NOW + 0.1)
    assertions.assert_that(
        ready_names(fleet, NOW + 0.1), matchers.Equals(["a", "b"])
    )


def test_departure_without_a_start_time_expires() -> None:
    fleet = leaving_fleet()
    late = NOW + departures.UNDATED_TTL
    assertions.assert_that(
        ready_names(fleet, late - 1.0), matchers.Equals(["b"])
    )
    assertions.assert_that(
        ready_names(fleet, late), matchers.Equals(["a", "b"])
    )


def test_departure_may_arrive_before_the_entry() -> None:
    fleet = fleet_lib.Fleet()
    assertions.assert_that(
        fleet.record_departure("a@1000", NOW - 1.0), matchers.Is(True)
    )
    fleet.put(relay_parts.make_entry("a", born=1000), NOW)
    assertions.assert_that(ready_names(fleet, NOW), matchers.Equals([]))


def test_departure_ends_with_its_incarnation() -> None:
    fleet = leaving_fleet(born=1000)
    fleet.record_departure("a@1000", NOW)
    fleet.put(relay_parts.make_entry("a", born=2000), NOW)
    assertions.assert_that(
        fleet.record_departure("a@1000", NOW), matchers.Is(False)
    )
    ages, _ = fleet.departures.changes_since(0, NOW)
    assertions.assert_that(ages, matchers.Equals({}))
    assertions.assert_that(ready_names(fleet, NOW), matchers.Equals(["a", "b"]))


def test_departure_does_not_apply_to_a_successor_of_equal_identity() -> None:
    fleet = leaving_fleet()
    fleet.record_departure("a", NOW)
    fleet.put(relay_parts.make_entry("a", address="127.0.0.1:2"), NOW + 1.0)
    # Another host that has not read the new entry repeats the announcement.
    assertions.assert_that(
        fleet.record_departure("a", NOW + 0.5), matchers.Is(False)
    )
    assertions.assert_that(
        ready_names(fleet, NOW + 1.0), matchers.Equals(["a", "b"])
    )
    assertions.assert_that(
        fleet.record_departure("a", NOW + 2.0), matchers.Is(True)
    )
    assertions.assert_that(
        ready_names(fleet, NOW + 2.0), matchers.Equals(["b"])
    )
