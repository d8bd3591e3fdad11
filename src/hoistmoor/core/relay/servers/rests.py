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


@attrs.define
class RestBelief:
    """What this host believes of one server's rest.

    Attributes:
        until: Steady time at which it ends, or ended.
    """

    until: float = float("-inf")

    def note(self, seconds: float, now: float) -> bool:
        """Takes a rest that is asked for; returns whether one begins.

        Args:
            seconds: How long, from now.
            now: Steady time at which the answer came.
        """
        begins = now >= self.until
        self.until = max(self.until, now + seconds)
        return begins

    def left(self, now: float) -> float:
        """Returns the seconds until it ends; 0 where none is under way."""
        return max(0.0, self.until - now)
