"""Responses and response headers that all stand-ins share."""

from __future__ import annotations

from typing import Any

from aiohttp import web
import orjson

ATTEMPT_HEADER = "X-Attempt-Id"
NOT_RUN_HEADER = "X-Not-Run"
NOT_RUN_REASON_HEADER = "X-Not-Run-Reason"
LEAVING = "leaving"


def json_response(content: object, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        body=orjson.dumps(content),
        status=status,
        content_type="application/json",
    )


def not_run_response(reason: str) -> web.Response:
    """Returns a 503 response that reports the request as not executed."""
    response = json_response(
        {"error": {"type": "not_run", "message": reason}}, 503
    )
    response.headers[NOT_RUN_HEADER] = "1"
    response.headers[NOT_RUN_REASON_HEADER] = reason
    response.headers["Retry-After"] = "1"
    return response


def echo_attempt_id(request: web.Request, response: web.StreamResponse) -> None:
    """Copies the attempt id of a request to the headers of its response."""
    attempt_id = request.headers.get(ATTEMPT_HEADER)
    if attempt_id and ATTEMPT_HEADER not in response.headers:
        response.headers[ATTEMPT_HEADER] = attempt_id


async def read_json(request: web.Request) -> Any:
    """Returns the JSON body of a request.

    Raises:
        web.HTTPBadRequest: The body is not valid JSON.
    """
    try:
        return orjson.loads(await request.read())
    except orjson.JSONDecodeError as error:
        raise web.HTTPBadRequest(text=f"not JSON: {error}") from error
