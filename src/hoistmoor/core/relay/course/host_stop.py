"""Which requests a host still sends on between its stop signal and its end.

Answers requests that arrive while a host drains, or whose body does: sent on,
they would end with the process, and callers would not know whether they have
run. Refused as not run, they can be sent again to another host at once.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class HostStop:
    """Times of a planned stop.

    Attributes:
        accepts_until: Monotonic time in seconds until which requests that are
            complete are sent on.
        ends_at: Monotonic time in seconds at which requests in progress end.
    """

    accepts_until: float
    ends_at: float

    def may_send(self, usual_duration: float | None, now: float) -> bool:
        """Returns whether a request may be sent to a server.

        Args:
            usual_duration: Seconds for which such requests run; None if
                unknown.
            now: Monotonic time in seconds.
        """
        if now >= self.accepts_until:
            return False
        return usual_duration is None or now + usual_duration < self.ends_at
