"""Retry delays for refused callers that spread their retries over time."""

from __future__ import annotations

import math

import attrs

from hoistmoor.core.routing import hashing

MIN_WAIT_S = 1.0
MAX_WAIT_S = 60.0
_INTERVAL_WEIGHT = 0.05  # Weight of the latest interval in the mean interval.
_INITIAL_RATE = 5.0  # Assumed calls per second before any has ended.


@attrs.define
class RetrySchedule:
    """Assigns retry slots to the refused callers of one pool.

    Slots follow each other at the rate at which this host's calls to the pool
    end. Jitter is added to each slot.

    Attributes:
        next_slot: Time of the next free slot.
        rate: Moving average of the calls that end per second.
        last_end: When the latest call ended.
    """

    next_slot: float = 0.0
    rate: float = _INITIAL_RATE
    last_end: float = 0.0

    def on_finished(self, now: float) -> None:
        """Counts the end of a call."""
        if self.last_end:
            interval = max(1e-3, now - self.last_end)
            # Averages intervals, because an average of rates would be
            # dominated by bursts.
            mean_interval = 1.0 / self.rate
            self.rate = 1.0 / (
                mean_interval + _INTERVAL_WEIGHT * (interval - mean_interval)
            )
        self.last_end = now

    def wait(self, key: str, seed: int, now: float) -> int:
        """Returns the whole seconds until the caller should retry.

        Args:
            key: Id of the request, from which the jitter is derived.
            seed: Random seed of this host.
            now: Current time.
        """
        slot = max(now + MIN_WAIT_S, self.next_slot)
        slot = min(slot, now + MAX_WAIT_S)
        self.next_slot = slot + 1.0 / self.rate
        jitter = hashing.uniform(key, seed) * max(1.0, 0.5 * (slot - now))
        return math.ceil(min(MAX_WAIT_S, slot - now + jitter))
