"""Tests whether a version takes longer than the other versions.

The durations of the other versions, under the same load, set a limit that is
well above nearly all of them. The test weighs two hypotheses about the target
version: that it exceeds the limit as often as the others do, and that a good
part of its other attempts does so as well.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.versions import durations as durations_lib

if TYPE_CHECKING:
    from collections.abc import Sequence

# Fraction of the other versions' attempts that may exceed the shortest bucket
# from which the limit is set, and buckets from there to the limit: each is 1.3
# times as long. Versions that are a little slower, or get longer prompts, stay
# within.
LIMIT_FRACTION = 0.2
MARGIN_BUCKETS = 1
# The same for the first event of a stream, as servers of a version that gets
# more requests have not cached their prompts: for streams that are long enough
# to show their pace as well, and for others.
FIRST_EVENT_MARGIN = 4
SHORT_STREAM_MARGIN = 2
# Attempts of other versions that must have reached the end of a stage, and the
# fraction of all attempts. Streams that are usually shorter show no pace.
MIN_BASELINE = 10
MIN_BASELINE_FRACTION = 0.25
# Fraction of the attempts within the limit that a bad version moves beyond it:
# half of its responses are slow.
BAD_FRACTION = 0.5
# Rate that is assumed before other versions were seen, and its weight as a
# number of attempts.
PRIOR_RATE = 0.05
PRIOR_ATTEMPTS = 6
# Limits of the estimated rate.
MIN_RATE = 0.1
MAX_RATE = 0.6


@attrs.frozen
class Comparison:
    """Attempts of the target version against a limit set by the others.

    Attributes:
        limit: The limit in seconds; 0 for none.
        attempts: Attempts of the target version whose side of the limit is
            known. One that is still below counts in part: by the fraction of
            usual attempts that would have reached the end by then.
        slow: Attempts among them that exceed it.
        usual_rate: Fraction that exceeds it of the other versions' attempts.
    """

    limit: float = 0.0
    attempts: float = 0.0
    slow: float = 0.0
    usual_rate: float = 0.0

    @property
    def evidence(self) -> float:
        """Log-likelihood ratio in favor of the target version."""
        return weigh(self.slow, self.attempts, self.usual_rate)


def weigh(bad: float, attempts: float, usual_rate: float) -> float:
    """Returns the log-likelihood ratio of a good over a bad version.

    Args:
        bad: Attempts with a bad result.
        attempts: All attempts.
        usual_rate: Fraction of the other versions' attempts that are bad.
    """
    if attempts <= 0.0:
        return 0.0
    rate = min(max(usual_rate, MIN_RATE), MAX_RATE)
    bad_rate = rate + (1.0 - rate) * BAD_FRACTION
    return bad * math.log(rate / bad_rate) + (attempts - bad) * math.log(
        (1.0 - rate) / (1.0 - bad_rate)
    )


def smoothed_rate(bad: float, attempts: float, prior: float) -> float:
    """Returns the fraction of bad attempts, weighed against a prior."""
    return (bad + prior * PRIOR_ATTEMPTS) / (attempts + PRIOR_ATTEMPTS)


def shows(others: durations_lib.Durations) -> bool:
    """Returns whether the other versions' attempts suffice for a limit."""
    needed = max(MIN_BASELINE, MIN_BASELINE_FRACTION * others.total)
    return others.total_reached >= needed


def compare(
    target: durations_lib.Durations,
    others: durations_lib.Durations,
    margin: int = MARGIN_BUCKETS,
) -> Comparison | None:
    """Compares the attempts of the target with those of other versions.

    Args:
        target: Durations of the target.
        others: Durations of the other versions.
        margin: Buckets to add to the limit.

    Returns:
        The comparison; None if too little is known to set a limit.
    """
    if not shows(others):
        return None
    usual = others.survival()
    limit = _limit_bucket(usual, margin)
    if limit is None:
        return None
    attempts = _count_decided(target, usual, limit)
    return Comparison(
        durations_lib.bucket_end(limit),
        attempts,
        target.survival()[limit] * attempts,
        smoothed_rate(
            usual[limit] * others.total_reached,
            others.total_reached,
            PRIOR_RATE,
        ),
    )


def _limit_bucket(usual: Sequence[float], margin: int) -> int | None:
    for bucket, fraction in enumerate(usual):
        if fraction <= LIMIT_FRACTION:
            return min(bucket + margin, durations_lib.MAX_BUCKET)
    return None


def _count_decided(
    target: durations_lib.Durations, usual: Sequence[float], limit: int
) -> float:
    """Returns the number of attempts whose side of the limit is known."""
    decided = float(target.total_reached)
    for bucket, count in target.unreached.items():
        decided += count * _decided_part(usual, bucket, limit)
    return decided


def _decided_part(usual: Sequence[float], bucket: int, limit: int) -> float:
    if bucket > limit:
        return 1.0
    before = usual[bucket - 1] if bucket else 1.0
    fraction = (before + usual[bucket]) / 2.0
    return (1.0 - fraction) / (1.0 - usual[limit])
