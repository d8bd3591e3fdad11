"""Whether a backend server has announced in a response that it is leaving.

A server that is about to exit says so in its responses, sometimes long before
the store lists it as leaving. The announcement is final for that incarnation. A
store entry that is read later and does not mention it was written earlier, or
not by that server, and does not revoke it.
"""

from __future__ import annotations

import attrs

# Seconds after the latest announcement for which an incarnation without a known
# start time counts as leaving. After that, the same identity may belong to a
# new incarnation.
UNDATED_LIFE = 600.0


@attrs.define
class DepartureBelief:
    """Departure of one incarnation of a server, as known to this host.

    Attributes:
        announced_at: Monotonic time of the first response, to any host, that
            announced the departure; None if there was none.
        last_announced_at: Monotonic time of the latest such response.
    """

    said_at: float | None = None
    last_announced_at: float = float("-inf")

    def note(self, at: float) -> bool:
        """Records an announcement; returns whether it is the first one.

        Args:
            at: Monotonic time of the response.
        """
        is_news = self.said_at is None
        if self.said_at is None or at < self.said_at:
            self.said_at = at
        self.last_announced_at = max(self.last_announced_at, at)
        return is_news

    def holds(self, born: int | None, now: float) -> bool:
        """Returns whether the server counts as leaving.

        Args:
            born: Start time of the incarnation; None if it reports none.
            now: Monotonic time.
        """
        if self.said_at is None:
            return False
        return born is not None or now - self.last_announced_at < UNDATED_LIFE
