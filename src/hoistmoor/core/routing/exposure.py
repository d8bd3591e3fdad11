"""Cap on the answers of unproven candidates, enforced over all hosts.

A host must hold a slice of a candidate's cap before it sends a request to the
candidate. It claims a slice by appending a record to the log. Every reader
applies these records in log order and grants a claim only while the sum of all
granted slices is within the cap, so all readers agree without communicating,
even if their views of the fleet differ. Slices are never returned: what a
crashed host has not used is lost, which keeps the total below the cap.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

from hoistmoor.core.routing import hashing
from hoistmoor.core.routing import messages

if TYPE_CHECKING:
    from hoistmoor.core.table import model

CLAIM_TIMEOUT_S = 3.0  # Seconds before an unsettled claim is repeated.
REPETITION_PERIOD_S = 1800.0  # Must be well below the log's retention.
SLICES_PER_HOST = 4  # Slices per host in an even division of the cap.


def row_digest(row: model.Version) -> str:
    """Returns a digest of the fields that control a version's rollout.

    An edit of any of these fields resets the exposure count and lifts a
    withdrawal; an edit of weights or prices does not.
    """
    text = f"{row.key} {row.stage} {row.prior_quality} {row.exposure_cap}"
    return xxhash.xxh3_64_hexdigest(text.encode())


@attrs.define
class ExposureLedger:
    """Grants claims in log order, with the same result at every reader.

    A reader that starts after the first record of the stream does not know
    the earlier grants. It grants nothing until it reads a tally from a
    complete reader and has all claims that follow the tally.

    Attributes:
        granted: Sum of the granted slices by digest of the version's row.
        granted_by_claim: Granted amount by claim id; 0 for a denied claim.
        is_complete: Whether ``granted`` covers all claims of the stream.
        deferred: Claims read while incomplete, with their offsets.
        first_offset: Offset from which records were read without a gap.
    """

    granted: dict[str, int] = attrs.field(factory=dict)
    granted_by_claim: dict[str, int] = attrs.field(factory=dict)
    is_complete: bool = True
    deferred: list[tuple[int, messages.ExposureClaim]] = attrs.field(
        factory=list
    )
    first_offset: int = 0

    def on_gap(self, first: int) -> None:
        """Handles the loss of all records before offset ``first``."""
        self.is_complete = False
        self.first_offset = first
        self.deferred.clear()

    def on_claim(self, offset: int, claim: messages.ExposureClaim) -> int:
        """Applies a claim and returns the amount granted.

        A repeated claim is counted once.
        """
        if not self.is_complete:
            self.deferred.append((offset, claim))
            return 0
        return self._grant(claim)

    def _grant(self, claim: messages.ExposureClaim) -> int:
        if claim.claim_id in self.granted_by_claim:
            return self.granted_by_claim[claim.claim_id]
        granted = self.granted.get(claim.row_digest, 0)
        amount = max(0, min(claim.amount, claim.cap - granted))
        self.granted[claim.row_digest] = granted + amount
        self.granted_by_claim[claim.claim_id] = amount
        return amount

    def on_tally(self, tally: messages.ExposureTally) -> None:
        """Applies a tally if all claims that follow it have been read."""
        if self.is_complete or tally.as_of < self.first_offset:
            return
        self.granted = dict(tally.granted)
        self.is_complete = True
        for offset, claim in self.deferred:
            if offset >= tally.as_of:
                self._grant(claim)
        self.deferred.clear()


@attrs.define
class ExposureBudget:
    """Remaining exposure budget of this incarnation by candidate.

    Attributes:
        holder: Id of this incarnation; no other may use its slices.
        ledger: State of the claims of all hosts.
        left: Remaining unproven answers by digest of the version's row.
        unsettled_claims: Unsettled claim and the time of its last append by
            digest.
        serial: Number of claims made by this incarnation.
    """

    holder: str
    ledger: ExposureLedger = attrs.field(factory=ExposureLedger)
    remaining: dict[str, int] = attrs.field(factory=dict)
    unsettled_claims: dict[str, tuple[messages.ExposureClaim, float]] = (
        attrs.field(factory=dict)
    )
    serial: int = 0

    def on_claim(self, offset: int, claim: messages.ExposureClaim) -> None:
        """Applies a claim read from the log, of this or another host."""
        is_first = claim.claim_id not in self.ledger.granted_by_claim
        amount = self.ledger.on_claim(offset, claim)
        if claim.holder != self.holder or not is_first:
            return
        self.unsettled_claims.pop(claim.row_digest, None)
        digest = claim.row_digest
        self.remaining[digest] = self.remaining.get(digest, 0) + amount

    def try_consume(self, digest: str) -> bool:
        """Consumes one unproven answer; returns False if none is left."""
        left = self.remaining.get(digest, 0)
        if left <= 0:
            return False
        self.remaining[digest] = left - 1
        return True

    def claim_if_exhausted(
        self, row: model.Version, digest: str, hosts: int, now: float
    ) -> messages.ExposureClaim | None:
        """Returns a claim to append to the log, if one is due.

        Args:
            row: The candidate.
            digest: Digest of its row.
            hosts: Number of known hosts; affects only the size of the slice.
            now: Current time.
        """
        if self.remaining.get(digest, 0) > 0 or not self.ledger.is_complete:
            return None
        if self.ledger.granted.get(digest, 0) >= row.exposure_cap:
            return None
        claim, made_at = self.unsettled_claims.get(digest, (None, 0.0))
        if claim is not None and now < made_at + CLAIM_TIMEOUT_S:
            return None
        # An unsettled claim is repeated under the same id, so it counts once.
        claim = claim or self._new_claim(row, digest, hosts)
        self.unsettled_claims[digest] = (claim, now)
        return claim

    def _new_claim(
        self, row: model.Version, digest: str, hosts: int
    ) -> messages.ExposureClaim:
        self.serial += 1
        slices = max(1, hosts) * SLICES_PER_HOST
        return messages.ExposureClaim(
            claim_id=f"{self.holder}/{self.serial}",
            version=row.key,
            row_digest=digest,
            holder=self.holder,
            amount=max(1, row.exposure_cap // slices),
            cap=row.exposure_cap,
        )


@attrs.define
class RepetitionSchedule:
    """Schedules the repetition of records before log retention removes them.

    Hosts are scheduled at pseudo-random times within the period. A host that
    reads the repetition of another host schedules its own anew.

    Attributes:
        holder: Id of this incarnation; hashed into its time in the period.
        next_offset: Offset after the last record read.
        due_at: When this host's repetition is due; 0 before the first check.
        was_repeated: Whether another host's repetition was read since the
            last check.
    """

    holder: str
    next_offset: int = 0
    due_at: float = 0.0
    was_repeated: bool = False

    def on_record(self, offset: int, record: object) -> None:
        """Handles any record of the stream."""
        self.next_offset = offset + 1
        if isinstance(record, messages.ExposureTally):
            self.was_repeated = True

    def is_due(self, now: float) -> bool:
        """Returns whether to repeat the records now, and reschedules."""
        if self.due_at and not self.was_repeated and now < self.due_at:
            return False
        is_due = self.due_at > 0.0 and not self.was_repeated
        self.was_repeated = False
        jitter = hashing.uniform(self.holder, round(self.due_at))
        self.due_at = now + REPETITION_PERIOD_S * (0.5 + jitter)
        return is_due
