"""Builds HTTP responses, in particular those of refused requests."""

from __future__ import annotations

from typing import Any

from aiohttp import web
import attrs
import orjson

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.requests import chunks

REQUEST_ID_HEADER = "X-Hoistmoor-Request-Id"
VERSION_HEADER = "X-Hoistmoor-Version"
REASON_HEADER = "X-Hoistmoor-Why"
SESSION_HEADER = "X-Hoistmoor-Session"
SESSION_MOVED_HEADER = "X-Hoistmoor-Session-Moved"
OUTCOME_HEADER = "X-Hoistmoor-Outcome"
RETRY_AFTER_HEADER = "Retry-After"
_JSON = "application/json"
_MAX_HEADER_CHARS = 200


def json_response(
    body: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Returns a response with a JSON body."""
    return web.Response(
        body=orjson.dumps(body, default=_to_serializable),
        status=status,
        headers=headers,
        content_type=_JSON,
    )


def _to_serializable(value: object) -> Any:
    if attrs.has(type(value)):
        return attrs.asdict(value, recurse=False)  # type: ignore[arg-type]
    return str(value)


def to_header_value(text: str) -> str:
    """Returns ``text`` as a header value: printable ASCII of bounded length."""
    ascii_only = text.encode("ascii", "replace").decode()
    return "".join(c if c.isprintable() else " " for c in ascii_only)[
        :_MAX_HEADER_CHARS
    ]


def refusal_body(refusal: refusals.Refusal, request_id: str) -> dict[str, Any]:
    """Returns the JSON body of a refusal."""
    rule = refusal.rule
    error: dict[str, Any] = {
        "type": refusal.reason.value,
        "message": refusal.detail or rule.remedy,
        "outcome": refusal.outcome.value,
        "retryable": rule.retryable,
        "retry_after": refusal.wait,
        "remedy": rule.remedy,
        "request_id": request_id,
    }
    if refusal.key_outcome is not None:
        error["key_outcome"] = refusal.key_outcome.value
    return {"error": error}


def refusal_response(
    refusal: refusals.Refusal, request_id: str
) -> web.Response:
    """Returns the HTTP response to a refused request."""
    headers = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: refusal.outcome.value,
        REASON_HEADER: refusal.reason.value,
        RETRY_AFTER_HEADER: str(refusal.wait),
    }
    return json_response(
        refusal_body(refusal, request_id), refusal.rule.status, headers
    )


def refusal_event(refusal: refusals.Refusal, request_id: str) -> bytes:
    """Returns the final event of a stream that ends with a refusal."""
    body = refusal_body(refusal, request_id)
    return chunks.encode_event(orjson.dumps(body))


def not_run_refusal(reason: refusals.Reason, detail: str) -> refusals.Refusal:
    """Returns the refusal of a request that was sent to no backend server."""
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail)
