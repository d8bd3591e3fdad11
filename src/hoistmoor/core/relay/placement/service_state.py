"""Statistics that this host keeps for one service."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.answers import (
    first_byte_delays as first_byte_delays_lib,
)
from hoistmoor.core.relay.course import budget
from hoistmoor.core.relay.placement import interference
from hoistmoor.core.relay.placement import partition as partition_lib
from hoistmoor.core.relay.servers import speed as speed_lib

# Smoothing factor of the mean work per request: the weight of the newest
# request.
WORK_SMOOTHING = 0.02


@attrs.define
class ServiceState:
    """Statistics that this host keeps for one service.

    Attributes:
        budget: Budget for retries.
        partition: Request classes.
        delays: Delays until the first byte of a response, by class.
        speeds: Speeds of its servers.
        reading: Reading of prompts, and the pauses that it causes.
        mean_work: Mean work per request; 0 before the first.
        unavailable_since: Monotonic time since which no server has been ready
            for any request; None if one was ready for the latest request.
    """

    budget: budget.RetryBudget
    partition: partition_lib.Partition = attrs.field(
        factory=partition_lib.Partition
    )
    delays: first_byte_delays_lib.FirstByteDelays = attrs.field(
        factory=first_byte_delays_lib.FirstByteDelays
    )
    speeds: speed_lib.ServiceSpeeds = attrs.field(
        factory=speed_lib.ServiceSpeeds
    )
    reading: interference.ServiceReading = attrs.field(
        factory=interference.ServiceReading
    )
    mean_work: float = 0.0
    unavailable_since: float | None = None

    def record_readiness(self, is_ready: bool, now: float) -> None:
        """Records whether any server was ready for a request."""
        if is_ready:
            self.unavailable_since = None
        elif self.unavailable_since is None:
            self.unavailable_since = now

    def record_work(self, work: float) -> None:
        """Adds a request's work to the moving average."""
        mean = self.mean_work or work
        self.mean_work = mean + WORK_SMOOTHING * (work - mean)
