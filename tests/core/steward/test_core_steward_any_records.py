"""The fold is safe for any records in any order; broken rules are detected."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest
import steward_checks as checks
import steward_world as worlds

from hoistmoor.core import identity
from hoistmoor.core.steward import lease as lease_lib
from hoistmoor.core.steward import records
from hoistmoor.core.steward import state as state_lib
from hoistmoor.core.steward import transitions

if TYPE_CHECKING:
    from collections.abc import Callable

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300
)
WITHOUT_SHRINKING = hypothesis.settings(
    SETTINGS, phases=[hypothesis.Phase.generate], report_multiple_bugs=False
)
HOLDERS = st.sampled_from([identity.Incarnation(host, 1) for host in "ab"])
NUMBERS = st.integers(0, 6)
STAGES = st.integers(0, 3)
NEW = st.just(worlds.NEW)
DIGESTS = st.sampled_from(["old", "new", "new", "new"])

RECORDS = st.one_of(
    st.builds(records.LeaseRequest, HOLDERS, st.just(15.0)),
    st.builds(records.LeaseRenewal, HOLDERS, NUMBERS, st.just(15.0)),
    st.builds(records.LeaseRelease, NUMBERS),
    st.builds(records.RolloutStart, NEW, DIGESTS, NUMBERS),
    st.builds(records.RolloutStep, NEW, STAGES, st.just(0.1), NUMBERS),
    st.builds(records.RolloutDone, NEW, NUMBERS),
    st.builds(
        records.VersionWithdrawn,
        NEW,
        st.just("bad"),
        st.just("host"),
        st.just(""),
        DIGESTS,
    ),
    st.builds(records.RolloutHold, NEW, st.booleans(), st.just("op")),
)
PAUSES = st.sampled_from([0.0, 1.0, 1.0, 20.0, -20.0])
STREAMS = st.lists(st.tuples(PAUSES, RECORDS), min_size=10, max_size=40)
INITIAL_RECORDS = (
    records.LeaseRequest(identity.Incarnation("a", 1), 15.0),
    records.RolloutStart(worlds.NEW, "new", 0),
)


def check_stream(stream: list[tuple[float, Any]]) -> None:
    log = worlds.Log()
    now = 100.0
    for record in INITIAL_RECORDS:
        log.append(record, now)
    for pause, record in stream:
        now += pause
        log.append(record, now)
    for offset, record in log.accepted:
        before = log.states[offset - 1] if offset else None
        checks.check_accepted(record, before, log.states[offset])


def test_fold_is_safe_for_any_records() -> None:
    SETTINGS(hypothesis.given(STREAMS)(check_stream))()


def grant_always(
    lease: Any, request: Any, offset: int, log_time: float
) -> lease_lib.Lease:
    return lease_lib.Lease(offset, request.holder, log_time + request.duration)


def is_always_current(lease: Any, fencing: int) -> bool:
    return lease is not None


def accept_any_step(record: Any, context: transitions.TransitionContext) -> Any:
    rollout = context.state.rollouts.get(record.version, state_lib.Rollout())
    advanced = attrs.evolve(
        rollout, stage_index=record.stage_index, share=record.share
    )
    rollouts = {**context.state.rollouts, record.version: advanced}
    return attrs.evolve(context.state, rollouts=rollouts)


def replace_transition(record_class: type[Any], change: Any) -> Any:
    def apply(monkeypatch: pytest.MonkeyPatch) -> None:
        original = transitions.transition

        def patched(record: Any, context: transitions.TransitionContext) -> Any:
            if isinstance(record, record_class):
                return change(record, context)
            return original(record, context)

        monkeypatch.setattr(transitions, "transition", patched)

    return apply


MUTATIONS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "lease granted before expiry": lambda patch: patch.setattr(
        lease_lib, "apply_request", grant_always
    ),
    "stale fencing tokens accepted": lambda patch: patch.setattr(
        lease_lib, "is_current", is_always_current
    ),
    "stages may be skipped": replace_transition(
        records.RolloutStep, accept_any_step
    ),
}


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_broken_rules_are_detected(
    mutation: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    MUTATIONS[mutation](monkeypatch)
    with pytest.raises(AssertionError):
        WITHOUT_SHRINKING(hypothesis.given(STREAMS)(check_stream))()
