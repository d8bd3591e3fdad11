"""The monotonic clock of leases, ages and deadlines."""

from __future__ import annotations

import time

# Includes the time for which the machine was suspended, unlike the clock of
# timers. Systems without it use their monotonic clock instead.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic() -> float:
    """Returns the seconds since the machine booted, including suspensions.

    If a suspension did not count, leases, ages and deadlines would end too
    late, and requests with a revoked key would still be served.
    """
    return time.clock_gettime(_CLOCK)
