"""Detection and withdrawal of versions whose quality degrades.

A host withdraws a degraded version locally at once. The decision is also
appended to the log, from which all other hosts apply it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import evidence
from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import messages
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
FIRST_LEVELS_AT = 10  # Ratings before the baselines are first estimated anew.
QUIET = 20.0  # Statistic from which the baselines are not estimated anew.


@attrs.define
class Watch:
    """The test of one version for one kind of request.

    Attributes:
        levels: Lowest acceptable share of good answers by confidence bucket;
            the last one is for answers without a bucket.
        detector: The sequential test.
        relearn_at: Number of ratings at which the levels are estimated anew.
    """

    levels: tuple[float, ...]
    detector: sequential.TurnDetector = attrs.field(
        factory=sequential.TurnDetector
    )
    relearn_at: int = FIRST_LEVELS_AT


@attrs.define
class TurnWatch:
    """Tests of all versions, and the withdrawals by this and other hosts.

    Attributes:
        host: Name of this host, written to the records.
        watches: Tests by version, kind and whether after an escalation.
        withdrawn: Withdrawals in force by version and kind.
        digests: Digest of each version's row in the table in force.
        pending: Withdrawals decided on a row other than the one in force.
        threshold: Value of the statistic at which a test raises an alarm.
    """

    host: str
    watches: dict[tuple[str, str, bool], Watch] = attrs.field(factory=dict)
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
        self.watches = {
            key: watch
            for key, watch in self.watches.items()
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
        known: evidence.Evidence,
        now: float,
    ) -> messages.Withdrawal | None:
        """Tests a rating that ``known`` does not include yet.

        Returns:
            The record for the log if the version must be withdrawn.
        """
        bucket, escalated = evidence.read_tag(rating.answer_id)
        kinds = (rating.kind,) if escalated else (rating.kind, ALL_KINDS)
        for kind in kinds:
            if self.is_withdrawn(row.key, kind):
                continue
            watch = self._watch(row, kind, rating.kind, escalated, known)
            watch.detector.add(rating.good, watch.levels[bucket])
            if watch.detector.value >= self.threshold:
                return self._withdraw(row, kind, watch, now)
        return None

    def _watch(
        self,
        row: model.Version,
        kind: str,
        rated_kind: str,
        escalated: bool,
        known: evidence.Evidence,
    ) -> Watch:
        key = (row.key, kind, escalated)
        watch = self.watches.get(key)
        if watch is None:
            watch = Watch(_estimate_levels(row, rated_kind, escalated, known))
            self.watches[key] = watch
        elif kind == ALL_KINDS:
            # Kinds differ in quality, so each rating is compared with the
            # baseline of its own kind.
            of_kind = self.watches.get((row.key, rated_kind, escalated))
            watch.levels = of_kind.levels if of_kind else watch.levels
        elif (
            watch.detector.ratings >= watch.relearn_at
            and watch.detector.value < QUIET
        ):
            # The intervals double, so that slow degradation does not become
            # part of the baseline.
            watch.levels = _estimate_levels(row, kind, escalated, known)
            watch.relearn_at *= 2
        return watch

    def _withdraw(
        self, row: model.Version, kind: str, watch: Watch, now: float
    ) -> messages.Withdrawal:
        value = watch.detector.value
        record = messages.Withdrawal(
            version=row.key,
            kind=kind,
            row_digest=self.digests[row.key],
            by=self.host,
            at=now,
            evidence=f"{value:.0f} >= {self.threshold:.0f} after "
            f"{watch.detector.ratings} ratings",
        )
        watch.detector = sequential.TurnDetector()
        return record


def _estimate_levels(
    row: model.Version,
    kind: str,
    escalated: bool,
    known: evidence.Evidence,
) -> tuple[float, ...]:
    if escalated:
        # The difficulty of escalated requests changes with the plan, so there
        # is one baseline for all buckets and it has a wider margin.
        level = evidence.lowered(known.after_escalation(row, kind), ESCALATED_Z)
        return (level - TOLERANCE,) * (evidence.BUCKETS + 1)
    by_bucket = (*known.of_buckets(row, kind), known.of_kind(row, kind))
    kind_level = evidence.lowered(known.of_kind(row, kind), TOLERANCE_Z)
    return tuple(
        _level(estimate, kind_level) - TOLERANCE for estimate in by_bucket
    )


def _level(estimate: evidence.Estimate, kind_level: float) -> float:
    level = evidence.lowered(estimate, TOLERANCE_Z)
    if estimate.count < FIRST_LEVELS_AT:
        # Too few ratings to show that the bucket is better than its kind.
        return min(level, kind_level)
    return level
