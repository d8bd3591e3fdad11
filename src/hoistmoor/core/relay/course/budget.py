"""The budget for sending requests a second time.

Each host earns repeats by the requests that it takes itself, so the shares of
all hosts add up to less than the bound whichever of them live. What it may
repeat without any request is its part of what all hosts may: 360 hosts with
three each would send 1,080 where operators allow 430.
"""

from __future__ import annotations

import collections
import math

import attrs

# Part of the operators' ratio that hosts use: their windows do not start at
# the same moment, and requests and repeats fall into different ones.
USED_SHARE = 0.8
# Part of what all hosts may repeat without any request that their parts add up
# to: the lists of some may lack others.
SPARE_SHARE = 0.8


@attrs.define
class RepeatBudget:
    """Counts the requests for one service and the repeats among them.

    Attributes:
        ratio: Repeats allowed for each request.
        window: Seconds over which both are counted.
        spare: Repeats that are allowed in a window without any request.
    """

    ratio: float
    window: float
    spare: float
    _requests: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque
    )
    _repeats: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque
    )

    def note_request(self, now: float) -> None:
        """Counts a request of a caller."""
        _add(self._requests, now)

    def note_repeat(self, now: float) -> None:
        """Counts a request that is sent once more."""
        _add(self._repeats, now)

    def take_back(self, now: float) -> None:
        """Uncounts a repeat that reached no server."""
        if self._repeats:
            second, count = self._repeats[-1]
            self._repeats[-1] = (second, max(0, count - 1))

    def allows(self, now: float) -> bool:
        """Returns whether one more repeat fits."""
        earned = USED_SHARE * self.ratio * self._sum(self._requests, now)
        return self._sum(self._repeats, now) + 1 <= earned + self.spare

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
