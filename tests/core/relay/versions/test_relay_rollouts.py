"""Trials, phases and evaluation of rollouts."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import durations
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.core.relay.versions import rollouts

Phase = phases.Phase
ORDER = phases.Order("llm", "v2", 20.0, 7)
BOTH = {"v1", "v2"}
NONE: frozenset[str] = frozenset()
SECOND_HALF = 13.0  # Seconds after the order.


def record(phase: Phase, number: int = 7) -> phases.PhaseRecord:
    return phases.PhaseRecord("llm", "v2", number, phase)


@pytest.fixture
def registry() -> rollouts.RolloutRegistry:
    made = rollouts.RolloutRegistry(session_life=5.0)
    made.apply_order(ORDER, 0.0)
    return made


def tally(answers: int, failures: int, slow: int) -> evidence_lib.Tally:
    """Returns counts of plain responses that take 0.3 s, or 3 s if slow."""
    times = durations.Durations()
    for number in range(answers - failures):
        times.record_reached(3.0 if number < slow else 0.3)
    return evidence_lib.Tally(
        answers, failures, slow, {attempt_times.Stage.RESPONSE.value: times}
    )


def evidence(
    target: tuple[int, int, int], others: tuple[int, int, int]
) -> dict[str, evidence_lib.RouteEvidence]:
    return {"chat": evidence_lib.RouteEvidence(tally(*target), tally(*others))}


def send(
    registry: rollouts.RolloutRegistry,
    count: int,
    session: str = "",
    begin: float = 1.0,
) -> list[str]:
    versions = []
    for number in range(count):
        now = begin + number / 100
        chosen = registry.allowed_versions("llm", BOTH, session, NONE, now)
        version = min(chosen)
        registry.record_sent("llm", version, session, now)
        versions.append(version)
    return versions


def test_trial_gets_its_share_of_requests(
    registry: rollouts.RolloutRegistry,
) -> None:
    versions = send(registry, 500)
    share = versions.count("v2") / 500
    assertions.assert_that(share, matchers.LessThan(0.12))
    assertions.assert_that(share, matchers.GreaterThan(0.08))


def test_some_sessions_join_a_trial_and_all_keep_their_version(
    registry: rollouts.RolloutRegistry,
) -> None:
    send(registry, 200)
    joined = set()
    for number in range(100):
        versions = set(send(registry, 3, f"session {number}", SECOND_HALF))
        assertions.assert_that(versions, matchers.HasLength(1))
        joined |= versions
    assertions.assert_that(joined, matchers.Equals(BOTH))


def test_no_session_joins_a_trial_in_its_first_half(
    registry: rollouts.RolloutRegistry,
) -> None:
    # With hundreds of hosts, the host that gets the next request of a session
    # does not know which version the session used before the order.
    for number in range(500):
        versions = send(
            registry, 1, f"session {number}", number / 500 * ORDER.duration / 2
        )
        assertions.assert_that(versions, matchers.Equals(["v1"]))


def test_host_started_during_a_rollout_decides_like_the_others(
    registry: rollouts.RolloutRegistry,
) -> None:
    late = rollouts.RolloutRegistry(session_life=5.0)
    late.apply_order(ORDER, SECOND_HALF - 1.0)
    late.merge_ages(registry.ages(SECOND_HALF), SECOND_HALF)
    for number in range(200):
        session = f"session {number}"
        assertions.assert_that(
            late.allowed_versions("llm", BOTH, session, NONE, SECOND_HALF),
            matchers.Equals(
                registry.allowed_versions(
                    "llm", BOTH, session, NONE, SECOND_HALF
                )
            ),
        )
    # A lower age, from a host that has just started, changes nothing.
    late.merge_ages({ORDER.number: 0.1}, SECOND_HALF)
    ages = late.ages(SECOND_HALF)
    assertions.assert_that(ages[ORDER.number], matchers.Equals(SECOND_HALF))


def test_hosts_agree_on_session_versions_without_communication() -> None:
    idle, busy = (rollouts.RolloutRegistry(session_life=5.0) for _ in range(2))
    for registry in (idle, busy):
        registry.apply_order(ORDER, 0.0)
    send(busy, 300)
    for number in range(200):
        session = f"session {number}"
        for now in (4.0, SECOND_HALF):
            assertions.assert_that(
                busy.allowed_versions("llm", BOTH, session, NONE, now),
                matchers.Equals(
                    idle.allowed_versions("llm", BOTH, session, NONE, now)
                ),
            )


def test_session_older_than_the_order_keeps_its_version() -> None:
    registry = rollouts.RolloutRegistry(session_life=5.0)
    sessions = [f"session {number}" for number in range(50)]
    for session in sessions:
        registry.record_sent("llm", "v1", session, 0.5)
    registry.apply_order(ORDER, 0.6)
    send(registry, 100)
    for session in sessions:
        chosen = registry.allowed_versions("llm", BOTH, session, NONE, 3.0)
        assertions.assert_that(chosen, matchers.Equals({"v1"}))


def test_failures_at_one_host_stop_its_trial_at_once(
    registry: rollouts.RolloutRegistry,
) -> None:
    progress = registry.progress["llm"]
    for _ in range(evidence_lib.MIN_RESPONSES):
        progress.record_response("chat", "v2", failed=True, slow=False)
    assertions.assert_that(set(send(registry, 100)), matchers.Equals({"v1"}))


def test_request_that_failed_in_a_trial_goes_to_the_old_version(
    registry: rollouts.RolloutRegistry,
) -> None:
    registry.record_sent("llm", "v2", "a session", 1.0)
    kept = registry.allowed_versions("llm", BOTH, "a session", NONE, 2.0)
    assertions.assert_that(kept, matchers.Equals({"v2"}))
    moved = registry.allowed_versions(
        "llm", BOTH, "a session", frozenset({"v2"}), 2.0
    )
    assertions.assert_that(moved, matchers.Equals({"v1"}))


@pytest.mark.parametrize("session", ["", "s"])
@pytest.mark.parametrize(
    ("phase", "expected"),
    [
        (Phase.SPREAD, {"v2"}),
        (Phase.COMPLETE, {"v2"}),
        (Phase.REVERTED, {"v1"}),
    ],
)
def test_versions_allowed_in_each_phase(
    registry: rollouts.RolloutRegistry,
    phase: Phase,
    expected: set[str],
    session: str,
) -> None:
    registry.apply_phase(record(phase))
    now = phases.ALL_AT * ORDER.duration
    chosen = registry.allowed_versions("llm", BOTH, session, NONE, now)
    assertions.assert_that(chosen, matchers.Equals(expected))


@pytest.mark.parametrize("has_sessions", [False, True])
def test_target_gets_more_requests_step_by_step_while_it_spreads(
    registry: rollouts.RolloutRegistry, has_sessions: bool
) -> None:
    registry.apply_phase(record(Phase.SPREAD))
    shares = []
    for elapsed in (phases.SPREAD_AT, 0.65, 0.7, phases.ALL_AT):
        now = elapsed * ORDER.duration
        versions = [
            send(registry, 1, f"{now} {number}" if has_sessions else "", now)[0]
            for number in range(400)
        ]
        shares.append(versions.count("v2") / len(versions))
    assertions.assert_that(shares[0], matchers.LessThan(0.45))
    assertions.assert_that(shares, matchers.Equals(sorted(shares)))
    assertions.assert_that(shares[1], matchers.LessThan(0.75))
    assertions.assert_that(shares[-1], matchers.Equals(1.0))


def test_session_that_uses_a_spreading_target_keeps_it(
    registry: rollouts.RolloutRegistry,
) -> None:
    registry.apply_phase(record(Phase.SPREAD))
    now = phases.SPREAD_AT * ORDER.duration
    for number in range(200):
        registry.record_sent("llm", "v2", f"session {number}", now)
    for number in range(200):
        chosen = registry.allowed_versions(
            "llm", BOTH, f"session {number}", NONE, now + 0.1
        )
        assertions.assert_that(chosen, matchers.Equals({"v2"}))


def test_host_started_while_a_target_spreads_sends_it_sessions() -> None:
    late = rollouts.RolloutRegistry(session_life=5.0)
    late.apply_phase(record(Phase.SPREAD))
    late.apply_order(ORDER, 12.0)
    chosen = [
        late.allowed_versions("llm", BOTH, f"session {number}", NONE, 12.1)
        for number in range(200)
    ]
    assertions.assert_that(chosen.count({"v2"}), matchers.GreaterThan(30))


def test_withdrawn_version_is_excluded_from_the_next_rollout(
    registry: rollouts.RolloutRegistry,
) -> None:
    registry.apply_phase(record(Phase.REVERTED))
    registry.apply_order(phases.Order("llm", "v3", 20.0, 9), 5.0)
    chosen = registry.allowed_versions("llm", {"v1", "v2"}, "", NONE, 6.0)
    assertions.assert_that(chosen, matchers.Equals({"v1"}))


@pytest.mark.parametrize("phase", [Phase.TRIAL, Phase.REVERTED])
@pytest.mark.parametrize("session", ["", "s"])
def test_replaced_version_is_excluded_from_the_next_rollout(
    registry: rollouts.RolloutRegistry, phase: Phase, session: str
) -> None:
    # Its servers may still be listed, but no session uses it.
    registry.apply_phase(record(Phase.COMPLETE))
    registry.record_sent("llm", "v2", session, 18.0)
    registry.apply_order(phases.Order("llm", "v3", 20.0, 9), 18.2)
    registry.apply_phase(phases.PhaseRecord("llm", "v3", 9, phase))
    chosen = registry.allowed_versions(
        "llm", {"v1", "v2", "v3"}, session, NONE, 18.3
    )
    assertions.assert_that(chosen, matchers.Equals({"v2"}))
    # If the established version has no servers left, older ones are used.
    chosen = registry.allowed_versions("llm", {"v1", "v3"}, session, NONE, 18.5)
    assertions.assert_that(chosen, matchers.Equals({"v1"}))


def test_older_order_is_ignored(registry: rollouts.RolloutRegistry) -> None:
    older = phases.Order("llm", "v9", 20.0, 3)
    assertions.assert_that(registry.apply_order(older, 1.0), matchers.Is(False))
    assertions.assert_that(
        registry.progress["llm"].order, matchers.Equals(ORDER)
    )


def test_phase_read_before_its_order_applies() -> None:
    registry = rollouts.RolloutRegistry(session_life=5.0)
    registry.apply_phase(record(Phase.COMPLETE))
    registry.apply_order(ORDER, 0.0)
    assertions.assert_that(
        registry.progress["llm"].phase, matchers.Equals(Phase.COMPLETE)
    )


@pytest.mark.parametrize(
    ("target", "others", "elapsed", "expected"),
    [
        ((30, 0, 0), (300, 0, 0), 0.2, None),
        ((30, 0, 0), (300, 0, 0), 0.7, Phase.SPREAD),
        # Without any response, the target must not spread.
        ((0, 0, 0), (300, 0, 0), 0.99, None),
        ((5, 0, 0), (300, 0, 0), 0.99, None),
        # Without responses of the other version, nothing proves the target.
        ((30, 0, 0), (0, 0, 0), 0.99, None),
        ((12, 6, 0), (100, 0, 0), 0.1, Phase.REVERTED),
        ((12, 0, 8), (100, 0, 0), 0.1, Phase.REVERTED),
        # The failure rate of the target equals the baseline.
        ((40, 6, 0), (300, 42, 0), 0.1, None),
        # Too few responses for a decision.
        ((4, 4, 0), (100, 0, 0), 0.1, None),
    ],
)
def test_next_phase(
    target: tuple[int, int, int],
    others: tuple[int, int, int],
    elapsed: float,
    expected: Phase | None,
) -> None:
    pooled = evidence(target, others)
    next_phase = phases.next_phase(Phase.TRIAL, pooled, elapsed)
    assertions.assert_that(next_phase, matchers.Equals(expected))


@pytest.mark.parametrize("phase", [Phase.COMPLETE, Phase.REVERTED])
def test_no_phase_follows_a_final_one(phase: Phase) -> None:
    bad = evidence((50, 50, 0), (50, 0, 0))
    assertions.assert_that(
        phases.next_phase(phase, bad, 0.99), matchers.Is(None)
    )


def test_version_that_fails_after_spreading_is_reverted() -> None:
    bad = evidence((100, 40, 0), (100, 0, 0))
    assertions.assert_that(
        phases.next_phase(Phase.SPREAD, bad, 0.7),
        matchers.Equals(Phase.REVERTED),
    )


def test_failures_on_several_routes_add_up() -> None:
    # 9 of 22 responses failed, but no route has five failures in eight or more
    # responses.
    pooled = {
        "brief": evidence((7, 5, 0), (62, 0, 0))["chat"],
        "dossier": evidence((11, 3, 0), (54, 0, 0))["chat"],
        "reply": evidence((4, 1, 0), (43, 0, 0))["chat"],
    }
    assertions.assert_that(
        phases.next_phase(Phase.TRIAL, pooled, 0.3),
        matchers.Equals(Phase.REVERTED),
    )


def test_failures_on_one_route_are_not_hidden_by_the_others() -> None:
    pooled = {
        "brief": evidence((8, 4, 0), (40, 1, 0))["chat"],
        "reply": evidence((60, 0, 0), (400, 4, 0))["chat"],
    }
    assertions.assert_that(
        phases.next_phase(Phase.TRIAL, pooled, 0.3),
        matchers.Equals(Phase.REVERTED),
    )


@pytest.mark.parametrize(
    ("target", "others"),
    [
        # One of six servers fails nearly half of its requests.
        ((60, 5, 0), (500, 0, 0)),
        # Both versions are slow because of overload.
        ((40, 0, 16), (300, 0, 100)),
    ],
)
def test_problems_unrelated_to_the_version_do_not_revert_it(
    target: tuple[int, int, int], others: tuple[int, int, int]
) -> None:
    pooled = evidence(target, others)
    assertions.assert_that(
        phases.next_phase(Phase.TRIAL, pooled, 0.7),
        matchers.Equals(Phase.SPREAD),
    )


def test_target_once_found_bad_is_reverted() -> None:
    later = evidence((20, 3, 0), (300, 20, 0))
    assertions.assert_that(
        phases.next_phase(Phase.TRIAL, later, 0.9, is_doubted=True),
        matchers.Equals(Phase.REVERTED),
    )


def test_doubtful_version_does_not_spread() -> None:
    doubtful = evidence((20, 4, 0), (100, 0, 0))
    assertions.assert_that(
        phases.next_phase(Phase.TRIAL, doubtful, 0.9), matchers.Is(None)
    )


@pytest.mark.parametrize("phase", [Phase.TRIAL, Phase.SPREAD])
def test_doubt_stops_requests_to_the_target_before_any_phase_record(
    registry: rollouts.RolloutRegistry, phase: Phase
) -> None:
    registry.apply_phase(record(phase))
    doubted = registry.mark_doubted(ORDER.number)
    assertions.assert_that(doubted, matchers.Is(registry.progress["llm"]))
    assertions.assert_that(
        registry.mark_doubted(ORDER.number), matchers.Is(None)
    )
    assertions.assert_that(registry.doubts(), matchers.Equals((ORDER.number,)))
    assertions.assert_that(set(send(registry, 100)), matchers.Equals({"v1"}))


def test_turns_of_hosts_are_distinct() -> None:
    hosts = [f"h{number}" for number in range(5)]
    turns = [phases.turn_delay(host, hosts, 7) for host in hosts]
    expected = [place * phases.TURN_SECONDS for place in range(5)]
    assertions.assert_that(sorted(turns), matchers.Equals(expected))


def test_counts_of_all_hosts_are_summed() -> None:
    one = evidence_lib.Evidence("llm", 7, "a", evidence((1, 1, 0), (2, 0, 1)))
    two = evidence_lib.Evidence("llm", 7, "b", evidence((3, 0, 1), (4, 1, 0)))
    pooled = evidence_lib.pool_evidence([one, two])["chat"]
    assertions.assert_that(pooled.target, matchers.Equals(tally(4, 1, 1)))
    assertions.assert_that(pooled.others, matchers.Equals(tally(6, 1, 1)))
    # The inputs are not modified.
    assertions.assert_that(
        one.routes["chat"].target, matchers.Equals(tally(1, 1, 0))
    )


def test_newer_counts_win_in_any_order_of_arrival() -> None:
    old = evidence_lib.Evidence("llm", 7, "a", evidence((1, 0, 0), (2, 0, 0)))
    new = evidence_lib.Evidence("llm", 7, "a", evidence((3, 1, 0), (2, 0, 0)))
    other = evidence_lib.Evidence("llm", 7, "b", evidence((1, 0, 0), (0, 0, 0)))
    for copies in ([old, new, other], [new, other, old, new]):
        registry = evidence_lib.EvidenceRegistry()
        for each in copies:
            registry.merge(each)
        assertions.assert_that(
            registry.for_order("llm", 7),
            matchers.MatchesSetwise(
                matchers.Equals(new), matchers.Equals(other)
            ),
        )
        assertions.assert_that(
            registry.for_order("llm", 8), matchers.Equals([])
        )
