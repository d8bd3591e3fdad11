"""Records of the stream ``steward``.

A record with a fencing token, ``fencing``, is written by the active steward and
accepted only if that lease is current at the record's own offset. All other
records come from operators and entry hosts and are not bound to a lease.
"""

from __future__ import annotations

import attrs

from hoistmoor.core import codec
from hoistmoor.core import identity


@attrs.frozen
class LeaseRequest:
    """Requests the lease; if granted, its offset is the fencing token.

    Attributes:
        holder: Steward that requests the lease.
        duration: Seconds of log time until the lease expires unless renewed.
    """

    holder: identity.Incarnation
    duration: float


@attrs.frozen
class LeaseRenewal:
    """Extends the lease with the given fencing token.

    Attributes:
        holder: Steward that holds the lease.
        fencing: Fencing token of the lease.
        duration: Seconds of log time from this record to the new expiry.
    """

    holder: identity.Incarnation
    fencing: int
    duration: float


@attrs.frozen
class LeaseRelease:
    """Ends the lease with the given fencing token immediately."""

    fencing: int


@attrs.frozen
class RolloutStart:
    """Starts the rollout of a candidate version.

    Attributes:
        version: ``model@version``.
        row_digest: Digest of the row in the table. Operators restart a rollout
            by editing the row in a way that changes the digest.
        fencing: Fencing token of the writer's lease.
    """

    version: str
    row_digest: str
    fencing: int


@attrs.frozen
class RolloutStep:
    """Advances a rollout by one stage.

    Attributes:
        version: ``model@version``.
        stage_index: Index of the new stage, from 0.
        share: Factor on the version's weight in the table, 0 to 1.
        fencing: Fencing token of the writer's lease.
    """

    version: str
    stage_index: int
    share: float
    fencing: int


@attrs.frozen
class RolloutDone:
    """Completes a rollout: the version is validated and no cap applies."""

    version: str
    fencing: int


@attrs.frozen
class RolloutHold:
    """An operator pauses or resumes a rollout.

    Attributes:
        version: ``model@version``.
        paused: Whether the rollout is to be paused.
        by: Name of the operator.
    """

    version: str
    paused: bool
    by: str


@attrs.frozen
class VersionWithdrawn:
    """Withdraws a version of poor quality, which gets no more replicas.

    Entry hosts react to the ``Withdrawal`` on the stream ``evidence`` directly.
    This record keeps the finding for stewards beyond the retention of that
    stream.

    Attributes:
        version: ``model@version``.
        reason: One sentence for the operators.
        by: Host that reported the finding.
        evidence: Description of the evidence.
        row_digest: Digest of the row concerned. An operator's edit that
            changes the digest lifts the withdrawal.
    """

    version: str
    reason: str
    by: str
    evidence: str
    row_digest: str


@attrs.frozen
class RatedCount:
    """Number of rated responses of one version.

    Attributes:
        good: Responses rated good.
        bad: Responses rated bad.
    """

    good: int = 0
    bad: int = 0

    @property
    def rated(self) -> int:
        """The number of all rated responses."""
        return self.good + self.bad

    def plus(self, other: RatedCount) -> RatedCount:
        """Returns the sum of both counts."""
        return RatedCount(self.good + other.good, self.bad + other.bad)


@attrs.frozen
class EvidenceCounted:
    """Ratings within one range of offsets of the rating service.

    Attributes:
        ratings_from: First offset counted. It must be the ``ratings_next`` of
            the previous record, so that each rating is counted exactly once.
        ratings_next: Offset after the last one counted.
        counts: Rated responses within the range, by version.
        fencing: Fencing token of the writer's lease.
    """

    ratings_from: int
    ratings_next: int
    counts: dict[str, RatedCount]
    fencing: int


@attrs.frozen
class ServerDrain:
    """An operator drains a backend server or returns it to service.

    Attributes:
        server: Name of the backend server.
        draining: Whether the backend server is to get no new requests.
        by: Name of the operator.
    """

    server: str
    draining: bool
    by: str


@attrs.frozen
class HistoryReset:
    """An operator resets the state after the stream's history was lost.

    Attributes:
        by: Name of the operator.
    """

    by: str


for _name, _class in {
    "steward.lease_request": LeaseRequest,
    "steward.lease_renewal": LeaseRenewal,
    "steward.lease_release": LeaseRelease,
    "steward.rollout_start": RolloutStart,
    "steward.rollout_step": RolloutStep,
    "steward.rollout_done": RolloutDone,
    "steward.rollout_hold": RolloutHold,
    "steward.version_withdrawn": VersionWithdrawn,
    "steward.evidence_counted": EvidenceCounted,
    "steward.server_drain": ServerDrain,
    "steward.history_reset": HistoryReset,
}.items():
    codec.register(_name, _class)
