"""The state of the stream ``steward`` as an immutable value."""

from __future__ import annotations

import attrs

from hoistmoor.core import codec
from hoistmoor.core.steward import lease as lease_lib
from hoistmoor.core.steward import records

STAGE_SHARES = (0.25, 0.5, 1.0)


@attrs.frozen
class Rollout:
    """The progress of the rollout of one version.

    Attributes:
        row_digest: Digest of the version's row at the start of the rollout.
        stage_index: Index of the current stage; -1 before the first step.
        share: Factor on the version's weight in the table, 0 to 1.
        paused: Whether an operator paused it.
        done: Whether the rollout is complete.
        rated_before: Rated responses at the start of the current stage.
        changed_at: Log time of the last step.
    """

    row_digest: str = ""
    stage_index: int = -1
    share: float = 0.0
    paused: bool = False
    done: bool = False
    rated_before: records.RatedCount = attrs.field(factory=records.RatedCount)
    changed_at: float = 0.0


@attrs.frozen
class StewardState:
    """The state of the stream after some offset.

    Attributes:
        log_time: Highest append time so far, in seconds since the epoch.
        lease: The last granted lease.
        rollouts: Rollouts by version.
        withdrawn: Withdrawals by version.
        draining: Name of the operator by backend server being drained.
        counts: Rated responses by version.
        ratings_next: Offset of the first rating not yet counted.
    """

    log_time: float = 0.0
    lease: lease_lib.Lease | None = None
    rollouts: dict[str, Rollout] = attrs.field(factory=dict)
    withdrawn: dict[str, records.VersionWithdrawn] = attrs.field(factory=dict)
    draining: dict[str, str] = attrs.field(factory=dict)
    counts: dict[str, records.RatedCount] = attrs.field(factory=dict)
    ratings_next: int = 0


@attrs.frozen
class StewardSnapshot:
    """The state after offset ``as_of``, which outlasts the records before it.

    A reader starts from it once retention has removed those records.

    It needs no fencing token: the state after an offset is the same for every
    reader, so a snapshot that is appended late is only an older one.

    Attributes:
        as_of: Offset of the last record included.
        state: State after that record.
    """

    as_of: int
    state: StewardState


codec.register("steward.snapshot", StewardSnapshot)
