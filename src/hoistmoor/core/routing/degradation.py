"""Detection and withdrawal of versions whose quality degrades.

A host withdraws a degraded version locally at once. The decision is also
appended to the log, from which all other hosts apply it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import messages
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import sequential
from hoistmoor.core.table import limits

if TYPE_CHECKING:
    from hoistmoor.core.table import model

ALL_KINDS = "*"
# Tolerated shortfall of the share of good answers from the baseline, in
# addition to the uncertainty of the baseline.
TOLERANCE = 0.02
TOLERANCE_Z = 1.0  # Uncertainty of the baseline, in standard deviations.
ESCALATED_Z = 2.5  # The same for answers after an escalation.
# Ratings before the baselines are first estimated.
MIN_BASELINE_RATINGS = 10
# Test statistic from which the baselines are not estimated again.
MAX_REESTIMATION_STATISTIC = 20.0


@attrs.define
class DegradationTest:
    """The test of one version for one kind of request.

    Attributes:
        baselines: Lowest acceptable share of good answers by confidence bucket;
            the last one is for answers without a bucket.
        detector: The sequential test.
        next_estimation_at: Number of ratings at which the levels are estimated
            anew.
    """

    baselines: tuple[float, ...]
    detector: sequential.DegradationDetector = attrs.field(
        factory=sequential.DegradationDetector
    )
    next_estimation_at: int = MIN_BASELINE_RATINGS


@attrs.define
class DegradationMonitor:
    """Tests of all versions, and the withdrawals by this and other hosts.

    Attributes:
        host: Name of this host, written to the records.
        tests: Tests by version, kind and whether after an escalation.
        withdrawn: Withdrawals in force by version and kind.
        digests: Digest of each version's row in the table in force.
        pending: Withdrawals decided on a row other than the one in force.
        threshold: Value of the statistic at which a test raises an alarm.
    """

    host: str
    tests: dict[tuple[str, str, bool], DegradationTest] = attrs.field(
        factory=dict
    )
    withdrawn: dict[tuple[str, str], messages.Withdrawal] = attrs.field(
        factory=dict
    )
    digests: dict[str, str] = attrs.field(factory=dict)
    pending: dict[tuple[str, str], messages.Withdrawal] = attrs.field(
        factory=dict
    )
    threshold: float = sequential.threshold(0.99)

    def on_table(self, table: model.Table) -> None:
        """Lifts the withdrawals of versions whose rows were edited."""
        confidence = limits.value(table, "withdraw_confidence")
        self.threshold = sequential.threshold(confidence)
        before = self.digests
        self.digests = {
            key: exposure.row_digest(row) for key, row in table.versions.items()
        }
        edited = {k for k in before if self.digests.get(k) != before[k]}
        self.tests = {
            key: watch
            for key, watch in self.tests.items()
            if key[0] not in edited
        }
        # A withdrawal may be read before the table that it was decided on.
        known = self.pending | self.withdrawn
        self.withdrawn = {
            k: w for k, w in known.items() if self._is_in_force(w)
        }
        self.pending = {
            k: w for k, w in known.items() if not self._is_in_force(w)
        }

    def _is_in_force(self, record: messages.Withdrawal) -> bool:
        return self.digests.get(record.version) == record.row_digest

    def on_withdrawal(self, record: messages.Withdrawal) -> None:
        """Applies a withdrawal decided by this or another host."""
        key = (record.version, record.kind)
        target = self.withdrawn if self._is_in_force(record) else self.pending
        target[key] = record

    def is_withdrawn(self, version: str, kind: str) -> bool:
        """Returns whether ``version`` is withdrawn for ``kind``."""
        return bool(self.withdrawn) and (
            (version, ALL_KINDS) in self.withdrawn
            or (version, kind) in self.withdrawn
        )

    def on_rating(
        self,
        rating: messages.Rating,
        row: model.Version,
        estimates: quality_estimates.QualityEstimates,
        now: float,
    ) -> messages.Withdrawal | None:
        """Tests a rating that ``known`` does not include yet.

        Returns:
            The record for the log if the version must be withdrawn.
        """
        bucket, escalated = quality_estimates.parse_answer_id(rating.answer_id)
        kinds = (rating.kind,) if escalated else (rating.kind, ALL_KINDS)
        for kind in kinds:
            if self.is_withdrawn(row.key, kind):
                continue
            watch = self._get_test(row, kind, rating.kind, escalated, estimates)
            watch.detector.add(rating.good, watch.baselines[bucket])
            if watch.detector.statistic >= self.threshold:
                return self._withdraw(row, kind, watch, now)
        return None

    def _get_test(
        self,
        row: model.Version,
        kind: str,
        rated_kind: str,
        escalated: bool,
        estimates: quality_estimates.QualityEstimates,
    ) -> DegradationTest:
        key = (row.key, kind, escalated)
        watch = self.tests.get(key)
        if watch is None:
            watch = DegradationTest(
                _estimate_baselines(row, rated_kind, escalated, estimates)
            )
            self.tests[key] = watch
        elif kind == ALL_KINDS:
            # Kinds differ in quality, so each rating is compared with the
            # baseline of its own kind.
            of_kind = self.tests.get((row.key, rated_kind, escalated))
            watch.baselines = of_kind.baselines if of_kind else watch.baselines
        elif (
            watch.detector.ratings >= watch.next_estimation_at
            and watch.detector.statistic < MAX_REESTIMATION_STATISTIC
        ):
            # The intervals double, so that slow degradation does not become
            # part of the baseline.
            watch.baselines = _estimate_baselines(
                row, kind, escalated, estimates
            )
            watch.next_estimation_at *= 2
        return watch

    def _withdraw(
        self, row: model.Version, kind: str, watch: DegradationTest, now: float
    ) -> messages.Withdrawal:
        value = watch.detector.statistic
        record = messages.Withdrawal(
            version=row.key,
            kind=kind,
            row_digest=self.digests[row.key],
            by=self.host,
            at=now,
            evidence=f"{value:.0f} >= {self.threshold:.0f} after "
            f"{watch.detector.ratings} ratings",
        )
        watch.detector = sequential.DegradationDetector()
        return record


def _estimate_baselines(
    row: model.Version,
    kind: str,
    escalated: bool,
    estimates: quality_estimates.QualityEstimates,
) -> tuple[float, ...]:
    if escalated:
        # The difficulty of escalated requests changes with the plan, so there
        # is one baseline for all buckets and it has a wider margin.
        level = quality_estimates.lower_bound(
            estimates.escalation_estimate(row, kind), ESCALATED_Z
        )
        return (level - TOLERANCE,) * (quality_estimates.BUCKET_COUNT + 1)
    by_bucket = (
        *estimates.bucket_estimates(row, kind),
        estimates.kind_estimate(row, kind),
    )
    kind_level = quality_estimates.lower_bound(
        estimates.kind_estimate(row, kind), TOLERANCE_Z
    )
    return tuple(
        _level(estimate, kind_level) - TOLERANCE for estimate in by_bucket
    )


def _level(estimate: quality_estimates.Estimate, kind_level: float) -> float:
    level = quality_estimates.lower_bound(estimate, TOLERANCE_Z)
    if estimate.count < MIN_BASELINE_RATINGS:
        # Too few ratings to show that the bucket is better than its kind.
        return min(level, kind_level)
    return level
