"""Results of the check whether a request may run on a host.

A non-idempotent request is dispatched only with a permit. A permit is issued
once, by one incarnation, and is valid for one run there.
"""

from __future__ import annotations

import enum

import attrs

from hoistmoor.core import refusals


class PermitKind(enum.StrEnum):
    """Mechanism that prevents a second run."""

    NONE = "none"  # No key: runs at this incarnation only and is never resent.
    TICKET = "ticket"  # Memory of the process that issued the ticket.
    CLAIM = "claim"  # The lowest offset of the key's claims on the log.


@attrs.frozen
class Permit:
    """Permission for exactly one run, at the incarnation that got it.

    Attributes:
        kind: Mechanism that prevents a second run.
        account: Client account of the request.
        key: The caller's idempotency key; empty for kind ``NONE``.
        id: Claim id, ticket serial or request id.
    """

    kind: PermitKind
    account: str
    key: str
    id: str


@attrs.frozen
class StoredAnswer:
    """Complete answer of a finished request.

    Attributes:
        status: HTTP status code.
        content_type: Value of the Content-Type header.
        body: Complete response body.
        request_id: Id of the request that ran.
    """

    status: int
    content_type: str
    body: bytes
    request_id: str


@attrs.frozen
class ForwardTo:
    """The request must be forwarded to another live host.

    Attributes:
        address: ``ip:port`` of the interface for callers on that host. A
            request is forwarded at most once.
    """

    address: str


BeginResult = Permit | StoredAnswer | ForwardTo | refusals.Refusal
