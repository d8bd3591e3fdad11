"""Rate limiting by a token bucket."""

from __future__ import annotations


class TokenBucket:
    """A token bucket that admits bursts of up to one second's calls.

    Attributes:
        per_second: Calls admitted per second; 0 for no limit.
        tokens: Calls that may be admitted at once.
        refilled_at: When tokens were last added, in seconds.
    """

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.tokens = per_second
        self.refilled_at = 0.0

    def try_take(self, now: float) -> bool:
        """Takes a token and returns whether the call is admitted."""
        if not self.per_second:
            return True
        gained = (now - self.refilled_at) * self.per_second
        self.tokens = min(max(1.0, self.per_second), self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
