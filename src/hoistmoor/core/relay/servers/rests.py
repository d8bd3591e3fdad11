"""Rest periods that a backend server requests from this host alone.

A server that rejects a request may name a number of seconds for which the
receiving host should send it nothing. If several rests overlap, the one that
ends last applies.
"""

from __future__ import annotations

import attrs

# Maximum rest in seconds that is honoured if operators configure none. A server
# that needs more time asks again, and a server that sent a wrong number is not
# unused for days.
MAX_REST_SECONDS = 300.0
# Seconds over which traffic ramps up again after a rest. All hosts may have
# been given the same end, and the server is idle by then, so without a ramp all
# of them would select it at once.
RAMP_UP_SECONDS = 2.0


@attrs.define
class RestState:
    """Rest of one server, as known to this host.

    Attributes:
        until: Monotonic time at which the rest ends or ended.
        is_end_pending: Whether the end of the rest is still to be reported.
    """

    until: float = float("-inf")
    is_end_pending: bool = False

    def record(self, seconds: float, now: float) -> bool:
        """Records a requested rest; returns whether a new one begins.

        Args:
            seconds: Duration from now.
            now: Monotonic time at which the response arrived.
        """
        begins = now >= self.until
        self.is_end_pending = True
        self.until = max(self.until, now + seconds)
        return begins

    def record_send(self, now: float) -> bool:
        """Records a request to the server; returns whether it ends a rest.

        This is true once per rest, for the first request after it.
        """
        is_over = self.is_end_pending and now >= self.until
        if is_over:
            self.is_end_pending = False
        return is_over

    def ramp_up_fraction(self, now: float) -> float:
        """Returns the fraction of requests that may select the server."""
        return min(1.0, max(0.0, (now - self.until) / RAMP_UP_SECONDS))

    def remaining(self, now: float) -> float:
        """Returns the seconds until the rest ends; 0 if none is active."""
        return max(0.0, self.until - now)
