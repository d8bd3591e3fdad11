"""Anytime-valid sequential test for a drop in the quality of a version.

For a stream of ratings of one version, each alternative share of good answers
``q`` below the baseline ``p`` has a Shiryaev-Roberts sum of likelihood ratios.
While the true share is at least ``p``, the expected number of ratings before
the mean of these sums reaches ``A`` is at least ``A`` for any stopping rule
(E. Roberts 1966; J. Shin, A. Ramdas, A. Rinaldo, "E-detectors", 2022). The
time of the change need not be known, so a version that degrades late is
detected as fast as one that was bad from the start.
"""

from __future__ import annotations

import math

import attrs

# Minimum mean number of ratings between false alarms of one stream, times the
# error probability that the operators allow. A confidence of 0.99 gives one
# false alarm in 50,000 ratings.
_RATINGS_PER_FALSE_ALARM = 500.0
# Alternatives, as multiples of the baseline's odds of a good answer.
ODDS_FACTORS = (0.6, 0.4, 0.2, 0.08)
_MIN_BASELINE, _MAX_BASELINE = 0.05, 0.99


@attrs.define
class DegradationDetector:
    """Tests one version, for one kind of request or for all kinds.

    Attributes:
        sums: Shiryaev-Roberts sum of each alternative.
        ratings: Number of ratings processed.
    """

    sums: list[float] = attrs.field(factory=lambda: [0.0] * len(ODDS_FACTORS))
    ratings: int = 0

    @property
    def statistic(self) -> float:
        """The test statistic, to be compared with the threshold."""
        return sum(self.sums) / len(self.sums)

    def add(self, good: bool, baseline: float) -> None:
        """Processes one rating.

        Args:
            good: Whether the answer was good.
            baseline: Lowest acceptable share of good answers among similar
                answers; must not depend on this rating.
        """
        self.ratings += 1
        for index, (if_good, if_bad) in enumerate(_likelihood_ratios(baseline)):
            ratio = if_good if good else if_bad
            self.sums[index] = (self.sums[index] + 1.0) * ratio


def _likelihood_ratios(baseline: float) -> tuple[tuple[float, float], ...]:
    """Returns the likelihood ratios of a good and a bad rating.

    There is one pair for each alternative.
    """
    share = min(_MAX_BASELINE, max(_MIN_BASELINE, baseline))
    odds = share / (1.0 - share)
    pairs = []
    for factor in ODDS_FACTORS:
        alternative = factor * odds / (1.0 + factor * odds)
        pairs.append((alternative / share, (1.0 - alternative) / (1.0 - share)))
    return tuple(pairs)


def threshold(confidence: float) -> float:
    """Returns the value of the statistic at which a test raises an alarm.

    It is also a lower bound of the mean number of ratings between false
    alarms.

    Args:
        confidence: The limit ``withdraw_confidence`` of the table.
    """
    return _RATINGS_PER_FALSE_ALARM / (1.0 - confidence)


def min_detection_delay(
    baseline: float, degraded: float, confidence: float
) -> float:
    """Returns a lower bound of the mean detection delay, in ratings.

    The bound holds for any test with this false alarm rate. It is the
    information bound ``log(A) / KL(degraded, baseline)`` (G. Lorden 1971), with
    which measured delays are compared.

    Args:
        baseline: Share of good answers before the change.
        degraded: Share of good answers after the change; below ``baseline``.
        confidence: The limit ``withdraw_confidence`` of the table.
    """
    divergence = degraded * math.log(degraded / baseline) + (
        1.0 - degraded
    ) * math.log((1.0 - degraded) / (1.0 - baseline))
    return math.log(threshold(confidence)) / divergence
