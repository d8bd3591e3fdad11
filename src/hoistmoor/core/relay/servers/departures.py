"""That a start of a backend server leaves, by its own word.

A server that is about to end says so in its answers, at times long before the
store lists it as leaving. What it says holds for that start of it, for good:
whatever the store says later was said before, or by nobody.
"""

from __future__ import annotations

import attrs

# Seconds after its newest word for which a start is taken for leaving that
# tells no time of its birth: by then another start may have the same name.
UNDATED_LIFE = 600.0


@attrs.define
class DepartureBelief:
    """What this host believes of one start of a server.

    Attributes:
        said_at: Steady time of the answer, to whichever host, that said so
            first; None while none did.
        heard_at: Steady time of the newest such answer.
    """

    said_at: float | None = None
    heard_at: float = float("-inf")

    def note(self, at: float) -> bool:
        """Notes that an answer said so; returns whether that is news.

        Args:
            at: Steady time of the answer.
        """
        is_news = self.said_at is None
        if self.said_at is None or at < self.said_at:
            self.said_at = at
        self.heard_at = max(self.heard_at, at)
        return is_news

    def holds(self, born: int | None, now: float) -> bool:
        """Returns whether the server leaves.

        Args:
            born: When its start was; None if it tells none.
            now: Steady time.
        """
        if self.said_at is None:
            return False
        return born is not None or now - self.heard_at < UNDATED_LIFE
