"""Adaptive concurrency limit of a pool at this host.

The table states a pool's capacity, but a pool that lost servers has less. When
a backend server declines a request, the number of slots drops by a fifth, at
most once a second. While the slots are in use, every full round of successful
requests adds one slot.
"""

from __future__ import annotations

import attrs

_DECREASE_FACTOR = 0.8
_DECREASE_INTERVAL = 1.0  # Minimum seconds between two decreases.
# Below this utilization, a success says nothing about spare capacity.
_BUSY_FRACTION = 0.8


@attrs.define
class AdaptiveSlots:
    """Number of slots with additive increase and multiplicative decrease.

    Attributes:
        floor: Minimum number of slots.
        ceiling: Maximum number of slots.
        value: Current number of slots, including the fraction earned so far.
        decreased_at: Time of the last decrease.
    """

    floor: int
    ceiling: int
    value: float
    decreased_at: float = float("-inf")

    @property
    def slots(self) -> int:
        """Current number of whole slots."""
        return int(self.value)

    def set_bounds(self, floor: int, ceiling: int) -> None:
        """Changes the bounds; a value at the old ceiling moves with it."""
        at_ceiling = self.value >= self.ceiling
        self.floor = floor
        self.ceiling = ceiling
        value = float(ceiling) if at_ceiling else self.value
        self.value = min(float(ceiling), max(float(floor), value))

    def on_success(self, in_use: float) -> None:
        """Adds a fraction of a slot if most slots were in use."""
        if in_use >= _BUSY_FRACTION * self.slots:
            self.value = min(float(self.ceiling), self.value + 1 / self.value)

    def on_decline(self, now: float) -> None:
        """Lowers the number of slots, at most once per interval."""
        if now - self.decreased_at < _DECREASE_INTERVAL:
            return
        self.decreased_at = now
        self.value = max(float(self.floor), self.value * _DECREASE_FACTOR)
