"""Decides which records advance the rollouts.

The decision depends only on the stream's state and the table, so a steward
that takes over continues after the last accepted record.
"""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from hoistmoor.core.routing import exposure
from hoistmoor.core.steward import evidence
from hoistmoor.core.steward import records
from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import state as state_lib
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Sequence

_LAST_STAGE = len(state_lib.STAGE_SHARES) - 1


def due_records(
    state: state_lib.StewardState,
    table: model.Table,
    fencing: int,
    policy: evidence.EvidencePolicy,
) -> tuple[Any, ...]:
    """Returns the rollout records that the active steward should append now.

    Args:
        state: State at the end of the stream.
        table: The table in force.
        fencing: Fencing token of the active steward.
        policy: Evidence required to advance a rollout.
    """
    due: list[Any] = []
    for key in sorted(table.versions):
        version = table.versions[key]
        if version.stage is model.Stage.CANDIDATE:
            due += _due_records_of(state, version, fencing, policy)
    return tuple(due)


def _due_records_of(
    state: state_lib.StewardState,
    version: model.Version,
    fencing: int,
    policy: evidence.EvidencePolicy,
) -> Sequence[Any]:
    key = version.key
    digest = exposure.row_digest(version)
    rollout = state.rollouts.get(key)
    if rollouts.is_withdrawn(state, version):
        return ()
    if rollout is None or rollout.row_digest != digest:
        return (records.RolloutStart(key, digest, fencing),)
    if rollout.done or rollout.paused:
        return ()
    if rollout.stage_index < 0:
        return (_step_record(key, 0, fencing),)
    count = state.counts.get(key, records.RatedCount())
    is_good = evidence.is_good(count, version.prior_quality, policy)
    if is_good and _has_enough_ratings(rollout, count, policy):
        return (_advance_record(key, rollout, fencing),)
    return ()


def _has_enough_ratings(
    rollout: state_lib.Rollout,
    count: records.RatedCount,
    policy: evidence.EvidencePolicy,
) -> bool:
    new = count.rated - rollout.rated_before.rated
    return new >= policy.ratings_per_stage


def _step_record(
    version: str, stage_index: int, fencing: int
) -> records.RolloutStep:
    share = state_lib.STAGE_SHARES[stage_index]
    return records.RolloutStep(version, stage_index, share, fencing)


def _advance_record(
    version: str, rollout: state_lib.Rollout, fencing: int
) -> Any:
    if rollout.stage_index == _LAST_STAGE:
        return records.RolloutDone(version, fencing)
    return _step_record(version, rollout.stage_index + 1, fencing)
