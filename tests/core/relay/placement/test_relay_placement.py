"""Which server gets an attempt, and which model answers."""

from __future__ import annotations

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import cascade
from hoistmoor.core.relay.answers import pace
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.course import requests as requests_lib
from hoistmoor.core.relay.placement import partition
from hoistmoor.core.relay.placement import placement
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.core.routing import hashing

NOW = 100.0
DRAWS = hashing.Draws.seeded(3)


def engines(count: int) -> list[server_lib.ServerState]:
    return [
        server_lib.ServerState(
            relay_parts.entry(f"e{number}", service="llm", slots=64)
        )
        for number in range(count)
    ]


def pick_engine(
    ready: list[server_lib.ServerState], model: str = "small"
) -> str:
    request = relay_parts.request(relay_parts.CHAT)
    work_class = partition.WorkClass(relay_parts.SIZES.index(model), 3, False)
    found = placement.pick_engine(
        ready,
        request,
        model,
        "",
        partition.distances(work_class, ready),
        1000.0,
        DRAWS,
        NOW,
    )
    assert found is not None
    return found.entry.server_id


def test_a_near_server_is_taken_until_it_is_busier() -> None:
    near = server_lib.ServerState(relay_parts.entry("near", zone="a"))
    far = server_lib.ServerState(relay_parts.entry("far", zone="b"))
    found = placement.pick([far, near], "a", NOW, DRAWS)
    assertions.assert_that(found, matchers.Is(near))
    near.in_flight = 3
    found = placement.pick([far, near], "a", NOW, DRAWS)
    assertions.assert_that(found, matchers.Is(far))


def test_hosts_agree_on_the_engine_of_a_shared_part() -> None:
    ready = engines(9)
    first = pick_engine(ready)
    again = pick_engine(list(reversed(engines(9))))
    assertions.assert_that(again, matchers.Equals(first))


def test_a_busy_engine_is_passed_over() -> None:
    ready = engines(9)
    first = pick_engine(ready)
    for each in ready:
        if each.entry.server_id == first:
            each.work = 1e6
    assertions.assert_that(
        pick_engine(ready), matchers.Not(matchers.Equals(first))
    )


@pytest.mark.parametrize(("more", "chosen"), [(1.5, "near"), (3.0, "far")])
def test_a_prompt_stays_in_its_failure_domain_while_that_is_not_much_busier(
    more: float, chosen: str
) -> None:
    ready = [
        server_lib.ServerState(
            relay_parts.entry(zone, service="llm", zone=zone), work=work
        )
        for zone, work in (("near", more * 1e6), ("far", 1e6))
    ]
    found = placement.pick_engine(
        ready,
        relay_parts.request(relay_parts.CHAT),
        "small",
        "near",
        {"near": 0.0, "far": 0.0},
        1000.0,
        DRAWS,
        NOW,
    )
    assert found is not None
    assertions.assert_that(found.entry.server_id, matchers.Equals(chosen))


def test_short_work_does_not_wait_for_a_slot_while_others_are_free() -> None:
    # A burst of short answers: the engines that stand near have three times as
    # many of them as slots and little work; the far ones have slots left and
    # more work, of large models.
    ready = [
        server_lib.ServerState(
            relay_parts.entry(f"e{number}", service="llm", slots=16)
        )
        for number in range(70)
    ]
    work_class = partition.WorkClass(0, 3, False)
    distances = partition.distances(work_class, ready)
    for each in ready:
        is_near = distances[each.entry.identity] < 0.15
        requests, work = (48, 15_000) if is_near else (8, 40_000)
        each.told = outstanding.ServerWork(work, requests)
        each.told_until = NOW + 1.0
    # Nothing of it is shared, so no engine has any of it cached.
    prompt = requests_lib.Prompt(
        "*", 800, 50, (requests_lib.PromptPart("own", 800),)
    )
    request = relay_parts.request(relay_parts.CHAT, prompt=prompt)
    waiting = 0
    for _ in range(200):
        found = placement.pick_engine(
            ready, request, "small", "", distances, 1000.0, DRAWS, NOW
        )
        assert found is not None
        waiting += found.crowding(NOW) > 1.0
    assertions.assert_that(waiting, matchers.LessThan(20))


def test_models_of_unlike_size_do_not_meet_while_there_is_room() -> None:
    ready = engines(9)
    small = {pick_engine(ready, "small")}
    large = {pick_engine(ready, "large")}
    assertions.assert_that(small & large, matchers.Equals(set()))


def test_the_line_of_servers_does_not_depend_on_their_order() -> None:
    work_class = partition.WorkClass(0, 3, True)
    forth = partition.distances(work_class, engines(5))
    back = partition.distances(work_class, list(reversed(engines(5))))
    assertions.assert_that(forth, matchers.Equals(back))


def test_a_prompt_far_above_the_mean_is_a_class_of_its_own() -> None:
    known = partition.Partition()
    for _ in range(200):
        known.note_prompt(1000)
    short = known.class_of(1500, "large", relay_parts.SIZES)
    long = known.class_of(9000, "large", relay_parts.SIZES)
    assertions.assert_that(short.is_long, matchers.Is(False))
    assertions.assert_that(long.is_long, matchers.Is(True))
    assertions.assert_that(long.place, matchers.GreaterThan(short.place))


@pytest.mark.parametrize(
    ("confidence", "expected_delay", "better"),
    [
        (0.0, 0.1, "large"),
        (30.0, 0.1, "large"),
        (90.0, 0.1, None),
        # A right answer that is late is worth less than a doubtful one.
        (38.0, 5.0, None),
        (None, 0.1, None),
    ],
)
def test_an_answer_is_dropped_where_that_is_worth_more(
    confidence: float | None, expected_delay: float, better: str | None
) -> None:
    found = cascade.next_size(
        relay_parts.SIZES, "small", confidence, expected_delay, 1.4
    )
    assertions.assert_that(found, matchers.Equals(better))


def test_the_largest_model_has_the_last_word() -> None:
    found = cascade.next_size(relay_parts.SIZES, "large", 0.0, 0.1, 1.0)
    assertions.assert_that(found, matchers.Is(None))


def test_outliers_rest_while_enough_others_remain(
    router: router_lib.Router,
) -> None:
    for server in router.fleet:
        server.health.eject(NOW)
        left = relay_parts.ready(router.fleet, "desk", {"v1"}, (), NOW)
        resting = sum(each.health.is_resting for each in router.fleet)
        expected = 3 - resting if resting == 1 else 3
        assertions.assert_that(left, matchers.HasLength(expected))


def test_a_server_that_takes_no_connection_rests_at_once(
    router: router_lib.Router,
) -> None:
    # It died with no work under way, so that it looks the least busy.
    dead = router.fleet.servers["s0"]
    for each in router.fleet:
        each.in_flight = 0 if each is dead else 3
    request = relay_parts.request()
    work_class = router.class_of(request, "")

    def pick(now: float) -> str:
        found = router.pick(
            request, "", work_class, frozenset(), frozenset(), now
        )
        assert found is not None
        return found.entry.server_id

    def fail(now: float) -> None:
        serial = router.begin_attempt(request, work_class, now)
        send = messages.Send(dead, "", work_class, serial, now + 1.0)
        router.note_sent(request, send, now)
        router.note_ended(request, send, pace.AttemptOutcome.UNREACHABLE, now)

    assertions.assert_that(pick(100.0), matchers.Equals("s0"))
    for _ in range(3):  # Under way together.
        fail(100.0)
    assertions.assert_that(pick(100.9), matchers.Not(matchers.Equals("s0")))
    # One request finds out whether it is back; if not, it rests for longer.
    assertions.assert_that(pick(101.1), matchers.Equals("s0"))
    fail(101.1)
    assertions.assert_that(pick(103.0), matchers.Not(matchers.Equals("s0")))
    assertions.assert_that(pick(103.2), matchers.Equals("s0"))


def test_an_outlier_of_another_version_leaves_none_without_a_server(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.entry("new", version="v2"))
    router.fleet.servers["new"].health.eject(NOW)
    ready = relay_parts.ready(router.fleet, "desk", {"v2"}, (), NOW)
    assertions.assert_that(ready, matchers.HasLength(1))


def test_leaving_servers_and_lapsed_entries() -> None:
    known = fleet_lib.Fleet()
    known.put(relay_parts.entry("a"))
    known.put(relay_parts.entry("b", is_leaving=True))
    assertions.assert_that(
        relay_parts.ready(known, "desk", {"v1"}, (), NOW), matchers.HasLength(1)
    )
    known.lapse("a", NOW + 2.0)
    assertions.assert_that(known.drop_lapsed(NOW + 1.0), matchers.Equals([]))
    known.put(relay_parts.entry("a"))  # It is listed again.
    assertions.assert_that(known.drop_lapsed(NOW + 9.0), matchers.Equals([]))
    known.lapse("a", NOW + 12.0)
    # It gets nothing more from then on, also before it is forgotten.
    for now, count in ((NOW + 11.9, 1), (NOW + 12.0, 0)):
        ready = relay_parts.ready(known, "desk", {"v1"}, (), now)
        assertions.assert_that(ready, matchers.HasLength(count))
    gone = known.drop_lapsed(NOW + 13.0)
    assertions.assert_that(gone, matchers.Equals(["a"]))


def test_slow_answers_are_known_by_what_is_usual() -> None:
    paces = pace.Paces()
    usual = pace.Measured("small", first=0.1, total=0.6, events=10)
    slow = pace.Measured("small", first=0.8, total=4.8, events=10)
    key = ("chat", "small")
    assertions.assert_that(paces.is_slow(key, slow, 3.5), matchers.Is(False))
    for _ in range(pace.MIN_ANSWERS):
        paces.note(key, usual)
    assertions.assert_that(paces.is_slow(key, usual, 3.5), matchers.Is(False))
    assertions.assert_that(paces.is_slow(key, slow, 3.5), matchers.Is(True))


def test_a_session_keeps_its_version_where_its_servers_are_limited(
    router: router_lib.Router,
) -> None:
    # By reading: with the new version's servers limited, each request of a
    # session went to whichever version had room at that moment.
    new = relay_parts.entry("n1", version="v2")
    router.fleet.put(new)
    router.fleet.shares.take_hosts(["another"])
    router.fleet.servers["n1"].limit.note_named(1.0, NOW)
    order = phases.Order("desk", "v2", 10.0, 1)
    router.rollouts.take_order(order, NOW)
    router.rollouts.take_phase(
        phases.PhaseRecord("desk", "v2", 1, phases.Phase.SPREAD)
    )
    for session, expected in (("s", None), ("", "v1")):
        request = relay_parts.request(session=session)
        work_class = router.class_of(request, "")
        found = router.pick(
            request, "", work_class, frozenset(), frozenset(), NOW
        )
        version = found.entry.version if found else None
        assertions.assert_that(version, matchers.Equals(expected))
