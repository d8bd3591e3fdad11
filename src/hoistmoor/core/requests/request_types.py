"""Typed requests, with validated headers and bodies."""

from __future__ import annotations

from typing import Any

import attrs

from hoistmoor.core import identity
from hoistmoor.core.table import model


@attrs.frozen
class Envelope:
    """Attributes that all types of requests have in common.

    Attributes:
        request_id: Identifies the request; its incarnation is this process.
        account: Name of the client account.
        arrived: Time of arrival, in seconds since the epoch.
        deadline: Time after which a response is useless, on the same clock.
        idempotency_key: Idempotency key or ticket sent by the caller, if any.
        session: Session header as sent, if any.
        fingerprint: Hash of method, path and body; all requests with the same
            idempotency key must have the same fingerprint.
        priority: How long the request may be queued.
        forwarded: Whether another host of the deployment forwarded it.
    """

    request_id: identity.RequestId
    account: str
    arrived: float
    deadline: float
    idempotency_key: str | None
    session: str | None
    fingerprint: str
    priority: model.Priority
    forwarded: bool = False


@attrs.frozen
class ChatRequest:
    """A chat completion request.

    Attributes:
        envelope: Attributes common to all requests.
        model: Name of a model, a pinned ``model@version``, or ``auto``.
        stream: Whether the caller requested server-sent events.
        kind: Label that the caller gave to this kind of request.
        body: The parsed body.
        raw: The body as sent.
        prompt_tokens: Estimated length of the prompt in tokens.
        max_tokens: Maximum number of tokens to generate.
        prefix: Hashes of the prompt's prefixes, the longest last.
    """

    envelope: Envelope
    model: str
    stream: bool
    kind: str
    body: dict[str, Any]
    raw: bytes
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[int, ...]


@attrs.frozen
class CallRequest:
    """A call to a plain service.

    Attributes:
        envelope: Attributes common to all requests.
        call: Row of the table for this call.
        path: Path below the service, including the query string.
        content_type: Content type of the body; empty if none was sent.
        body: The body as sent.
    """

    envelope: Envelope
    call: model.Call
    path: str
    content_type: str
    body: bytes


Request = ChatRequest | CallRequest
