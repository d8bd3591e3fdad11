"""The lease under which the configuration in force may be used.

Each read of the newest configuration proves that it was current when the
read was *sent*, or later if the store held it back. For some time after that
moment a key that is in force here cannot have been taken away for longer than
the operators allow.
"""

from __future__ import annotations

import attrs

# Part of the bound that is left for a request to travel to its server and
# for timers that fire late.
MARGIN = 0.1


@attrs.define
class ConfigurationLease:
    """Whether requests that need a key may be admitted now.

    Attributes:
        bound: Seconds within which a key that was taken away must be refused.
        proved_at: Steady time at which the configuration was last known to
            be current; None before the first read.
    """

    bound: float
    proved_at: float | None = None

    def prove(self, current_at: float) -> None:
        """Notes that the configuration was current at a steady time."""
        if self.proved_at is None or current_at > self.proved_at:
            self.proved_at = current_at

    def age(self, now: float) -> float:
        """Returns the seconds since the configuration was known current."""
        return float("inf") if self.proved_at is None else now - self.proved_at

    def holds(self, now: float) -> bool:
        """Returns whether requests with a key may be sent on."""
        return self.age(now) < self.bound * (1.0 - MARGIN)
