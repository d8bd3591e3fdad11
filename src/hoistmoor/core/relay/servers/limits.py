"""The rate that a backend server in need takes from all hosts together.

It names it in its answers, for as long as it holds. Answers may overtake one
another, so one that names none ends a limit only if its request was sent after
the newest answer that named it.
"""

from __future__ import annotations

import attrs


@attrs.define
class LimitBelief:
    """What this host knows of one server's limit.

    Attributes:
        rate: Requests a second from all hosts together; None for no limit.
        at: Steady time of the answer that it rests on.
    """

    rate: float | None = None
    at: float = float("-inf")

    def note_named(self, rate: float, now: float) -> bool:
        """Notes that an answer named a limit; returns whether it is news."""
        is_news = rate != self.rate
        self.rate = rate
        self.at = now
        return is_news

    def note_unnamed(self, sent_at: float, now: float) -> bool:
        """Notes that an answer named none; returns whether a limit is over.

        Args:
            sent_at: Steady time at which its request was sent.
            now: Steady time.
        """
        if self.rate is None or sent_at < self.at:
            return False
        self.rate = None
        self.at = now
        return True
