"""Selection of servers for attempts, cascades and response paces."""

from __future__ import annotations

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import cascade
from hoistmoor.core.relay.answers import response_times
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
DRAWS = hashing.RandomGenerator.from_seed(3)


def engines(count: int) -> list[server_lib.ServerState]:
    return [
        server_lib.ServerState(
            relay_parts.make_entry(f"e{number}", service="llm", slots=64)
        )
        for number in range(count)
    ]


def pick_engine(
    ready: list[server_lib.ServerState], model: str = "small"
) -> str:
    request = relay_parts.make_request(relay_parts.CHAT)
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


def test_local_server_is_preferred_until_it_is_busier() -> None:
    near = server_lib.ServerState(relay_parts.make_entry("near", zone="a"))
    far = server_lib.ServerState(relay_parts.make_entry("far", zone="b"))
    found = placement.pick([far, near], "a", NOW, DRAWS)
    assertions.assert_that(found, matchers.Is(near))
    near.in_flight = 3
    found = placement.pick([far, near], "a", NOW, DRAWS)
    assertions.assert_that(found, matchers.Is(far))


def test_hosts_agree_on_the_engine_for_a_shared_prefix() -> None:
    ready = engines(9)
    first = pick_engine(ready)
    again = pick_engine(list(reversed(engines(9))))
    assertions.assert_that(again, matchers.Equals(first))


def test_busy_engine_is_not_selected() -> None:
    ready = engines(9)
    first = pick_engine(ready)
    for each in ready:
        if each.entry.server_id == first:
            each.work = 1e6
    assertions.assert_that(
        pick_engine(ready), matchers.Not(matchers.Equals(first))
    )


@pytest.mark.parametrize(("more", "chosen"), [(1.5, "near"), (3.0, "far")])
def test_prompt_stays_in_failure_domain_unless_much_busier(
    more: float, chosen: str
) -> None:
    ready = [
        server_lib.ServerState(
            relay_parts.make_entry(zone, service="llm", zone=zone), work=work
        )
        for zone, work in (("near", more * 1e6), ("far", 1e6))
    ]
    found = placement.pick_engine(
        ready,
        relay_parts.make_request(relay_parts.CHAT),
        "small",
        "near",
        {"near": 0.0, "far": 0.0},
        1000.0,
        DRAWS,
        NOW,
    )
    assert found is not None
    assertions.assert_that(found.entry.server_id, matchers.Equals(chosen))


def test_short_work_avoids_queues_while_slots_are_free() -> None:
    # A burst of short answers: the engines close to the class have three times
    # as many requests as slots but little work. The distant ones have free
    # slots and more work, from large models. Comparing work alone would queue
    # the request at a full engine.
    ready = [
        server_lib.ServerState(
            relay_parts.make_entry(f"e{number}", service="llm", slots=16)
        )
        for number in range(70)
    ]
    work_class = partition.WorkClass(0, 3, False)
    distances = partition.distances(work_class, ready)
    for each in ready:
        is_near = distances[each.entry.identity] < 0.15
        requests, work = (48, 15_000) if is_near else (8, 40_000)
        each.peer_work = outstanding.ServerWork(work, requests)
        each.peer_work_until = NOW + 1.0
    # Without a shared prefix, no engine has any of the prompt cached.
    prompt = requests_lib.Prompt(
        "*", 800, 50, (requests_lib.PromptPart("own", 800),)
    )
    request = relay_parts.make_request(relay_parts.CHAT, prompt=prompt)
    waiting = 0
    for _ in range(200):
        found = placement.pick_engine(
            ready, request, "small", "", distances, 1000.0, DRAWS, NOW
        )
        assert found is not None
        waiting += found.occupancy(NOW) > 1.0
    assertions.assert_that(waiting, matchers.LessThan(20))


def test_models_of_different_size_use_different_engines_if_idle() -> None:
    ready = engines(9)
    small = {pick_engine(ready, "small")}
    large = {pick_engine(ready, "large")}
    assertions.assert_that(small & large, matchers.Equals(set()))


def test_distances_do_not_depend_on_the_order_of_servers() -> None:
    work_class = partition.WorkClass(0, 3, True)
    forth = partition.distances(work_class, engines(5))
    back = partition.distances(work_class, list(reversed(engines(5))))
    assertions.assert_that(forth, matchers.Equals(back))


def test_prompt_far_above_the_mean_is_long() -> None:
    classes = partition.Partition()
    for _ in range(200):
        classes.record_prompt(1000)
    short = classes.class_of(1500, "large", relay_parts.SIZES)
    long = classes.class_of(9000, "large", relay_parts.SIZES)
    assertions.assert_that(short.is_long, matchers.Is(False))
    assertions.assert_that(long.is_long, matchers.Is(True))
    assertions.assert_that(long.position, matchers.GreaterThan(short.position))


@pytest.mark.parametrize(
    ("confidence", "expected_delay", "better"),
    [
        (0.0, 0.1, "large"),
        (30.0, 0.1, "large"),
        (90.0, 0.1, None),
        # A late answer is worth less than one of low confidence.
        (38.0, 5.0, None),
        (None, 0.1, None),
    ],
)
def test_answer_is_escalated_where_that_is_worth_more(
    confidence: float | None, expected_delay: float, better: str | None
) -> None:
    found = cascade.escalation_target(
        relay_parts.SIZES, "small", confidence, expected_delay, 1.4
    )
    assertions.assert_that(found, matchers.Equals(better))


def test_answer_of_the_largest_model_is_final() -> None:
    found = cascade.escalation_target(relay_parts.SIZES, "large", 0.0, 0.1, 1.0)
    assertions.assert_that(found, matchers.Is(None))


def test_outliers_are_left_out_while_enough_others_remain(
    router: router_lib.Router,
) -> None:
    for server in router.fleet:
        server.health.eject(NOW)
        left = relay_parts.ready_servers(router.fleet, "desk", {"v1"}, (), NOW)
        resting = sum(each.health.is_resting for each in router.fleet)
        expected = 3 - resting if resting == 1 else 3
        assertions.assert_that(left, matchers.HasLength(expected))


def test_unreachable_server_rests_at_once(
    router: router_lib.Router,
) -> None:
    # A crashed server has no work and looks like the least loaded one.
    dead = router.fleet.servers["s0"]
    for each in router.fleet:
        each.in_flight = 0 if each is dead else 3
    request = relay_parts.make_request()
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
        router.record_sent(request, send, now)
        router.record_outcome(
            request, send, response_times.AttemptOutcome.UNREACHABLE, now
        )

    assertions.assert_that(pick(100.0), matchers.Equals("s0"))
    for _ in range(3):  # Concurrent failures count as one.
        fail(100.0)
    assertions.assert_that(pick(100.9), matchers.Not(matchers.Equals("s0")))
    # A single request probes the server; if that fails, the rest is longer.
    assertions.assert_that(pick(101.1), matchers.Equals("s0"))
    fail(101.1)
    assertions.assert_that(pick(103.0), matchers.Not(matchers.Equals("s0")))
    assertions.assert_that(pick(103.2), matchers.Equals("s0"))


def test_outlier_is_kept_if_it_is_the_only_server_of_a_version(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.make_entry("new", version="v2"))
    router.fleet.servers["new"].health.eject(NOW)
    ready = relay_parts.ready_servers(router.fleet, "desk", {"v2"}, (), NOW)
    assertions.assert_that(ready, matchers.HasLength(1))


def test_leaving_servers_and_missing_entries() -> None:
    fleet = fleet_lib.Fleet()
    fleet.put(relay_parts.make_entry("a"))
    fleet.put(relay_parts.make_entry("b", is_leaving=True))
    assertions.assert_that(
        relay_parts.ready_servers(fleet, "desk", {"v1"}, (), NOW),
        matchers.HasLength(1),
    )
    fleet.schedule_expiry("a", NOW + 2.0)
    assertions.assert_that(fleet.remove_expired(NOW + 1.0), matchers.Equals([]))
    fleet.put(relay_parts.make_entry("a"))  # The entry is listed again.
    assertions.assert_that(fleet.remove_expired(NOW + 9.0), matchers.Equals([]))
    fleet.schedule_expiry("a", NOW + 12.0)
    # It gets no requests after the grace period, even before it is removed.
    for now, count in ((NOW + 11.9, 1), (NOW + 12.0, 0)):
        ready = relay_parts.ready_servers(fleet, "desk", {"v1"}, (), now)
        assertions.assert_that(ready, matchers.HasLength(count))
    gone = fleet.remove_expired(NOW + 13.0)
    assertions.assert_that(gone, matchers.Equals(["a"]))


def test_slow_answers_are_detected_by_usual_durations() -> None:
    paces = response_times.ResponseTimes()
    usual = response_times.ResponseTiming(
        "small", first=0.1, total=0.6, events=10
    )
    slow = response_times.ResponseTiming(
        "small", first=0.8, total=4.8, events=10
    )
    key = ("chat", "small")
    assertions.assert_that(paces.is_slow(key, slow, 3.5), matchers.Is(False))
    for _ in range(response_times.MIN_RESPONSES):
        paces.record(key, usual)
    assertions.assert_that(paces.is_slow(key, usual, 3.5), matchers.Is(False))
    assertions.assert_that(paces.is_slow(key, slow, 3.5), matchers.Is(True))


def test_session_keeps_its_version_while_servers_are_limited(
    router: router_lib.Router,
) -> None:
    # With the new version's servers at their rate limit, each request of a
    # session went to whichever version had quota left. The fault was found by
    # reading the code.
    new = relay_parts.make_entry("n1", version="v2")
    router.fleet.put(new)
    router.fleet.shares.set_hosts(["another"])
    router.fleet.servers["n1"].limit.record_limit(1.0, NOW)
    order = phases.Order("desk", "v2", 10.0, 1)
    # All sessions use the new version by now.
    ordered_at = NOW - phases.ALL_AT * order.duration
    router.rollouts.apply_order(order, ordered_at)
    router.rollouts.apply_phase(
        phases.PhaseRecord("desk", "v2", 1, phases.Phase.SPREAD)
    )
    for session, expected in (("s", None), ("", "v1")):
        request = relay_parts.make_request(session=session)
        work_class = router.class_of(request, "")
        found = router.pick(
            request, "", work_class, frozenset(), frozenset(), NOW
        )
        version = found.entry.version if found else None
        assertions.assert_that(version, matchers.Equals(expected))
