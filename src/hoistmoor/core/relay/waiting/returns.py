"""Times at which refused callers should return.

Answers callers that return together, and find the room taken again. Each host
assigns the callers that it refuses to times at which its part of the room is
expected to have space for them, one after the other. Callers do not wait for
longer than a fraction of their time; those for which none is left within it
get the true estimate, but take no place.
"""

from __future__ import annotations

import math

# Fraction of its remaining time for which a caller honours a retry delay.
HONOURED_FRACTION = 1.0 / 3.0
# Fraction of a host's part of the room that is assigned to returning callers.
RETURN_FRACTION = 0.25
# Fraction of a time limit that may be missing for other reasons than an earlier
# attempt.
LIMIT_TOLERANCE = 0.02


def is_expected(time_left: float, time_limit: float) -> bool:
    """Returns whether a caller returns at a time that a host assigned to it.

    Any host can tell by the time that it has left. A caller that was given a
    longer delay than it honours returns when a third of its time has passed.

    Args:
        time_left: Seconds that the caller has left.
        time_limit: Seconds that callers of the route have at first.
    """
    used = 1.0 - time_left / time_limit
    return LIMIT_TOLERANCE < used < HONOURED_FRACTION - LIMIT_TOLERANCE


class ReturnSchedule:
    """Times assigned to returning callers of one service, at one host."""

    def __init__(self) -> None:
        # Time up to which the room is assigned, by priority class.
        self._assigned_until: dict[int, float] = {}

    def assign(
        self,
        priority: int,
        service_time: float,
        earliest: float,
        left: float,
        time_limit: float,
        now: float,
        draw: float,
    ) -> float:
        """Returns the seconds after which a refused caller should retry.

        Args:
            priority: Priority class of the request; 0 is the most urgent.
            service_time: Seconds in which this host's part of the room serves
                the request.
            earliest: Seconds until room is expected for new requests.
            left: Seconds until the deadline of the request.
            time_limit: Seconds that callers of the route have at first.
            now: Monotonic time.
            draw: Random number from 0 to 1.
        """
        gap = service_time / RETURN_FRACTION
        until = max(
            (
                until
                for other, until in self._assigned_until.items()
                if other <= priority
            ),
            default=-math.inf,
        )
        start = max(now + earliest, until)
        delay = start - now + draw * gap
        longest = HONOURED_FRACTION * left
        if delay < longest and is_expected(left - delay, time_limit):
            self._assigned_until[priority] = start + gap
            return delay
        return min(max(delay, longest), left)
