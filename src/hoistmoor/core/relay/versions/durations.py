"""Distributions of the time that attempts take to reach the end of a stage.

Many attempts never do, or have not yet: they run, were cut, or were dropped in
favor of a larger model. How long these were observed is counted as well, so
that the distribution is estimated from all attempts (the life-table method for
censored observations) rather than from those that ended early.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

# Durations are counted in buckets, each of which ends at SCALE times the end of
# the one before.
FIRST_BUCKET_SECONDS = 0.02
SCALE = 2.0 ** (1.0 / 3.0)
MAX_BUCKET = 36  # Ends at 82 seconds; contains all longer durations.


def bucket_of(seconds: float) -> int:
    """Returns the number of the bucket that contains a duration."""
    if seconds <= FIRST_BUCKET_SECONDS:
        return 0
    steps = math.log(seconds / FIRST_BUCKET_SECONDS) / math.log(SCALE)
    return min(MAX_BUCKET, math.ceil(steps))


def bucket_end(bucket: int) -> float:
    """Returns the longest duration of a bucket in seconds."""
    return FIRST_BUCKET_SECONDS * SCALE**bucket


@attrs.define
class Durations:
    """Attempts by the bucket of their duration.

    Attributes:
        reached: Attempts that reached the end after that duration.
        unreached: Attempts that were observed for that long without reaching
            it.
    """

    reached: dict[int, int] = attrs.field(factory=dict)
    unreached: dict[int, int] = attrs.field(factory=dict)

    def record_reached(self, seconds: float) -> None:
        """Counts an attempt that reached the end."""
        bucket = bucket_of(seconds)
        self.reached[bucket] = self.reached.get(bucket, 0) + 1

    def record_unreached(self, seconds: float) -> None:
        """Counts an attempt observed for that long without reaching it."""
        bucket = bucket_of(seconds)
        self.unreached[bucket] = self.unreached.get(bucket, 0) + 1

    def add(self, other: Durations) -> None:
        """Adds the attempts of another host."""
        for counts, more in (
            (self.reached, other.reached),
            (self.unreached, other.unreached),
        ):
            for bucket, count in more.items():
                counts[bucket] = counts.get(bucket, 0) + count

    @property
    def total(self) -> int:
        """Number of attempts."""
        return sum(self.reached.values()) + sum(self.unreached.values())

    @property
    def total_reached(self) -> int:
        """Number of attempts that reached the end."""
        return sum(self.reached.values())

    def survival(self) -> list[float]:
        """Returns the fraction of attempts that take longer, for each bucket.

        Attempts observed for part of a bucket count half in it.
        """
        fractions = []
        fraction = 1.0
        remaining = float(self.total)
        for bucket in range(MAX_BUCKET + 1):
            reached = self.reached.get(bucket, 0)
            unreached = self.unreached.get(bucket, 0)
            exposed = remaining - unreached / 2.0
            if reached and exposed > 0.0:
                fraction *= max(0.0, 1.0 - reached / exposed)
            remaining -= reached + unreached
            fractions.append(fraction)
        return fractions


def add_all(sums: dict[str, Durations], more: Mapping[str, Durations]) -> None:
    """Adds durations by stage to the sums of these stages."""
    for stage, durations in more.items():
        sums.setdefault(stage, Durations()).add(durations)
