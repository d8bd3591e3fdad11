"""Tests of replay when retention has deleted the first records."""

from __future__ import annotations

import attrs
import pytest
import table_cases as make

from hoistmoor.core import codec
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import replay
from hoistmoor.core.table import snapshots


@pytest.fixture
def payloads() -> list[bytes]:
    """Records 0 to 9. Each adds an account and is accepted."""
    return [
        codec.encode(make.edit(str(n), n - 1, make.add_account(f"a{n}")))
        for n in range(10)
    ]


def _follow(payloads: list[bytes], first: int = 0) -> replay.TableReplay:
    follower = replay.TableReplay()
    follower.begin(first)
    for offset in range(first, len(payloads)):
        follower.feed(offset, payloads[offset])
    return follower


def _snapshot(payloads: list[bytes], as_of: int) -> edits.TableSnapshot:
    current = _follow(payloads[: as_of + 1]).fold
    assert current is not None
    return current.snapshot()


def test_start_applies_the_records_between_snapshot_and_end(
    payloads: list[bytes],
) -> None:
    late = codec.encode(_snapshot(payloads, 4))

    started = _follow([*payloads, late], first=5)

    assert started.problem is None
    assert started.fold is not None
    assert started.fold.as_of == 10
    assert started.active == _follow(payloads).active


def test_start_without_a_usable_snapshot_reports_lost_history(
    payloads: list[bytes],
) -> None:
    stale = codec.encode(_snapshot(payloads, 3))

    started = _follow([*payloads, stale], first=5)

    assert started.active is None
    assert isinstance(started.problem, replay.TableHistoryLostError)
    assert started.problem.first == 5


def test_start_from_a_peer_if_the_log_has_no_usable_snapshot(
    payloads: list[bytes],
) -> None:
    started = _follow(payloads, first=5)

    assert started.adopt_if_newer(_snapshot(payloads, 6))

    assert started.problem is None
    assert started.active == _follow(payloads).active


def test_running_host_ignores_a_delayed_snapshot(
    payloads: list[bytes],
) -> None:
    running = _follow(payloads)
    before = running.active

    (verdict,) = running.feed(10, codec.encode(_snapshot(payloads, 2)))

    assert verdict == fold.Ignored(10, fold.Reason.SNAPSHOT, "as of 2")
    assert running.active == before


def test_a_host_overtaken_by_retention_keeps_its_table_and_resumes(
    payloads: list[bytes],
) -> None:
    slow = _follow(payloads[:3])
    before = slow.active

    slow.begin(6)
    assert slow.problem is not None
    assert slow.active == before

    for offset in range(6, 10):
        slow.feed(offset, payloads[offset])
    assert slow.active == before
    slow.feed(10, codec.encode(_snapshot(payloads, 7)))
    assert slow.problem is None
    assert slow.active == _follow(payloads).active


def test_snapshot_from_a_peer_never_reverts_the_table(
    payloads: list[bytes],
) -> None:
    running = _follow(payloads)
    before = running.active
    newer_but_reverted = attrs.evolve(
        _snapshot(payloads, 2), as_of=running.next_offset + 5
    )

    assert not running.adopt_if_newer(_snapshot(payloads, 2))
    assert not running.adopt_if_newer(newer_but_reverted)
    assert running.active == before


def test_snapshot_that_differs_from_the_own_table_is_suspect(
    payloads: list[bytes],
) -> None:
    running = _follow(payloads)
    wrong = attrs.evolve(_snapshot(payloads, 8), as_of=9)

    (verdict,) = running.feed(10, codec.encode(wrong))

    assert verdict == fold.Ignored(10, fold.Reason.SNAPSHOT_DIFFERS, "as of 9")
    assert running.skipped == 1
    (alike,) = running.feed(11, codec.encode(running.fold.snapshot()))
    assert alike == fold.Ignored(11, fold.Reason.SNAPSHOT, "as of 10")


def test_skipped_records_are_counted_and_kept(payloads: list[bytes]) -> None:
    running = _follow([*payloads, b"{", b"\xff"])

    assert running.skipped == 2
    assert [item.offset for item in running.recent_skipped] == [10, 11]


@pytest.mark.parametrize(
    ("log", "now", "due"),
    [
        # No snapshot yet, then snapshots that are still recent.
        (snapshots.LogState(0, 10), 1000.0, True),
        (snapshots.LogState(0, 10, 8, 1000.0), 1005.0, False),
        (snapshots.LogState(0, 10, 8, 1000.0), 1599.0, False),
        # Idle log: retention by age would delete the last snapshot.
        (snapshots.LogState(0, 10, 8, 1000.0), 1600.0, True),
        # Not yet, then in the older half of the log: retention by count
        # would delete the snapshot.
        (snapshots.LogState(2, 40, 30, 1000.0), 1020.0, False),
        (snapshots.LogState(22, 40, 30, 1000.0), 1020.0, True),
    ],
)
def test_when_a_snapshot_is_due(
    payloads: list[bytes], log: snapshots.LogState, now: float, due: bool
) -> None:
    current = _follow(payloads).fold
    assert current is not None
    assert snapshots.is_due(current, log, now) is due


def test_no_snapshot_is_due_before_the_first_edit() -> None:
    log = snapshots.LogState(0, 0)
    assert not snapshots.is_due(fold.TableFold(), log, 1e9)
