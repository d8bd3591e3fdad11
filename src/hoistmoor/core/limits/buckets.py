"""Token bucket with the clock passed in by the caller."""

from __future__ import annotations

import attrs


@attrs.define
class TokenBucket:
    """Limits events to an average rate with bounded bursts.

    Attributes:
        rate: Tokens per second.
        burst: Maximum number of tokens in the bucket.
        tokens: Number of tokens in the bucket at ``at``.
        at: Time of the last refill, in seconds since the epoch.
    """

    rate: float
    burst: float
    tokens: float
    at: float

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Changes the rate and discards tokens above the new burst."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def try_take(self, now: float) -> bool:
        """Takes a token, and returns whether one was available."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refund(self) -> None:
        """Refunds the token of an event that did not happen."""
        self.tokens = min(self.burst, self.tokens + 1)

    def time_until_token(self, now: float) -> float:
        """Returns the seconds until a token is available."""
        self._refill(now)
        if self.tokens >= 1:
            return 0.0
        if self.rate <= 0:
            return float("inf")
        return (1 - self.tokens) / self.rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.at = max(now, self.at)
