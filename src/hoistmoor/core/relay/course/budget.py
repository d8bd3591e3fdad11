"""Retry budget of a host.

Every host may retry in proportion to the requests that it receives itself, so
the retries of all hosts stay within the limit regardless of how many hosts are
running. The number of retries allowed without any request is divided among the
hosts: with three each, 360 hosts would send 1,080 although operators allow 430.
"""

from __future__ import annotations

import collections
import math

import attrs

# Fraction of the configured ratio that hosts use. Their windows do not start at
# the same time, so a request and its retry may fall into different windows.
USED_FRACTION = 0.8
# Fraction of the retries allowed without any request that is divided among the
# hosts: the host list of some hosts may be incomplete.
SPARE_FRACTION = 0.8


@attrs.define
class RetryBudget:
    """Counts requests and retries for one service in a sliding window.

    Attributes:
        ratio: Number of retries allowed per request.
        window: Length of the window in seconds.
        spare: Number of retries allowed in a window without any request.
    """

    ratio: float
    window: float
    spare: float
    _requests: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque
    )
    _retries: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque
    )

    def record_request(self, now: float) -> None:
        """Counts a request of a caller."""
        _add(self._requests, now)

    def record_retry(self, now: float) -> None:
        """Counts a retry."""
        _add(self._retries, now)

    def cancel_retry(self, now: float) -> None:
        """Removes a retry that reached no server from the count."""
        if self._retries:
            second, count = self._retries[-1]
            self._retries[-1] = (second, max(0, count - 1))

    def allows_retry(self, now: float) -> bool:
        """Returns whether another retry is within the budget."""
        allowed = USED_FRACTION * self.ratio * self._sum(self._requests, now)
        return self._sum(self._retries, now) + 1 <= allowed + self.spare

    def _sum(
        self, counts: collections.deque[tuple[int, int]], now: float
    ) -> int:
        oldest = math.floor(now - self.window)
        while counts and counts[0][0] < oldest:
            counts.popleft()
        return sum(count for _, count in counts)


def _add(counts: collections.deque[tuple[int, int]], now: float) -> None:
    second = math.floor(now)
    if counts and counts[-1][0] == second:
        counts[-1] = (second, counts[-1][1] + 1)
        return
    counts.append((second, 1))
