"""Messages between a host's claimant and the tasks that use it."""

from __future__ import annotations

import enum

import attrs

from hoistmoor.core.once import permits


@attrs.frozen
class KeyedRequest:
    """Request with a caller-supplied idempotency key.

    Attributes:
        account: The client account.
        key: The caller's idempotency key.
        fingerprint: Digest of the request.
        request_id: Id of this attempt of the caller.
        forwarded: Whether another host forwarded it to this one.
    """

    account: str
    key: str
    fingerprint: str
    request_id: str
    forwarded: bool = False


@attrs.frozen
class Wait:
    """The request must ask again once the claim has changed.

    Attributes:
        claim_id: Id of the claim to wait for.
        key: Digest of the key.
    """

    claim_id: str
    key: str


@attrs.frozen
class ReadAnswer:
    """The answer must be read from the log.

    Attributes:
        offset: Offset of the batch with the answer.
        claim_id: Id of the claim that the answer ends.
    """

    offset: int
    claim_id: str


Result = permits.BeginResult | Wait | ReadAnswer


class Change(enum.Enum):
    """Change of a claim that requests wait for."""

    MOVED_ON = enum.auto()  # The waiting requests ask again.
    GIVEN_UP = enum.auto()  # The waiting requests are refused.
