"""The clock by which beliefs age."""

from __future__ import annotations

import time

# Counts the time for which the machine was suspended, unlike the clock of
# timers. Where a system has none, its own steady clock has to do.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady() -> float:
    """Returns the seconds since the machine started, suspended or not.

    A lease, an age or a deadline that did not count a suspension would end
    later than it says: a key that was taken away would be served on.
    """
    return time.clock_gettime(_CLOCK)
