"""Servers that fall over when they have to turn too many requests away.

Answers the servers of a service that announce that they are brittle: one that
turns more than a few requests away in a second for want of room ends, and is
back after seconds. Hosts that act on stale reports push them over one after the
other, as each looks idle after its return.

All hosts together then have no more requests outstanding at a server than it
runs at once. Each holds a fixed part of that (see ``shares``), so that no
message between them is needed.
"""

from __future__ import annotations

import attrs

# Seconds for which an announcement holds without a newer one. All servers of a
# service announce it alike in each response.
ANNOUNCEMENT_TTL = 10.0
# Seconds without another request of this host to a server that turned one away.
TURNED_AWAY_REST = 1.0
# Seconds for which a report of waiting requests keeps this host from sending.
WAITING_TTL = 0.5
# Estimated seconds until one of this host's requests at a server has ended.
EXPECTED_WAIT = 0.1


@attrs.define
class BrittleState:
    """What one server has announced, itself or through another one.

    Attributes:
        tolerance: Requests that it may turn away in a second; None if it is
            not brittle.
        at: Monotonic time of the announcement.
        own_at: Monotonic time of its own latest announcement, or of the
            request whose response had none.
        rests_until: Monotonic time until which this host sends nothing after a
            request was turned away.
    """

    tolerance: float | None = None
    at: float = float("-inf")
    own_at: float = float("-inf")
    rests_until: float = float("-inf")

    def is_active(self, now: float) -> bool:
        """Returns whether the server counts as brittle."""
        return self.tolerance is not None and now - self.at < ANNOUNCEMENT_TTL

    def record(self, tolerance: float, now: float) -> bool:
        """Records an announcement; returns whether it is news."""
        is_news = not self.is_active(now) or tolerance != self.tolerance
        self.tolerance = tolerance
        self.at = self.own_at = now
        return is_news

    def record_by_other(self, tolerance: float, now: float) -> None:
        """Records the announcement of another server of the service.

        The server's own word counts more, unless it is old.
        """
        if now - self.own_at >= TURNED_AWAY_REST:
            self.tolerance = tolerance
            self.at = now

    def record_absence(self, sent_at: float) -> bool:
        """Records a response without an announcement.

        Args:
            sent_at: Monotonic time at which the request was sent.

        Returns:
            Whether the server was brittle until then.
        """
        if sent_at <= self.own_at:
            return False
        was_brittle = self.tolerance is not None
        self.tolerance = None
        self.own_at = sent_at
        return was_brittle
