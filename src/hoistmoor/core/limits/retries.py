"""Retry budgets, and the jittered waits that refused callers are told.

A budget grows with successful requests, so retries stay a small fraction of
the load while a pool fails or recovers. Waits are jittered by a hash, so that
callers refused within the same second do not all retry within the same second.
"""

from __future__ import annotations

import math

import attrs
import xxhash

DEFAULT_RATIO = 0.1  # Retries added per success.
CAPACITY = 20.0  # Maximum number of saved retries.
INITIAL = 5.0  # Retries in a new budget.
IDLE_RATE = 0.1  # Retries added per second, independent of successes.
MIN_WAIT = 1  # Seconds.
MAX_WAIT = 60  # Seconds.
_MIN_JITTER = 2.0  # Minimum seconds over which waits are jittered.
_HASH_SPAN = 2.0**32


@attrs.define
class RetryBudget:
    """Number of retries that a pool may still receive.

    Attributes:
        at: Time of the last refill, in seconds since the epoch.
        ratio: Retries added per success.
        saved: Retries available.
        refused: Number of retries that the budget did not allow.
    """

    at: float
    ratio: float = DEFAULT_RATIO
    saved: float = INITIAL
    refused: int = 0

    def on_success(self) -> None:
        """Adds a fraction of a retry."""
        self.saved = min(CAPACITY, self.saved + self.ratio)

    def try_take(self, now: float) -> bool:
        """Takes a retry, and returns whether one was available."""
        elapsed = max(0.0, now - self.at)
        self.at = max(now, self.at)
        self.saved = min(CAPACITY, self.saved + elapsed * IDLE_RATE)
        if self.saved < 1:
            self.refused += 1
            return False
        self.saved -= 1
        return True


def jittered_wait(seconds: float, seed: int) -> int:
    """Returns the jittered wait for a refused caller, in whole seconds.

    Args:
        seconds: Expected seconds until there is capacity; may be infinite.
        seed: Seed of the jitter, different for each refused caller.
    """
    base = min(max(seconds, 0.0), MAX_WAIT / 2)
    jitter = xxhash.xxh32_intdigest(seed.to_bytes(8, "big")) / _HASH_SPAN
    wait = base + jitter * max(base, _MIN_JITTER)
    return max(MIN_WAIT, math.ceil(wait))
