"""How long a host collects bills before it appends them as one batch."""

from __future__ import annotations

MAX_APPENDS_PER_SECOND = 100.0  # Of bills, by all hosts together.
MIN_LINGER_SECONDS = 0.005  # Seconds.


def linger_seconds(hosts: int) -> float:
    """Returns how long a host collects bills before an append.

    The wait grows with the number of hosts so that together they stay below
    ``MAX_APPENDS_PER_SECOND``.

    Args:
        hosts: Number of hosts that are alive.
    """
    return max(hosts / MAX_APPENDS_PER_SECOND, MIN_LINGER_SECONDS)
