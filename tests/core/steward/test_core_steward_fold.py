"""Starting from a snapshot, rejected records and evidence for a stage."""

from __future__ import annotations

from typing import Any

import attrs
import pytest
import steward_world as worlds
from testtools import assertions
from testtools import matchers

from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core.routing import exposure
from hoistmoor.core.steward import evidence
from hoistmoor.core.steward import fold as fold_lib
from hoistmoor.core.steward import records
from hoistmoor.core.steward import snapshots
from hoistmoor.core.steward import state as state_lib

A = identity.Incarnation("a", 1)
WITHDRAWAL = records.VersionWithdrawn(
    worlds.NEW, "bad", "host", "0 of 9", worlds.DIGEST
)
HISTORY: tuple[Any, ...] = (
    records.LeaseRequest(A, 15.0),
    records.RolloutStart(worlds.NEW, worlds.DIGEST, 0),
    records.RolloutStep(worlds.NEW, 0, 0.25, 0),
    records.RolloutHold(worlds.NEW, False, "op"),
    None,
    records.EvidenceCounted(0, 3, {worlds.NEW: records.RatedCount(3, 0)}, 0),
    records.ServerDrain("s1", True, "op"),
    WITHDRAWAL,
)


def fold_of(history: tuple[Any, ...], start: int = 0) -> fold_lib.StewardFold:
    """Returns a fold that has read ``history`` from offset ``start`` on."""
    fold = fold_lib.StewardFold(start=start)
    for offset, record in enumerate(history):
        if offset >= start:
            fold.apply(offset, 100.0 + offset, record)
    return fold


def through_codec(record: Any) -> Any:
    """Returns ``record`` encoded and decoded again."""
    return codec.decode(codec.encode(record))


@pytest.mark.parametrize("record", [record for record in HISTORY if record])
def test_records_round_trip_through_the_codec(record: Any) -> None:
    assertions.assert_that(through_codec(record), matchers.Equals(record))


@pytest.mark.parametrize("as_of", range(3, 8))
def test_late_reader_catches_up_from_any_usable_snapshot(as_of: int) -> None:
    snapshot = through_codec(fold_of(HISTORY[: as_of + 1]).snapshot())
    stream = (*HISTORY, snapshot, records.ServerDrain("s2", True, "op"))
    late = fold_of(stream, start=4)
    assert late.complete
    whole = fold_of(stream)
    assertions.assert_that(late.state, matchers.Equals(whole.state))


def test_snapshot_that_leaves_a_gap_is_not_used() -> None:
    snapshot = fold_of(HISTORY[:3]).snapshot()
    late = fold_of((*HISTORY, snapshot), start=4)
    assert not late.complete


def test_late_snapshot_reverts_nothing() -> None:
    old = through_codec(fold_of(HISTORY[:3]).snapshot())
    fold = fold_of((*HISTORY, old))
    assertions.assert_that(
        fold.state.withdrawn, matchers.Equals({worlds.NEW: WITHDRAWAL})
    )


def test_candidates_get_no_share_after_lost_history_until_reset() -> None:
    late = fold_of(HISTORY[:5], start=2)
    view = late.view()
    assert view.share(worlds.CANDIDATE) == 0
    late.apply(5, 200.0, records.HistoryReset("op"))
    assert late.complete
    assertions.assert_that(
        late.state, matchers.Equals(state_lib.StewardState(log_time=200.0))
    )


@pytest.mark.parametrize(
    "record",
    [
        records.RolloutStep(worlds.NEW, 2, 1.0, 0),
        records.RolloutStep(worlds.NEW, 0, 0.25, 0),
        records.RolloutStep(worlds.NEW, 1, 0.5, 99),
        records.RolloutStep("m@9", 0, 0.01, 0),
        records.RolloutDone(worlds.NEW, 0),
        records.EvidenceCounted(0, 3, {}, 0),
        records.EvidenceCounted(3, 4, {}, 99),
        records.LeaseRelease(99),
        None,
    ],
)
def test_rejected_records_do_not_change_the_state(record: Any) -> None:
    fold = fold_of(HISTORY[:7])
    before = fold.state
    assert fold.apply(7, 107.0, record) is fold_lib.ApplyResult.REJECTED
    after = attrs.evolve(fold.state, log_time=before.log_time)
    assertions.assert_that(after, matchers.Equals(before))


def test_withdrawn_version_gets_no_share() -> None:
    fold = fold_of(HISTORY)
    step = records.RolloutStep(worlds.NEW, 1, 0.5, 0)
    assert fold.apply(8, 108.0, step) is fold_lib.ApplyResult.REJECTED
    view = fold.view()
    assert view.is_withdrawn(worlds.CANDIDATE)
    assert view.share(worlds.CANDIDATE) == 0


def test_paused_rollout_does_not_advance() -> None:
    fold = fold_of(HISTORY[:7])
    fold.apply(7, 107.0, records.RolloutHold(worlds.NEW, True, "op"))
    step = records.RolloutStep(worlds.NEW, 1, 0.5, 0)
    assert fold.apply(8, 108.0, step) is fold_lib.ApplyResult.REJECTED
    fold.apply(9, 109.0, records.RolloutHold(worlds.NEW, False, "op"))
    assert fold.apply(10, 110.0, step) is fold_lib.ApplyResult.ACCEPTED


def test_edit_of_the_row_restarts_the_rollout_and_lifts_a_withdrawal() -> None:
    fold = fold_of(HISTORY)
    edited = attrs.evolve(worlds.CANDIDATE, prior_quality=0.7)
    digest = exposure.row_digest(edited)
    again = records.RolloutStart(worlds.NEW, worlds.DIGEST, 0)
    assert fold.apply(8, 108.0, again) is fold_lib.ApplyResult.REJECTED
    restart = records.RolloutStart(worlds.NEW, digest, 0)
    assert fold.apply(9, 109.0, restart) is fold_lib.ApplyResult.ACCEPTED
    view = fold.view()
    assert not view.is_withdrawn(edited)
    assert view.share(edited) == 0
    assert view.rated_count(worlds.NEW).rated == 0


def test_withdrawal_of_a_replaced_row_has_no_effect() -> None:
    fold = fold_of(HISTORY[:7])
    old = attrs.evolve(WITHDRAWAL, row_digest="older")
    fold.apply(7, 107.0, old)
    assert not fold.view().is_withdrawn(worlds.CANDIDATE)
    step = records.RolloutStep(worlds.NEW, 1, 0.5, 0)
    assert fold.apply(8, 108.0, step) is fold_lib.ApplyResult.ACCEPTED


@pytest.mark.parametrize(
    ("good", "bad", "passes"),
    [
        (0, 0, False),
        (1, 0, False),
        (5, 0, True),
        (3, 2, False),
        (12, 3, True),
        (10, 5, False),
    ],
)
def test_stage_requires_evidence(good: int, bad: int, passes: bool) -> None:
    count = records.RatedCount(good, bad)
    assert evidence.is_good(count, 0.8, evidence.EvidencePolicy()) is passes


@pytest.mark.parametrize(
    ("first", "records_since", "due"),
    [(0, 10, False), (0, 500, True), (4, 2, False), (4, 8, True)],
)
def test_snapshot_is_due_before_retention_removes_the_last(
    first: int, records_since: int, due: bool
) -> None:
    snapshot = fold_of(HISTORY).snapshot()
    fold = fold_of((*HISTORY, snapshot))
    for offset in range(9, 8 + records_since):
        fold.apply(offset, 200.0, None)
    assert snapshots.is_due(fold, first) is due
