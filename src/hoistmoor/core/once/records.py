"""Records of the claims stream.

One append carries a batch, so that a busy host needs few appends. Only the
owner of a claim writes records about it, so a batch names its owner once.
"""

from __future__ import annotations

import hashlib

import attrs

from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core.once import permits

_DIGEST_BYTES = 16


@attrs.frozen
class Claim:
    """Request for the exclusive right to run a request under a key.

    Attributes:
        key: Digest of the client account and the caller's key.
        serial: Sequence number among the owner's claims, from 1.
        fingerprint: Digest of the request, to detect a reused key.
    """

    key: str
    serial: int
    fingerprint: str


@attrs.frozen
class Ended:
    """End of a claim; outcome ``not_run`` also releases an abandoned claim.

    Attributes:
        key: Digest of the client account and the caller's key.
        serial: Serial of the claim.
        outcome: Outcome of the run.
        answer: The answer, if there is one and it is small enough.
    """

    key: str
    serial: int
    outcome: outcomes.Outcome
    answer: permits.StoredAnswer | None = None


@attrs.frozen
class ClaimBatch:
    """Claims and ends of claims of one owner; the ends apply first.

    Attributes:
        host: Host name of the owner.
        incarnation: Incarnation number of the owner.
        address: ``ip:port`` of the owner's interface for callers.
        ended: Ends of claims.
        claims: New claims, in order.
    """

    host: str
    incarnation: int
    address: str
    ended: tuple[Ended, ...]
    claims: tuple[Claim, ...]

    def claim_id(self, serial: int) -> str:
        """Returns the id of one of the owner's claims."""
        return claim_id(self.owner, serial)

    @property
    def owner(self) -> identity.Incarnation:
        """The process that wrote the batch."""
        return identity.Incarnation(self.host, self.incarnation)


@attrs.frozen
class HeldClaims:
    """Batch that a peer appends after its owner has stopped.

    Attributes:
        batch_id: Unique id among all held batches.
        stream: Name of the stream to append to.
        record: The batch, with ends of claims only.
    """

    batch_id: str
    stream: str
    record: ClaimBatch

    @property
    def owner(self) -> identity.Incarnation:
        """The process that wrote the batch."""
        return self.record.owner

    @property
    def size(self) -> int:
        """Space that the batch takes, in the equivalent number of bills."""
        return len(self.record.ended)


codec.register("claims", ClaimBatch)
codec.register("held_claims", HeldClaims)


def claim_id(owner: identity.Incarnation, serial: int) -> str:
    """Returns the id of a claim: ``host.number.serial``."""
    return f"{owner}.{serial:x}"


def key_digest(account: str, key: str) -> str:
    """Returns the digest that represents a caller's key on the log.

    The key itself is not stored, as it may contain a phone number.
    """
    text = f"{len(account)}:{account}{key}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
