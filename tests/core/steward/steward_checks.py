"""Safety checks of the stream, independent of the implementation."""

from __future__ import annotations

from typing import Any

from hoistmoor.core.steward import records
from hoistmoor.core.steward import state as state_lib


def check_accepted(
    record: Any,
    before: state_lib.StewardState | None,
    after: state_lib.StewardState,
) -> None:
    """Checks that a record was accepted rightly.

    Args:
        record: The accepted record.
        before: State before the record; None for the first record.
        after: State after the record.
    """
    lease = before.lease if before else None
    fencing = getattr(record, "fencing", None)
    if fencing is not None:
        assert lease and lease.fencing == fencing and not lease.released
    if isinstance(record, records.LeaseRequest) and lease:
        assert lease.released or after.log_time >= lease.expires_at
    if before is None:
        return
    for version, rollout in after.rollouts.items():
        old = before.rollouts.get(version, state_lib.Rollout())
        if rollout.row_digest != old.row_digest:
            assert rollout.stage_index == -1
            continue
        assert rollout.stage_index in (old.stage_index, old.stage_index + 1)
        assert rollout.done or not old.done
    for version, withdrawal in before.withdrawn.items():
        if version not in after.withdrawn:
            # A withdrawal is lifted only by the rollout of an edited row.
            assert isinstance(record, records.RolloutStart)
            assert record.row_digest != withdrawal.row_digest
