"""The state of one steward and the records that it should append next.

Whether a steward considers itself *active* only avoids useless work; safety
does not depend on it. All readers reject the records that a former active
steward appends after it has lost the lease. Engines reject its late orders by
their fencing token, or the current active steward corrects them.
"""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import attrs

from hoistmoor.core import identity
from hoistmoor.core.steward import evidence
from hoistmoor.core.steward import fold as fold_lib
from hoistmoor.core.steward import lease as lease_lib
from hoistmoor.core.steward import progress
from hoistmoor.core.steward import records
from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import snapshots

if TYPE_CHECKING:
    from hoistmoor.core.table import model

# Minimum interval between two lease records, as the first one may not have been
# read back yet.
LEASE_RETRY_SECONDS = 1.0


@attrs.define
class Actor:
    """The state of one steward process.

    Attributes:
        incarnation: Incarnation of this process.
        fold: Fold of the part of the stream read so far.
        duration: Lease duration to request, in seconds.
        policy: Evidence required to advance a rollout.
        lease_observed_at: Local time at which the last lease change was read.
        lease_record_sent_at: Local time at which the last lease record was
            sent.
        confirmed_lease_sent_at: Value of ``lease_record_sent_at`` when a
            change of this process's lease was last read.
    """

    incarnation: identity.Incarnation
    fold: fold_lib.StewardFold = attrs.field(factory=fold_lib.StewardFold)
    duration: float = lease_lib.LEASE_SECONDS
    policy: evidence.EvidencePolicy = attrs.field(
        factory=evidence.EvidencePolicy
    )
    # Infinite until ``begin``, so that the lease is not requested before.
    lease_observed_at: float = float("inf")
    lease_record_sent_at: float = float("-inf")
    confirmed_lease_sent_at: float = float("-inf")

    @property
    def lease(self) -> lease_lib.Lease | None:
        """The last granted lease in the part of the stream read so far."""
        return self.fold.state.lease

    @property
    def fencing(self) -> int | None:
        """The fencing token of this process's lease; None without a lease."""
        lease = self.lease
        if lease is None or lease.released or lease.holder != self.incarnation:
            return None
        return lease.fencing

    def begin(self, start: int, now: float) -> None:
        """Resets the fold to read from offset ``start`` on."""
        self.fold = fold_lib.StewardFold(start=start)
        self.lease_observed_at = now

    def on_record(
        self, offset: int, at: float, record: Any, now: float
    ) -> fold_lib.ApplyResult:
        """Applies one record of the stream.

        Args:
            offset: Offset of the record.
            at: Append time of the record.
            record: The decoded record; None if it is undecodable.
            now: Local time, in seconds.
        """
        before = self.lease
        result = self.fold.apply(offset, at, record)
        if self.lease != before:
            self.lease_observed_at = now
            if self.fencing is not None:
                self.confirmed_lease_sent_at = self.lease_record_sent_at
        return result

    def active_fencing_token(self, now: float) -> int | None:
        """Returns the fencing token if this steward is active, else None."""
        if (
            not self.fold.complete
            or now - self.confirmed_lease_sent_at >= self.duration
        ):
            return None
        return self.fencing

    def next_lease_record(self, now: float) -> Any | None:
        """Returns the lease request or renewal to append now, or None.

        The record is counted as sent.
        """
        if not self.fold.complete:
            return None
        if now - self.lease_record_sent_at < LEASE_RETRY_SECONDS:
            return None
        observed = lease_lib.ObservedLease(self.lease, self.lease_observed_at)
        fencing = self.fencing
        if fencing is not None:
            if now < observed.next_renewal_at(self.duration):
                return None
            self.lease_record_sent_at = now
            return records.LeaseRenewal(
                self.incarnation, fencing, self.duration
            )
        if now < observed.next_request_at(self.incarnation.host, self.duration):
            return None
        self.lease_record_sent_at = now
        return records.LeaseRequest(self.incarnation, self.duration)

    def release_record(self) -> records.LeaseRelease | None:
        """Returns the record that releases the lease, or None without one."""
        fencing = self.fencing
        return None if fencing is None else records.LeaseRelease(fencing)

    def rollout_records(
        self, table: model.Table, now: float
    ) -> tuple[Any, ...]:
        """Returns the rollout records to append now, if active."""
        fencing = self.active_fencing_token(now)
        if fencing is None:
            return ()
        return progress.due_records(
            self.fold.state, table, fencing, self.policy
        )

    def evidence_record(
        self,
        counts: dict[str, records.RatedCount],
        ratings_from: int,
        ratings_next: int,
        now: float,
    ) -> records.EvidenceCounted | None:
        """Returns the evidence record for a range of ratings, or None.

        Evidence is the number of good and bad ratings of each version.

        Args:
            counts: Ratings in the range, by version.
            ratings_from: Offset of the first rating counted.
            ratings_next: Offset after the last rating counted.
            now: Local time, in seconds.
        """
        fencing = self.active_fencing_token(now)
        if fencing is None or ratings_next <= ratings_from:
            return None
        return records.EvidenceCounted(
            ratings_from, ratings_next, counts, fencing
        )

    def needs_snapshot(self, first: int, now: float) -> bool:
        """Returns whether to append a snapshot of this stream now.

        Args:
            first: Oldest offset that the stream still holds.
            now: Local time, in seconds.
        """
        return self.active_fencing_token(now) is not None and snapshots.is_due(
            self.fold, first
        )

    def view(self) -> rollouts.RolloutView:
        """Returns the rollouts, withdrawals and drains read so far."""
        return self.fold.view()
