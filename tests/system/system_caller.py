"""A caller that records its requests and their responses."""

from __future__ import annotations

import itertools
import time
from typing import Any

import aiohttp
import attrs
import orjson
import system_table

from hoistmoor.core import outcomes
from hoistmoor.history import events

_CHAT_PATH = "/v1/chat/completions"
_EVENT_PREFIX = b"data: "


@attrs.define
class CallerResponse:
    """A response as the caller received it.

    Attributes:
        status: HTTP status; 0 without a response.
        headers: Headers of the response.
        body: Received bytes of the body.
        is_complete: Whether the body was received completely.
        connection_failed: Whether the connection could not be opened.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False
    connection_failed: bool = False

    @property
    def error(self) -> dict[str, Any]:
        """The refusal in the response, or an empty object."""
        last = self.body.strip().rpartition(_EVENT_PREFIX)[2]
        try:
            parsed = orjson.loads(last)
        except orjson.JSONDecodeError:
            return {}
        found = parsed.get("error") if isinstance(parsed, dict) else None
        return found or {}

    @property
    def frames(self) -> list[dict[str, Any]]:
        """The events of a streamed response."""
        payloads = [
            line.removeprefix(_EVENT_PREFIX)
            for line in self.body.split(b"\n\n")
            if line.startswith(_EVENT_PREFIX) and b"[DONE]" not in line
        ]
        return [orjson.loads(payload) for payload in payloads]


class Caller:
    """Sends requests and records them in a history.

    Attributes:
        session: HTTP session of the requests.
        events: Recorded history.
        responses: Responses by call id.
        timeout_seconds: Seconds after which the caller closes the connection.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.events: list[events.Event] = []
        self.responses: dict[int, CallerResponse] = {}
        self.timeout_seconds = 30.0
        self._call_ids = itertools.count(1)
        self._marks = itertools.count(1)

    def make_mark(self) -> str:
        """Returns a unique text that identifies a request body."""
        return f"m{next(self._marks):06d}"

    async def confirm(
        self,
        host: Any,
        mark: str,
        key: str = "",
        account: str = system_table.ACCOUNT,
        deadline: float = 8.0,
    ) -> events.Told | None:
        """Sends one confirm call.

        Returns:
            The final response, or None without a complete one.
        """
        request = self._record_request(
            host, account, "POST /confirm", key, mark
        )
        response = await self._send(
            host,
            "POST",
            "/v1/services/counter/confirm",
            {"id": mark},
            _headers(account, key, "", deadline),
        )
        return self._record_response(request, response, _echoed_mark(response))

    async def chat(
        self,
        host: Any,
        mark: str,
        model: str = "khao",
        session: str = "",
        header: str = "",
        deadline: float = 8.0,
        account: str = system_table.ACCOUNT,
    ) -> events.Told | None:
        """Sends one streamed chat request.

        Returns:
            The final response, or None without a complete one.
        """
        request = self._record_request(host, account, model, "", mark, session)
        body = {
            "model": model,
            "stream": True,
            "messages": [{"role": "user", "content": f"question {mark}"}],
        }
        headers = _headers(account, "", header or session, deadline)
        response = await self._send(host, "POST", _CHAT_PATH, body, headers)
        return self._record_response(
            request, response, "", own=_belongs_to_request(response)
        )

    async def request_ticket(self, host: Any) -> str:
        """Requests a ticket and returns it."""
        response = await self._send(
            host, "POST", "/v1/tickets", None, _headers(system_table.ACCOUNT)
        )
        return str(orjson.loads(response.body)["ticket"])

    def _record_request(
        self,
        host: Any,
        account: str,
        item: str,
        key: str,
        mark: str,
        session: str = "",
    ) -> events.Asked:
        request = events.Asked(
            next(self._call_ids),
            time.time(),
            host.name,
            account,
            item,
            key,
            mark,
            session,
        )
        self.events.append(request)
        return request

    async def _send(
        self,
        host: Any,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
    ) -> CallerResponse:
        response = CallerResponse()
        data = None if body is None else orjson.dumps(body)
        try:
            async with self.session.request(
                method,
                host.url + path,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=self.timeout_seconds),
            ) as http_response:
                response.status = http_response.status
                response.headers = dict(http_response.headers)
                async for chunk in http_response.content.iter_any():
                    response.body += chunk
                response.is_complete = True
        except aiohttp.ClientConnectorError:
            response.connection_failed = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            response.is_complete = False
        return response

    def _record_response(
        self,
        request: events.Asked,
        response: CallerResponse,
        mark: str,
        *,
        own: bool = True,
    ) -> events.Told | None:
        self.responses[request.call_id] = response
        if response.connection_failed:
            self.events.remove(request)
            return None
        if not response.is_complete:
            self.events.append(events.Cut(request.call_id, time.time()))
            return None
        error = response.error
        final = events.Told(
            call_id=request.call_id,
            at=time.time(),
            outcome=outcomes.Outcome(error.get("outcome", "done")),
            key_outcome=error.get("key_outcome", ""),
            reason=error.get("type", ""),
            request_id=response.headers.get("X-Hoistmoor-Request-Id", ""),
            version=response.headers.get("X-Hoistmoor-Version", ""),
            whole=not error and _has_end_marker(response),
            mark=mark,
            own=own,
            moved="X-Hoistmoor-Session-Moved" in response.headers,
        )
        self.events.append(final)
        return final


def _headers(
    account: str, key: str = "", session: str = "", deadline: float = 8.0
) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {system_table.api_key(account)}",
        "X-Hoistmoor-Deadline": f"+{deadline:g}",
    }
    if key:
        headers["Idempotency-Key"] = key
    if session:
        headers["X-Hoistmoor-Session"] = session
    return headers


def _echoed_mark(response: CallerResponse) -> str:
    try:
        parsed = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return ""
    return str(parsed.get("id", ""))


def _has_end_marker(response: CallerResponse) -> bool:
    if "event-stream" not in response.headers.get("Content-Type", ""):
        return True
    return b"data: [DONE]" in response.body


def _belongs_to_request(response: CallerResponse) -> bool:
    """Returns whether the stream is complete and of its own request."""
    if response.error or not response.frames:
        return True
    request_id = response.headers.get("X-Hoistmoor-Request-Id", "")
    for frame in response.frames:
        if not frame["attempt_id"].startswith(f"{request_id}."):
            return False
    usage = response.frames[-1].get("usage") or {}
    return usage.get("completion_tokens") == len(response.frames) - 1
