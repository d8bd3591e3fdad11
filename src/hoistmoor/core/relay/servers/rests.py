"""The rest that a backend server asked of this host alone.

A server that turns a request away may name the seconds for which it wants
nothing from the host that it answers. Of several rests the one that ends last
holds.
"""

from __future__ import annotations

import attrs

# Seconds of the longest rest that is kept to, where operators set none. A
# server that still wants rest then says so again; one that named a wrong
# number does not stay away for days.
LONGEST = 300.0
# Seconds after a rest over which requests come back, more and more of them. A
# server that has rested is idle, so that all hosts at once would choose it, and
# all were told the same end.
RETURN = 2.0


@attrs.define
class RestBelief:
    """What this host believes of one server's rest.

    Attributes:
        until: Steady time at which it ends, or ended.
        is_under_way: Whether its end was not noticed yet.
    """

    until: float = float("-inf")
    is_under_way: bool = False

    def note(self, seconds: float, now: float) -> bool:
        """Takes a rest that is asked for; returns whether one begins.

        Args:
            seconds: How long, from now.
            now: Steady time at which the answer came.
        """
        begins = now >= self.until
        self.is_under_way = True
        self.until = max(self.until, now + seconds)
        return begins

    def note_send(self, now: float) -> bool:
        """Notes a request that is sent; returns whether a rest is over by it.

        The first one after a rest tells so.
        """
        is_over = self.is_under_way and now >= self.until
        if is_over:
            self.is_under_way = False
        return is_over

    def part_back(self, now: float) -> float:
        """Returns the part of the requests that may choose the server."""
        return min(1.0, max(0.0, (now - self.until) / RETURN))

    def left(self, now: float) -> float:
        """Returns the seconds until it ends; 0 where none is under way."""
        return max(0.0, self.until - now)
