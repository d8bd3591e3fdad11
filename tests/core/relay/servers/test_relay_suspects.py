"""Quarantine of requests that crash the servers running them.

In the failure behind these tests, one request ended each of six servers that
began to run it, four times in a minute. 214 other requests were cut with it, 80
of them three times or more. Only the first must be refused: it alone was cut
each time after its response had begun and before any part of it arrived.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.servers import suspects

if TYPE_CHECKING:
    from hoistmoor.core.relay.placement import router as router_lib

NOW = 100.0
LATER = NOW + suspects.SETTLE_SECONDS
Stage = runs.Stage


def run_of(
    fingerprint: str, stage: Stage = Stage.WAITING, lasted: float = 0.1
) -> runs.Run:
    begun_at = None if stage is Stage.WAITING else NOW - lasted
    return runs.Run(fingerprint, stage, begun_at)


def begun(fingerprint: str = "bad") -> runs.Run:
    return run_of(fingerprint, Stage.BEGUN)


def giving(fingerprint: str) -> runs.Run:
    return run_of(fingerprint, Stage.GIVING)


def assert_quarantined(
    table: suspects.SuspectTable, fingerprint: str, now: float, expected: bool
) -> None:
    assertions.assert_that(
        table.is_quarantined(fingerprint, now), matchers.Is(expected)
    )


def table_with(*ends: list[runs.Run]) -> suspects.SuspectTable:
    """Returns a table that has recorded the ends of several servers."""
    table = suspects.SuspectTable()
    for number, present in enumerate(ends):
        table.record_end(f"s{number}", present, NOW)
    return table


def test_two_ends_at_the_start_of_a_run_suffice_at_once() -> None:
    table = table_with([begun()])
    assert_quarantined(table, "bad", LATER, False)
    table.record_end("s1", [begun()], NOW)
    assert_quarantined(table, "bad", NOW, True)
    assertions.assert_that(table.newly_quarantined, matchers.Equals(["bad"]))


def test_end_of_one_server_counts_once() -> None:
    table = table_with([begun()])
    table.record_end("s0", [begun()], NOW)
    assert_quarantined(table, "bad", LATER, False)


def test_end_at_the_start_counts_only_without_another_run_starting() -> None:
    both = [begun(), begun("other")]
    table = table_with(both, both)
    assert_quarantined(table, "bad", NOW, False)
    assert_quarantined(table, "other", NOW, False)


def test_four_other_ends_suffice_once_settled() -> None:
    ends = [[run_of("bad")] for _ in range(suspects.ENDS_TO_QUARANTINE)]
    assert_quarantined(table_with(*ends), "bad", NOW, False)
    assert_quarantined(table_with(*ends), "bad", LATER, True)
    assert_quarantined(table_with(*ends[1:]), "bad", LATER, False)


@pytest.mark.parametrize("stage", [Stage.WAITING, Stage.GIVING])
def test_request_beside_the_cause_is_not_quarantined(stage: Stage) -> None:
    ends = [[begun(), run_of("beside", stage)] for _ in range(6)]
    table = table_with(*ends)
    assert_quarantined(table, "bad", LATER, True)
    assert_quarantined(table, "beside", LATER, False)
    assertions.assert_that(table.is_likely_cause("beside"), matchers.Is(False))


def test_request_beside_the_cause_is_not_quarantined_without_starts() -> None:
    ends = [[run_of("bad"), run_of("beside")] for _ in range(4)]
    table = table_with([run_of("bad")], *ends)
    assert_quarantined(table, "bad", LATER, True)
    assert_quarantined(table, "beside", LATER, False)


def test_long_run_is_no_suspect() -> None:
    lasted = suspect_state.MAX_START_SECONDS + 0.1
    ends = [[run_of("long", Stage.GIVING, lasted)] for _ in range(6)]
    assert_quarantined(table_with(*ends), "long", LATER, False)
    # The response began long ago, so the server did not end at its start.
    slow = [[run_of("slow", Stage.BEGUN, lasted)] for _ in range(2)]
    assert_quarantined(table_with(*slow), "slow", LATER, False)


def test_answer_clears_earlier_ends_for_a_limited_time() -> None:
    table = table_with([begun()], [begun()])
    table.record_completed("bad", NOW)
    assert_quarantined(table, "bad", LATER, False)
    later = NOW + suspects.COMPLETED_TTL + 1.0
    run = runs.Run("bad", Stage.BEGUN, later)
    table.record_end("s2", [run], later)
    assert_quarantined(table, "bad", later, False)
    table.record_end("s3", [run], later)
    assert_quarantined(table, "bad", later, True)


def test_answer_at_another_host_clears() -> None:
    table, other = table_with([begun()], [begun()]), suspects.SuspectTable()
    other.merge(table.changes_since(0, NOW)[0], NOW)
    other.record_completed("bad", NOW)
    table.merge(other.changes_since(0, NOW)[0], NOW)
    assert_quarantined(table, "bad", LATER, False)


def test_quarantine_expires() -> None:
    table = table_with([begun()], [begun()])
    left = table.remaining_quarantine("bad", NOW + 1.0)
    assertions.assert_that(
        left, matchers.Equals(suspects.QUARANTINE_SECONDS - 1.0)
    )
    assert_quarantined(
        table, "bad", NOW + suspects.QUARANTINE_SECONDS + 1.0, False
    )
    assertions.assert_that(
        table.quarantined(NOW + suspects.QUARANTINE_SECONDS + 1.0),
        matchers.Equals({}),
    )


def test_expired_evidence_is_not_merged() -> None:
    table = table_with([begun()], [begun()])
    (suspect,), _ = table.changes_since(
        0, NOW + suspects.QUARANTINE_SECONDS + 1.0
    )
    other = suspects.SuspectTable()
    other.merge([suspect], NOW)
    assert_quarantined(other, "bad", NOW, False)


@pytest.mark.parametrize("hosts", [1, 7, 84, 360])
def test_hosts_agree_regardless_of_the_order_of_messages(hosts: int) -> None:
    rng = random.Random(hosts)
    tables = [suspects.SuspectTable() for _ in range(hosts)]
    for number in range(suspects.ENDS_TO_QUARANTINE):
        for run in [run_of("bad"), giving(f"beside{number}"), giving("beside")]:
            present = [run] if run.fingerprint != "beside" or number else []
            rng.choice(tables).record_end(f"s{number}", present, NOW)
    reports = list(
        itertools.chain.from_iterable(
            each.changes_since(0, NOW)[0] for each in tables
        )
    )
    for _ in range(10):
        rng.shuffle(reports)
        table = suspects.SuspectTable()
        table.merge(reports, NOW)
        assert_quarantined(table, "bad", LATER, True)
        assert_quarantined(table, "beside", LATER, False)


def test_memory_is_bounded_and_quarantined_requests_stay() -> None:
    table = table_with([begun()], [begun()])
    for number in range(20):
        present = [run_of(f"r{number}.{each}") for each in range(50)]
        table.record_end(f"t{number}", present, NOW + 1.0)
    changes, after, count = (), 0, 0
    while after < table.serials.newest:
        changes, after = table.changes_since(after, NOW)
        assertions.assert_that(
            len(changes), matchers.LessThan(suspects.MAX_PER_MESSAGE + 1)
        )
        count += len(changes)
    assertions.assert_that(count, matchers.LessThan(suspects.MAX_SUSPECTS + 2))
    assert_quarantined(table, "bad", LATER, True)


def test_only_changes_are_sent() -> None:
    table = table_with([begun()])
    changes, after = table.changes_since(0, NOW)
    assertions.assert_that(changes, matchers.HasLength(1))
    assertions.assert_that(
        table.changes_since(after, NOW)[0], matchers.HasLength(0)
    )
    # Evidence that another host sends back is no change.
    table.merge(changes, NOW)
    assertions.assert_that(
        table.changes_since(after, NOW)[0], matchers.HasLength(0)
    )
    table.record_end("s1", [begun()], NOW)
    assertions.assert_that(
        table.changes_since(after, NOW)[0], matchers.HasLength(1)
    )


def test_requests_without_a_fingerprint_are_no_suspects() -> None:
    table = table_with([runs.Run()], [runs.Run()])
    assertions.assert_that(table.serials.newest, matchers.Equals(0))


def test_request_that_all_callers_send_is_not_refused() -> None:
    """Servers may end for other reasons during a frequent request."""
    table, other = suspects.SuspectTable(), suspects.SuspectTable()
    other.record_completed("common", NOW)
    for number in range(6):
        table.record_end(f"s{number}", [begun("common")], NOW)
        other.record_end(f"s{number}", [begun("common")], NOW)
    assertions.assert_that(other.serials.newest, matchers.Equals(0))
    assert_quarantined(table, "common", NOW, True)
    # A host that has just seen it answered clears it for the other one.
    other.merge(table.changes_since(0, NOW)[0], NOW)
    assert_quarantined(other, "common", NOW, False)
    table.merge(other.changes_since(0, NOW)[0], NOW)
    assert_quarantined(table, "common", NOW, False)


def test_memory_of_answered_requests_is_bounded() -> None:
    table = suspects.SuspectTable()
    table.record_completed("first", NOW)
    for number in range(suspects.MAX_COMPLETED):
        table.record_completed(f"r{number}", NOW)
    table.record_end("s0", [begun("first"), begun("r9")], NOW)
    assertions.assert_that(
        [each.fingerprint for each in table.changes_since(0, NOW)[0]],
        matchers.Equals(["first"]),
    )


def test_next_end_decides_between_requests_always_seen_together() -> None:
    both = [run_of("bad"), run_of("beside")]
    table = table_with(*[both for _ in range(suspects.ENDS_TO_QUARANTINE)])
    assert_quarantined(table, "bad", LATER, False)
    assert_quarantined(table, "beside", LATER, False)
    table.record_end("next", [run_of("bad")], LATER)
    assert_quarantined(table, "bad", LATER + suspects.SETTLE_SECONDS, True)
    assert_quarantined(table, "beside", LATER + suspects.SETTLE_SECONDS, False)


def test_abandoned_run_is_weak_evidence() -> None:
    dropped = [
        runs.Run("dropped", Stage.BEGUN, NOW - 0.1, ended_at=NOW)
        for _ in range(2)
    ]
    cut = [
        runs.Run("cut", Stage.BEGUN, NOW - 0.1, is_cut=True, ended_at=NOW)
        for _ in range(2)
    ]
    table = table_with([dropped[0]], [dropped[1]])
    assert_quarantined(table, "dropped", NOW, False)
    table = table_with([cut[0]], [cut[1]])
    assert_quarantined(table, "cut", NOW, True)


def test_abandoned_run_is_recorded_when_a_host_reports_the_end(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.make_entry("s0"))
    server = router.fleet.servers["s0"]
    left = runs.Run("left")
    server.runs.add(left)
    server.runs.end(left, NOW)
    suspect = suspect_state.Suspect("beside", {"s0": Stage.GIVING})
    router.merge_suspects([suspect], NOW + 0.5)
    changes, _ = router.suspects.changes_since(0, NOW)
    names = {each.fingerprint for each in changes}
    assertions.assert_that(names, matchers.Equals({"beside", "left"}))
    # The server gets no further requests either.
    assertions.assert_that(server.is_gone(NOW + 0.5), matchers.Is(True))
