"""Estimates of answer quality from late and sparse ratings.

The share of good answers is estimated per version, per kind of request and
per bucket of the engine's confidence. Each estimate takes the coarser one as
its prior, so a cell with few ratings stays close to its parent. Ratings lose
weight exponentially with age.
"""

from __future__ import annotations

import bisect
import itertools
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoistmoor.core.routing import messages
    from hoistmoor.core.table import model

# Upper edges of the confidence buckets; the last bucket has none.
BUCKET_EDGES = (0.3, 0.45, 0.55, 0.65, 0.72, 0.79, 0.85, 0.9, 0.95)
BUCKET_COUNT = len(BUCKET_EDGES) + 1
_BUCKET_MIDPOINTS = tuple(
    (low + high) / 2.0
    for low, high in itertools.pairwise((0.0, *BUCKET_EDGES, 1.0))
)
NO_BUCKET = -1
HALF_LIFE_S = 6 * 3600.0  # Age at which the weight of a rating has halved.
# Prior strengths as equivalent numbers of ratings: of the table's prior
# quality, of the version's estimate, and of the assumption of unbiased
# estimates.
PRIOR_STRENGTH = 20.0
KIND_STRENGTH = 8.0
ERROR_STRENGTH = 100.0
# Standard deviation of one answer's quality from its expectation.
_QUALITY_DEVIATION = 0.4
BUCKET_STRENGTH = 5.0  # Prior strength of the kind's estimate, in ratings.
# Standard deviation of a kind's log odds of a good answer from its version's.
KIND_DEVIATION = 0.7
# Prior factor on the odds of a good answer after an escalation. Only the
# difficult requests are escalated.
ESCALATED_ODDS_FACTOR = 0.25
# Prior increase of the log odds of a good answer per unit of confidence.
# Confidence is rarely uninformative and rarely as informative as this.
CONFIDENCE_SLOPE = 6.0
_MIN_SHARE, _MAX_SHARE = 0.002, 0.998
_ESCALATED_SUFFIX = "e"
_TAG_SEPARATOR = "~"


def bucket_of(confidence: float | None) -> int:
    """Returns the bucket of ``confidence``; ``NO_BUCKET`` for None."""
    if confidence is None:
        return NO_BUCKET
    return bisect.bisect_right(BUCKET_EDGES, confidence)


def make_answer_id(
    attempt_id: str, confidence: float | None, escalated: bool
) -> str:
    """Returns the id under which an answer is submitted for rating.

    The id encodes the confidence bucket and whether the answer followed an
    escalation, so that any host can use the rating without having stored the
    answer.
    """
    suffix = _ESCALATED_SUFFIX if escalated else ""
    return f"{attempt_id}{_TAG_SEPARATOR}{bucket_of(confidence)}{suffix}"


def parse_answer_id(answer_id: str) -> tuple[int, bool]:
    """Parses an answer id.

    Returns:
        The confidence bucket, and whether the answer followed an escalation.
    """
    _, found, tag = answer_id.rpartition(_TAG_SEPARATOR)
    number = tag.removesuffix(_ESCALATED_SUFFIX)
    if not found or not number.isdecimal() or int(number) >= BUCKET_COUNT:
        return NO_BUCKET, tag == f"{NO_BUCKET}{_ESCALATED_SUFFIX}"
    return int(number), tag.endswith(_ESCALATED_SUFFIX)


@attrs.define
class DecayingCounts:
    """Exponentially decayed counts of good and bad answers.

    Attributes:
        good: Weight of good answers.
        bad: Weight of bad answers.
        at: Time up to which the weights are decayed.
    """

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0

    @property
    def count(self) -> float:
        """Weight of all answers."""
        return self.good + self.bad

    def add(self, good: bool, now: float) -> None:
        """Counts one rating."""
        self.decay(now)
        self.good += good
        self.bad += not good

    def decay(self, now: float) -> None:
        """Decays the weights up to ``now``."""
        if now > self.at:
            factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
            self.good *= factor
            self.bad *= factor
            self.at = now


@attrs.define
class CalibrationError:
    """Decayed sum of the differences between expected and rated quality.

    Attributes:
        total: Sum of expected minus rated quality.
        count: Weight of the answers in the sum.
        at: Time up to which the sum and the weight are decayed.
    """

    total: float = 0.0
    count: float = 0.0
    at: float = 0.0

    def add(self, error: float, now: float) -> None:
        """Counts one answer.

        Args:
            error: Expected minus rated quality.
            now: Current time.
        """
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.total = self.total * factor + error
        self.count = self.count * factor + 1.0
        self.at = max(self.at, now)


@attrs.frozen
class Estimate:
    """An estimated share of good answers.

    Attributes:
        mean: Posterior mean.
        variance: Posterior variance.
        count: Weight of the ratings of the cell itself, without the prior.
    """

    mean: float
    variance: float
    count: float

    def bound(self, z: float) -> float:
        """Returns the mean plus ``z`` standard deviations, within [0, 1]."""
        return min(1.0, max(0.0, self.mean + z * math.sqrt(self.variance)))


def _posterior(
    tally: DecayingCounts | None, mean: float, strength: float
) -> Estimate:
    mean = min(_MAX_SHARE, max(_MIN_SHARE, mean))
    good = mean * strength + (tally.good if tally else 0.0)
    total = strength + (tally.count if tally else 0.0)
    share = good / total
    return Estimate(share, share * (1 - share) / (total + 1), total - strength)


def lower_bound(estimate: Estimate, deviations: float) -> float:
    """Returns a lower bound of an estimate, computed on the log odds scale.

    The deviation of a kind of request from its version's mean is assumed to
    be normal; ratings of that kind reduce its variance.

    Args:
        estimate: The estimate for a kind of request.
        deviations: Standard deviations by which to lower it.
    """
    mean = min(_MAX_SHARE, max(_MIN_SHARE, estimate.mean))
    precision = KIND_DEVIATION**-2 + estimate.count * mean * (1.0 - mean)
    factor = math.exp(-deviations / math.sqrt(precision))
    return _share(factor * _odds(mean))


def _share(odds: float) -> float:
    return odds / (1.0 + odds)


def _odds(share: float) -> float:
    share = min(_MAX_SHARE, max(_MIN_SHARE, share))
    return share / (1.0 - share)


_Cell = tuple[str, str, int]
_ALL_KINDS = "*"
_AFTER_ESCALATION = BUCKET_COUNT  # Cell index for answers after an escalation.


@attrs.define
class QualityEstimates:
    """Quality estimates of all versions from the ratings read by this host.

    Attributes:
        counts: Ratings by version, kind (``*`` for all) and bucket.
        bucket_counts: Answers per bucket, rated or not, by version and kind.
        errors: Calibration errors by kind.
        without_confidence: Versions whose engines report no confidence.
        rating_count: Number of ratings counted.
        answer_count: Number of answers counted in ``buckets``.
    """

    counts: dict[_Cell, DecayingCounts] = attrs.field(factory=dict)
    bucket_counts: dict[tuple[str, str], list[float]] = attrs.field(
        factory=dict
    )
    errors: dict[str, CalibrationError] = attrs.field(factory=dict)
    without_confidence: set[str] = attrs.field(factory=set)
    rating_count: int = 0
    answer_count: int = 0

    @property
    def weight(self) -> float:
        """Weight of all ratings, decayed up to the last one of each kind."""
        return sum(miss.count for miss in self.errors.values())

    def on_rating(
        self, rating: messages.Rating, row: model.Version | None, now: float
    ) -> None:
        """Counts a rating in every cell that it belongs to.

        Args:
            rating: The rating.
            row: The version's row; None if the table no longer has it.
            now: Current time.
        """
        version = f"{rating.model}@{rating.version}"
        bucket, escalated = parse_answer_id(rating.answer_id)
        if row is not None:
            self._record_error(rating, row, now)
        if escalated:
            # Escalated requests are the difficult ones, so they have cells of
            # their own.
            cells = [
                (version, kind, _AFTER_ESCALATION)
                for kind in (rating.kind, _ALL_KINDS)
            ]
        else:
            kinds = (rating.kind, _ALL_KINDS)
            cells = [(version, kind, NO_BUCKET) for kind in kinds]
            if bucket != NO_BUCKET:
                cells += [(version, kind, bucket) for kind in kinds]
        for cell in cells:
            self.counts.setdefault(cell, DecayingCounts(at=now)).add(
                rating.good, now
            )
        self.rating_count += 1

    def _record_error(
        self, rating: messages.Rating, row: model.Version, now: float
    ) -> None:
        """Records the difference between the expected and the rated quality."""
        bucket, escalated = parse_answer_id(rating.answer_id)
        expected = (
            self.escalation_estimate(row, rating.kind)
            if escalated
            else self.bucket_estimate(row, rating.kind, bucket)
        )
        miss = self.errors.setdefault(rating.kind, CalibrationError(at=now))
        miss.add(expected.mean - rating.good, now)

    def margin(self, kind: str, target: float, z: float) -> float:
        """Returns the margin to add to a target to offset calibration errors.

        The margin is the mean shortfall of answers of this kind, over all
        versions, plus ``z`` standard deviations. Both are scaled to the
        target, because the quality of answers varies less near 1. The target
        applies to all requests of an account and the errors of its kinds are
        independent, so the deviation is reduced accordingly.

        Args:
            kind: Kind of the request.
            target: Target share of good answers.
            z: Standard deviations to add.
        """
        miss = self.errors.get(kind, CalibrationError())
        count = miss.count + ERROR_STRENGTH
        deviation = math.sqrt(target * (1.0 - target))
        bias = miss.total / count * deviation / _QUALITY_DEVIATION
        return bias + z * self._deviation_factor() * deviation / math.sqrt(
            count
        )

    def _deviation_factor(self) -> float:
        """Returns the factor on the deviation of a mean over all kinds."""
        counts = [miss.count for miss in self.errors.values()]
        total = sum(counts)
        if not total:
            return 1.0
        return math.sqrt(sum((count / total) ** 2 for count in counts))

    def on_answer(
        self, version: str, kind: str, confidence: float | None
    ) -> None:
        """Counts an answer, rated or not, in its confidence bucket."""
        bucket = bucket_of(confidence)
        if bucket == NO_BUCKET:
            self.without_confidence.add(version)
            return
        self.without_confidence.discard(version)
        counts = self.bucket_counts.setdefault(
            (version, kind), [0.0] * BUCKET_COUNT
        )
        counts[bucket] += 1.0
        self.answer_count += 1

    def version_estimate(self, row: model.Version) -> Estimate:
        """Returns the estimate over all kinds of requests."""
        tally = self.counts.get((row.key, _ALL_KINDS, NO_BUCKET))
        return _posterior(tally, row.prior_quality, PRIOR_STRENGTH)

    def kind_estimate(self, row: model.Version, kind: str) -> Estimate:
        """Returns the estimate for one kind of request."""
        tally = self.counts.get((row.key, kind, NO_BUCKET))
        return _posterior(tally, self.version_estimate(row).mean, KIND_STRENGTH)

    def escalation_estimate(self, row: model.Version, kind: str) -> Estimate:
        """Returns the estimate for requests escalated from other versions."""
        overall = self.version_estimate(row).mean
        pooled = _posterior(
            self.counts.get((row.key, _ALL_KINDS, _AFTER_ESCALATION)),
            _share(ESCALATED_ODDS_FACTOR * _odds(overall)),
            KIND_STRENGTH,
        )
        difficulty = _odds(pooled.mean) / _odds(overall)
        mean = _share(difficulty * _odds(self.kind_estimate(row, kind).mean))
        tally = self.counts.get((row.key, kind, _AFTER_ESCALATION))
        return _posterior(tally, mean, KIND_STRENGTH)

    def bucket_estimate(
        self, row: model.Version, kind: str, bucket: int
    ) -> Estimate:
        """Returns the estimate for one kind and one confidence bucket."""
        if bucket == NO_BUCKET:
            return self.kind_estimate(row, kind)
        return self._estimate_buckets(row, kind, (bucket,))[0]

    def bucket_estimates(self, row: model.Version, kind: str) -> list[Estimate]:
        """Returns the estimates for one kind by confidence bucket."""
        return self._estimate_buckets(row, kind, range(BUCKET_COUNT))

    def _estimate_buckets(
        self, row: model.Version, kind: str, buckets: Iterable[int]
    ) -> list[Estimate]:
        overall = _odds(self.version_estimate(row).mean)
        kind_factor = _odds(self.kind_estimate(row, kind).mean) / overall
        mean_confidence = self._mean_confidence(row, kind)
        found = []
        for bucket in buckets:
            slope = math.exp(
                CONFIDENCE_SLOPE * (_BUCKET_MIDPOINTS[bucket] - mean_confidence)
            )
            pooled = _posterior(
                self.counts.get((row.key, _ALL_KINDS, bucket)),
                _share(slope * overall),
                BUCKET_STRENGTH,
            )
            own = _posterior(
                self.counts.get((row.key, kind, bucket)),
                _share(_odds(pooled.mean) * kind_factor),
                BUCKET_STRENGTH,
            )
            found.append(own)
        return found

    def _mean_confidence(self, row: model.Version, kind: str) -> float:
        shares = self.bucket_shares(row, kind)
        return sum(
            s * m for s, m in zip(shares, _BUCKET_MIDPOINTS, strict=True)
        )

    def has_confidence(self, row: model.Version, kind: str) -> bool:
        """Returns whether any answer of this kind came with a confidence."""
        return (row.key, kind) in self.bucket_counts

    def bucket_shares(self, row: model.Version, kind: str) -> list[float]:
        """Returns the share of the version's answers in each bucket."""
        counts = self.bucket_counts.get((row.key, kind), [0.0] * BUCKET_COUNT)
        total = sum(counts) + BUCKET_COUNT * 0.5
        return [(count + 0.5) / total for count in counts]
