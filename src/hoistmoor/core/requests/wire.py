"""HTTP requests to backend servers."""

from __future__ import annotations

from functools import singledispatch
import math

import attrs
import orjson

from hoistmoor.core import identity
from hoistmoor.core.requests import request_types
from hoistmoor.core.routing import messages as routing

ATTEMPT_HEADER = "X-Attempt-Id"
PRIORITY_HEADER = "X-Priority"
TIMEOUT_HEADER = "X-Timeout-Ms"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
SSE = "text/event-stream"
JSON = "application/json"

_CHAT_PATH = "/v1/chat/completions"
_MS_PER_SECOND = 1000


@attrs.frozen
class BackendRequest:
    """The HTTP request of one attempt.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        headers: Header fields.
        body: Request body.
        is_streaming: Whether the response consists of server-sent events.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    is_streaming: bool


@singledispatch
def make_backend_request(
    request: request_types.Request,
    choice: routing.Choice,
    attempt: identity.AttemptId,
    now: float,
) -> BackendRequest:
    """Builds the HTTP request of one attempt.

    Args:
        request: The caller's request.
        choice: The chosen version and backend server.
        attempt: Id of the attempt, which the backend server sends back.
        now: Seconds since the epoch.
    """
    raise NotImplementedError(type(request))


@make_backend_request.register
def _(
    request: request_types.ChatRequest,
    choice: routing.Choice,
    attempt: identity.AttemptId,
    now: float,
) -> BackendRequest:
    # Always requests a stream from the engine: its end marker tells a complete
    # response from a truncated one.
    body = dict(request.body)
    body["model"] = choice.version
    body["stream"] = True
    body["max_tokens"] = request.max_tokens
    headers = _common_headers(request.envelope, attempt, now)
    headers["Content-Type"] = JSON
    return BackendRequest(
        method="POST",
        url=f"http://{choice.address}{_CHAT_PATH}",
        headers=headers,
        body=orjson.dumps(body),
        is_streaming=True,
    )


@make_backend_request.register
def _(
    request: request_types.CallRequest,
    choice: routing.Choice,
    attempt: identity.AttemptId,
    now: float,
) -> BackendRequest:
    headers = _common_headers(request.envelope, attempt, now)
    if request.content_type:
        headers["Content-Type"] = request.content_type
    if request.envelope.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = request.envelope.idempotency_key
    return BackendRequest(
        method=request.call.method,
        url=f"http://{choice.address}{request.path}",
        headers=headers,
        body=request.body,
        is_streaming=False,
    )


def _common_headers(
    envelope: request_types.Envelope, attempt: identity.AttemptId, now: float
) -> dict[str, str]:
    remaining = max(0.0, envelope.deadline - now)
    return {
        ATTEMPT_HEADER: str(attempt),
        PRIORITY_HEADER: envelope.priority.value,
        TIMEOUT_HEADER: str(math.ceil(remaining * _MS_PER_SECOND)),
    }
