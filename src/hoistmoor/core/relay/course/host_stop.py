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
        ends_at: Monotonic time in seconds at which requests in progress end.
    """

    ends_at: float

    def has_time(self, usual_duration: float | None, now: float) -> bool:
        """Returns whether a request that is sent now ends before the host.

        Args:
            usual_duration: Seconds for which such requests run; None if
                unknown.
            now: Monotonic time in seconds.
        """
        return usual_duration is None or now + usual_duration < self.ends_at
