"""Backend servers that start again, and what older starts still write."""

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
    """A fleet with one server, which has been used a lot."""
    made = fleet_lib.Fleet()
    made.put(entry(born=1000, sequence=50))
    state = made.servers["a"]
    state.in_flight, state.work, state.mean_work = 3, 500.0, 100.0
    state.load.others, state.load.at = 4, NOW
    state.told = outstanding.ServerWork(70.0, 2)
    state.told_until = NOW + 5.0
    state.health.eject(NOW)
    return made


def entry(**fields: Any) -> server_lib.ServerEntry:
    """Returns an entry of the server."""
    return relay_parts.entry("a", **fields)


def test_nothing_of_the_start_before_is_left(fleet: fleet_lib.Fleet) -> None:
    old = fleet.servers["a"]
    news = fleet.put(entry(born=2000, sequence=1), NOW)
    assertions.assert_that(news, matchers.Is(True))
    found = fleet.servers["a"]
    # But for when it followed the other one.
    fresh = server_lib.ServerState(
        entry(born=2000, sequence=1), followed_at=NOW
    )
    assertions.assert_that(
        attrs.asdict(found), matchers.Equals(attrs.asdict(fresh))
    )
    ready = relay_parts.ready(fleet, "desk", {"v1"}, (), NOW)
    assertions.assert_that(ready, matchers.Equals([found]))
    # A request of before that ends now leaves no trace on the new one.
    old.in_flight -= 1
    assertions.assert_that(found.in_flight, matchers.Equals(0))


def test_what_failed_at_one_start_may_be_tried_at_the_next(
    fleet: fleet_lib.Fleet,
) -> None:
    failed = frozenset({fleet.servers["a"].entry.identity})
    fleet.servers["a"].health.put_back()
    ready = relay_parts.ready(fleet, "desk", {"v1"}, failed, NOW)
    assertions.assert_that(ready, matchers.HasLength(0))
    fleet.put(entry(born=2000))
    ready = relay_parts.ready(fleet, "desk", {"v1"}, failed, NOW)
    assertions.assert_that(ready, matchers.HasLength(1))


def test_work_told_of_one_start_is_not_the_next_one_s(
    fleet: fleet_lib.Fleet,
) -> None:
    told = fleet.own_work()
    fleet.put(entry(born=2000))
    fleet.take_others_work(told, NOW)
    assertions.assert_that(
        fleet.servers["a"].waiting_work(100.0, NOW), matchers.Equals(0.0)
    )


@pytest.mark.parametrize(
    ("born", "sequence"), [(999, 80), (1000, 49), (1, 10_000)]
)
def test_what_an_older_start_wrote_changes_nothing(
    fleet: fleet_lib.Fleet, born: int, sequence: int
) -> None:
    late = entry(born=born, sequence=sequence, is_leaving=True, slots=9)
    before = fleet.servers["a"].entry
    assertions.assert_that(fleet.put(late), matchers.Is(False))
    assertions.assert_that(fleet.servers["a"].entry, matchers.Is(before))


def test_a_late_heartbeat_does_not_list_a_server_that_went(
    fleet: fleet_lib.Fleet,
) -> None:
    fleet.put(entry(born=1000, sequence=51))
    fleet.remove("a")
    assertions.assert_that(
        fleet.put(entry(born=1000, sequence=50)), matchers.Is(False)
    )
    assertions.assert_that(fleet.servers, matchers.Equals({}))
    # One that lives writes on, and a new start begins anew.
    assertions.assert_that(
        fleet.put(entry(born=1000, sequence=52)), matchers.Is(True)
    )
    fleet.remove("a")
    assertions.assert_that(
        fleet.put(entry(born=2000, sequence=1)), matchers.Is(True)
    )


def test_without_the_time_of_a_start_the_newest_entry_counts() -> None:
    made = fleet_lib.Fleet()
    made.put(entry(sequence=50))
    made.put(entry(sequence=1, slots=9))
    assertions.assert_that(made.servers["a"].entry.slots, matchers.Equals(9))


def test_what_is_kept_of_servers_that_went_is_bounded() -> None:
    made = fleet_lib.Fleet()
    for number in range(fleet_lib.MOST_REMOVED + 50):
        made.put(relay_parts.entry(f"s{number}", born=1))
        made.remove(f"s{number}")
    assertions.assert_that(
        made._removed, matchers.HasLength(fleet_lib.MOST_REMOVED)
    )


def test_a_server_that_changes_its_service_is_another_one(
    fleet: fleet_lib.Fleet,
) -> None:
    fleet.put(entry(born=1000, sequence=51, service="llm"))
    assertions.assert_that(
        relay_parts.ready(fleet, "desk", {"v1"}, (), NOW), matchers.HasLength(0)
    )
    assertions.assert_that(
        relay_parts.ready(fleet, "llm", {"v1"}, (), NOW), matchers.HasLength(1)
    )


def test_an_evacuated_failure_domain_gets_nothing() -> None:
    made = fleet_lib.Fleet()
    made.put(relay_parts.entry("n", zone="north"))
    made.put(relay_parts.entry("s", zone="south", version="v2"))
    made.evacuate(frozenset({"north"}), NOW)
    ready = relay_parts.ready(made, "desk", {"v1", "v2"}, (), NOW)
    assertions.assert_that(
        [each.entry.server_id for each in ready], matchers.Equals(["s"])
    )
    # A version that has servers there only is none to choose.
    assertions.assert_that(made.versions("desk", NOW), matchers.Equals({"v2"}))
    made.evacuate(frozenset({"north", "south"}), NOW)
    assertions.assert_that(
        relay_parts.ready(made, "desk", {"v1", "v2"}, (), NOW),
        matchers.Equals([]),
    )


def leaving_fleet(**fields: Any) -> fleet_lib.Fleet:
    """Returns servers of which "a" has said that it leaves."""
    made = fleet_lib.Fleet()
    made.put(relay_parts.entry("a", **fields), NOW)
    made.put(relay_parts.entry("b"), NOW)
    made.servers["a"].departure.note(NOW)
    return made


def ready_names(made: fleet_lib.Fleet, now: float) -> list[str]:
    ready = relay_parts.ready(made, "desk", {"v1"}, (), now)
    return sorted(each.entry.server_id for each in ready)


@pytest.mark.parametrize("born", [None, 1000])
def test_what_the_store_says_does_not_undo_a_servers_own_word(
    born: int | None,
) -> None:
    made = leaving_fleet(born=born, sequence=7)
    assertions.assert_that(ready_names(made, NOW), matchers.Equals(["b"]))
    made.put(relay_parts.entry("a", born=born, sequence=8), NOW + 1.0)
    assertions.assert_that(ready_names(made, NOW + 1.0), matchers.Equals(["b"]))
    made.remove("a")
    made.put(relay_parts.entry("a", born=born, sequence=9), NOW + 2.0)
    assertions.assert_that(ready_names(made, NOW + 2.0), matchers.Equals(["b"]))
    made.lapse("a", NOW + 3.0)
    made.drop_lapsed(NOW + 4.0)
    made.put(relay_parts.entry("a", born=born, sequence=9), NOW + 5.0)
    assertions.assert_that(ready_names(made, NOW + 5.0), matchers.Equals(["b"]))


@pytest.mark.parametrize(
    "start", [{"born": 2000}, {"born": 1000, "address": "127.0.0.1:2"}]
)
def test_another_start_of_a_leaving_server_is_used_at_once(
    start: dict[str, Any],
) -> None:
    made = leaving_fleet(born=1000, sequence=7)
    made.put(relay_parts.entry("a", sequence=8, **start), NOW + 0.1)
    assertions.assert_that(
        ready_names(made, NOW + 0.1), matchers.Equals(["a", "b"])
    )


def test_a_start_of_no_known_time_is_tried_again_after_a_while() -> None:
    made = leaving_fleet()
    late = NOW + departures.UNDATED_LIFE
    assertions.assert_that(
        ready_names(made, late - 1.0), matchers.Equals(["b"])
    )
    assertions.assert_that(ready_names(made, late), matchers.Equals(["a", "b"]))


def test_a_word_may_be_heard_before_the_entry_is_read() -> None:
    made = fleet_lib.Fleet()
    assertions.assert_that(
        made.note_departure("a@1000", NOW - 1.0), matchers.Is(True)
    )
    made.put(relay_parts.entry("a", born=1000), NOW)
    assertions.assert_that(ready_names(made, NOW), matchers.Equals([]))


def test_an_old_word_does_not_outlive_its_start() -> None:
    made = leaving_fleet(born=1000)
    made.note_departure("a@1000", NOW)
    made.put(relay_parts.entry("a", born=2000), NOW)
    assertions.assert_that(
        made.note_departure("a@1000", NOW), matchers.Is(False)
    )
    ages, _ = made.departures.news(0, NOW)
    assertions.assert_that(ages, matchers.Equals({}))
    assertions.assert_that(ready_names(made, NOW), matchers.Equals(["a", "b"]))


def test_words_of_the_start_before_do_not_bind_one_of_the_same_name() -> None:
    made = leaving_fleet()
    made.note_departure("a", NOW)
    made.put(relay_parts.entry("a", address="127.0.0.1:2"), NOW + 1.0)
    # Another host has not read of the new start yet.
    assertions.assert_that(
        made.note_departure("a", NOW + 0.5), matchers.Is(False)
    )
    assertions.assert_that(
        ready_names(made, NOW + 1.0), matchers.Equals(["a", "b"])
    )
    assertions.assert_that(
        made.note_departure("a", NOW + 2.0), matchers.Is(True)
    )
    assertions.assert_that(ready_names(made, NOW + 2.0), matchers.Equals(["b"]))
