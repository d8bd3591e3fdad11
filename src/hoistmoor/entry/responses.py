"""Turns refusals and answers into HTTP responses."""

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
WHY_HEADER = "X-Hoistmoor-Why"
SESSION_HEADER = "X-Hoistmoor-Session"
MOVED_HEADER = "X-Hoistmoor-Session-Moved"
OUTCOME_HEADER = "X-Hoistmoor-Outcome"
RETRY_HEADER = "Retry-After"
_JSON = "application/json"
_LONGEST_WHY = 200


def json_response(
    body: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Returns a response with a JSON body."""
    return web.Response(
        body=orjson.dumps(body, default=_plain),
        status=status,
        headers=headers,
        content_type=_JSON,
    )


def _plain(value: object) -> Any:
    if attrs.has(type(value)):
        return attrs.asdict(value, recurse=False)  # type: ignore[arg-type]
    return str(value)


def header_text(text: str) -> str:
    """Returns ``text`` fit for a header: printable ASCII, bounded."""
    ascii_only = text.encode("ascii", "replace").decode()
    return "".join(c if c.isprintable() else " " for c in ascii_only)[
        :_LONGEST_WHY
    ]


def refusal_body(refusal: refusals.Refusal, request_id: str) -> dict[str, Any]:
    """Returns the body that tells a caller of a refusal."""
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
    """Returns the response of a request that is refused as a whole."""
    headers = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: refusal.outcome.value,
        WHY_HEADER: refusal.reason.value,
        RETRY_HEADER: str(refusal.wait),
    }
    return json_response(
        refusal_body(refusal, request_id), refusal.rule.status, headers
    )


def refusal_event(refusal: refusals.Refusal, request_id: str) -> bytes:
    """Returns the last event of a stream that is cut short."""
    body = refusal_body(refusal, request_id)
    return chunks.encode_event(orjson.dumps(body))


def bare_refusal(reason: refusals.Reason, detail: str) -> refusals.Refusal:
    """Returns the refusal of a request of which no byte went anywhere."""
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail)
