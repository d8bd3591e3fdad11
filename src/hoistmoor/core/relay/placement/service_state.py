"""What this host counts for one service."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.answers import delays as delays_lib
from hoistmoor.core.relay.course import budget
from hoistmoor.core.relay.placement import partition as partition_lib

WORK_STEP = 0.02  # Weight of the newest request in the mean work of one.


@attrs.define
class ServiceState:
    """What this host counts for one service.

    Attributes:
        budget: Repeats that it has earned.
        partition: Its classes of work.
        delays: How long its classes wait for their first part.
        mean_work: Usual work of a request; 0 before the first.
        lacking_since: Steady time since which no server was ready for any
            request; None where one was for the newest.
    """

    budget: budget.RepeatBudget
    partition: partition_lib.Partition = attrs.field(
        factory=partition_lib.Partition
    )
    delays: delays_lib.FirstDelays = attrs.field(factory=delays_lib.FirstDelays)
    mean_work: float = 0.0
    lacking_since: float | None = None

    def note_ready(self, is_ready: bool, now: float) -> None:
        """Notes whether some server was ready for a request."""
        if is_ready:
            self.lacking_since = None
        elif self.lacking_since is None:
            self.lacking_since = now

    def note_work(self, work: float) -> None:
        """Takes a request's work into the mean."""
        known = self.mean_work or work
        self.mean_work = known + WORK_STEP * (work - known)
