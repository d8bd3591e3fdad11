"""State transitions for the records of the stream ``steward``.

Each transition returns the next state, or None if the record is rejected: the
writer's lease is not current at its offset, or it repeats or skips a step. The
rules depend on the log only, so all readers agree on the state.
"""

from __future__ import annotations

import functools
from typing import Any, TypeVar

import attrs

from hoistmoor.core.steward import lease as lease_lib
from hoistmoor.core.steward import records
from hoistmoor.core.steward import state as state_lib


@attrs.frozen
class TransitionContext:
    """The context in which a record is applied.

    Attributes:
        state: State after all earlier records.
        offset: Offset of the record.
        log_time: Log time of the record.
    """

    state: state_lib.StewardState
    offset: int
    log_time: float


_State = state_lib.StewardState
_T = TypeVar("_T")


@functools.singledispatch
def transition(
    record: Any,
    context: TransitionContext,
) -> _State | None:
    """Returns the state after ``record``, or None if it is rejected."""
    return None


def _with_lease(state: _State, lease: lease_lib.Lease | None) -> _State | None:
    return attrs.evolve(state, lease=lease) if lease else None


@transition.register
def _(
    record: records.LeaseRequest, context: TransitionContext
) -> _State | None:
    granted = lease_lib.apply_request(
        context.state.lease, record, context.offset, context.log_time
    )
    return _with_lease(context.state, granted)


@transition.register
def _(
    record: records.LeaseRenewal, context: TransitionContext
) -> _State | None:
    renewed = lease_lib.apply_renewal(
        context.state.lease, record, context.log_time
    )
    return _with_lease(context.state, renewed)


@transition.register
def _(
    record: records.LeaseRelease, context: TransitionContext
) -> _State | None:
    return _with_lease(
        context.state, lease_lib.apply_release(context.state.lease, record)
    )


def _changeable_rollout(
    state: _State, version: str, fencing: int
) -> state_lib.Rollout | None:
    """Returns the rollout if it is in progress and the writer may change it."""
    if not lease_lib.is_current(state.lease, fencing):
        return None
    rollout = state.rollouts.get(version)
    if rollout is None or rollout.done:
        return None
    withdrawal = state.withdrawn.get(version)
    is_withdrawn = withdrawal and withdrawal.row_digest == rollout.row_digest
    return None if is_withdrawn else rollout


def _without(rows: dict[str, _T], key: str) -> dict[str, _T]:
    return {name: row for name, row in rows.items() if name != key}


def _with_rollout(
    state: _State, version: str, rollout: state_lib.Rollout
) -> _State:
    return attrs.evolve(state, rollouts={**state.rollouts, version: rollout})


@transition.register
def _(
    record: records.RolloutStart, context: TransitionContext
) -> _State | None:
    state = context.state
    if not lease_lib.is_current(state.lease, record.fencing):
        return None
    rollout = state.rollouts.get(record.version)
    withdrawal = state.withdrawn.get(record.version)
    digests = {row.row_digest for row in (rollout, withdrawal) if row}
    if record.row_digest in digests:
        return None
    # Ratings of the former row do not apply to this rollout.
    return _with_rollout(
        attrs.evolve(
            state,
            withdrawn=_without(state.withdrawn, record.version),
            counts=_without(state.counts, record.version),
        ),
        record.version,
        state_lib.Rollout(record.row_digest),
    )


@transition.register
def _(record: records.RolloutStep, context: TransitionContext) -> _State | None:
    rollout = _changeable_rollout(context.state, record.version, record.fencing)
    if rollout is None or rollout.paused:
        return None
    if record.stage_index != rollout.stage_index + 1:
        return None
    advanced = attrs.evolve(
        rollout,
        stage_index=record.stage_index,
        share=record.share,
        rated_before=context.state.counts.get(
            record.version, records.RatedCount()
        ),
        changed_at=context.log_time,
    )
    return _with_rollout(context.state, record.version, advanced)


@transition.register
def _(record: records.RolloutDone, context: TransitionContext) -> _State | None:
    rollout = _changeable_rollout(context.state, record.version, record.fencing)
    if rollout is None or rollout.paused:
        return None
    if rollout.stage_index != len(state_lib.STAGE_SHARES) - 1:
        return None
    done = attrs.evolve(
        rollout, done=True, share=1.0, changed_at=context.log_time
    )
    return _with_rollout(context.state, record.version, done)


@transition.register
def _(record: records.RolloutHold, context: TransitionContext) -> _State | None:
    rollout = context.state.rollouts.get(record.version)
    if rollout is None:
        return None
    updated = attrs.evolve(rollout, paused=record.paused)
    return _with_rollout(context.state, record.version, updated)


@transition.register
def _(
    record: records.VersionWithdrawn, context: TransitionContext
) -> _State | None:
    state = context.state
    withdrawal = state.withdrawn.get(record.version)
    if withdrawal and withdrawal.row_digest == record.row_digest:
        return None
    withdrawn = {**state.withdrawn, record.version: record}
    return attrs.evolve(state, withdrawn=withdrawn)


@transition.register
def _(
    record: records.EvidenceCounted, context: TransitionContext
) -> _State | None:
    if not lease_lib.is_current(context.state.lease, record.fencing):
        return None
    if record.ratings_from != context.state.ratings_next:
        return None
    counts = dict(context.state.counts)
    for version, count in record.counts.items():
        counts[version] = counts.get(version, records.RatedCount()).plus(count)
    return attrs.evolve(
        context.state, counts=counts, ratings_next=record.ratings_next
    )


@transition.register
def _(record: records.ServerDrain, context: TransitionContext) -> _State | None:
    draining = dict(context.state.draining)
    draining.pop(record.server, None)
    if record.draining:
        draining[record.server] = record.by
    return attrs.evolve(context.state, draining=draining)


@transition.register
def _(
    record: records.HistoryReset,
    context: TransitionContext,
) -> _State | None:
    return state_lib.StewardState(log_time=context.log_time)
