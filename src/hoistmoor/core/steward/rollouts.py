"""The view of rollouts that entry hosts use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import exposure
from hoistmoor.core.steward import records
from hoistmoor.core.steward import state as state_lib

if TYPE_CHECKING:
    from hoistmoor.core.table import model


@attrs.frozen
class RolloutView:
    """Rollouts, withdrawals and drains at one offset of the stream.

    Attributes:
        state: State of the stream ``steward``.
        complete: Whether the state is based on the whole history. If it is
            not, candidates get no share, as earlier withdrawals and used-up
            caps are unknown.
    """

    state: state_lib.StewardState = attrs.field(factory=state_lib.StewardState)
    complete: bool = True

    def share(self, version: model.Version) -> float:
        """Returns the factor on a candidate's weight in the table, 0 to 1."""
        rollout = self.state.rollouts.get(version.key)
        if not self.complete or rollout is None or self.is_withdrawn(version):
            return 0.0
        is_same = rollout.row_digest == exposure.row_digest(version)
        return rollout.share if is_same else 0.0

    def is_withdrawn(self, version: model.Version) -> bool:
        """Returns whether the version was withdrawn for poor quality."""
        return is_withdrawn(self.state, version)

    def is_open(self, version: model.Version) -> bool:
        """Returns whether a rollout of exactly this row was started."""
        rollout = self.state.rollouts.get(version.key)
        if not self.complete or rollout is None or self.is_withdrawn(version):
            return False
        return rollout.row_digest == exposure.row_digest(version)

    def is_paused(self, version: model.Version) -> bool:
        """Returns whether an operator paused the rollout of the version."""
        rollout = self.state.rollouts.get(version.key)
        return rollout is not None and rollout.paused

    def rated_count(self, version: str) -> records.RatedCount:
        """Returns the number of rated responses of ``version``."""
        return self.state.counts.get(version, records.RatedCount())

    def is_draining(self, server: str) -> bool:
        """Returns whether an operator is draining the backend server."""
        return server in self.state.draining


def is_withdrawn(state: state_lib.StewardState, version: model.Version) -> bool:
    """Returns whether exactly this row of a version was withdrawn."""
    withdrawal = state.withdrawn.get(version.key)
    return (
        withdrawal is not None
        and withdrawal.row_digest == exposure.row_digest(version)
    )
