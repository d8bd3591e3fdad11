"""Sends one call as an ordinary caller would, and records the result."""

from __future__ import annotations

import contextlib
import time
from typing import Any, TYPE_CHECKING

import aiohttp
import attrs
import orjson

from hoistmoor.core import outcomes
from hoistmoor.load import calls

if TYPE_CHECKING:
    from collections.abc import Iterator

_EVENT_PREFIX = b"data: "
_END_MARKER = b"data: [DONE]"
_MAX_EXCERPT_CHARACTERS = 160
_MIN_ERROR_STATUS = 400
_MS_PER_SECOND = 1000.0
_TICKETS_PATH = "/v1/tickets"


@attrs.define
class _Exchange:
    """The state of one HTTP exchange.

    Attributes:
        status: HTTP status; 0 until the response headers arrive.
        headers: Response headers.
        body: Bytes of the response body received so far.
        first_byte: Time of the body's first byte; 0 until then.
        ended: Whether the body was read to its end.
        refused: Whether the connection could not be opened.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytearray = attrs.field(factory=bytearray)
    first_byte: float = 0.0
    ended: bool = False
    refused: bool = False

    @property
    def complete(self) -> bool:
        """Whether the complete response was received."""
        return self.ended and (not self.streamed or _END_MARKER in self.body)

    @property
    def streamed(self) -> bool:
        """Whether the response is a stream of server-sent events."""
        return "event-stream" in self.headers.get("Content-Type", "")


class HttpCaller:
    """An HTTP caller of one or more entries.

    Args:
        session: HTTP session that sends the requests.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def send(
        self, serial: int, entry: str, call: calls.Call, due: float
    ) -> calls.RequestResult:
        """Sends ``call`` to ``entry`` and waits for the end of the response.

        Args:
            serial: Number of the request within its run.
            entry: Base URL.
            call: What to send.
            due: When the request was due. Latencies are measured from this
                time, so that delays of the load generator itself are not
                hidden (coordinated omission).

        Returns:
            The result; connection failures are results too.
        """
        key = await self.make_key(serial, entry, call)
        return await self.send_with_key(serial, entry, call, key, due)

    async def send_with_key(
        self,
        serial: int,
        entry: str,
        call: calls.Call,
        key: str,
        due: float | None = None,
    ) -> calls.RequestResult:
        """Sends ``call`` with an idempotency key, which may be a used one."""
        sent = time.time()
        exchange = _Exchange()
        with _record_connection_errors(exchange):
            await self._exchange(exchange, entry, call.with_serial(serial), key)
        return _make_result(
            calls.RequestResult(
                serial, call.kind, entry, key, due or sent, sent
            ),
            exchange,
        )

    async def make_key(self, serial: int, entry: str, call: calls.Call) -> str:
        """Returns a new key or ticket for ``call``, or an empty string."""
        if call.key_use is calls.KeyUse.NONE:
            return ""
        if call.key_use is calls.KeyUse.OWN:
            return f"load-{time.time_ns():x}-{serial}"
        return await self._request_ticket(entry, call)

    async def _request_ticket(self, entry: str, call: calls.Call) -> str:
        exchange = _Exchange()
        ticket = calls.Call("ticket", "POST", _TICKETS_PATH, None, call.bearer)
        with _record_connection_errors(exchange):
            await self._exchange(exchange, entry, ticket, "")
        with contextlib.suppress(orjson.JSONDecodeError, KeyError):
            return str(orjson.loads(bytes(exchange.body))["ticket"])
        return ""

    async def _exchange(
        self, exchange: _Exchange, entry: str, call: calls.Call, key: str
    ) -> None:
        data = None if call.body is None else orjson.dumps(call.body)
        async with self.session.request(
            call.method,
            entry + call.path,
            data=data,
            headers=_headers(call, key),
        ) as response:
            exchange.status = response.status
            exchange.headers = dict(response.headers)
            async for chunk in response.content.iter_any():
                exchange.first_byte = exchange.first_byte or time.time()
                exchange.body += chunk
            exchange.ended = True


@contextlib.contextmanager
def _record_connection_errors(exchange: _Exchange) -> Iterator[None]:
    """Records a connection failure in ``exchange`` instead of raising."""
    try:
        yield
    except aiohttp.ClientConnectorError:
        exchange.refused = True
    except (aiohttp.ClientError, TimeoutError, OSError):
        exchange.ended = False


def _headers(call: calls.Call, key: str) -> dict[str, str]:
    headers = {"Content-Type": "application/json"}
    if call.bearer:
        headers["Authorization"] = f"Bearer {call.bearer}"
    if key:
        headers["Idempotency-Key"] = key
    if call.deadline:
        headers["X-Hoistmoor-Deadline"] = f"+{call.deadline:g}"
    if call.session:
        headers["X-Hoistmoor-Session"] = call.session
    return headers


def _make_result(
    result: calls.RequestResult, exchange: _Exchange
) -> calls.RequestResult:
    error = _read_error(exchange)
    ended = time.time()
    return attrs.evolve(
        result,
        status=exchange.status,
        outcome=_outcome(exchange, error),
        reason=_reason(exchange, error),
        request_id=exchange.headers.get("X-Hoistmoor-Request-Id", ""),
        version=exchange.headers.get("X-Hoistmoor-Version", ""),
        why=exchange.headers.get("X-Hoistmoor-Why", ""),
        session=exchange.headers.get("X-Hoistmoor-Session", ""),
        retry_after=_parse_seconds(exchange.headers.get("Retry-After", "")),
        latency_ms=(ended - result.due) * _MS_PER_SECOND,
        first_byte_ms=((exchange.first_byte or ended) - result.due)
        * _MS_PER_SECOND,
        complete=exchange.complete,
        frames=exchange.body.count(_EVENT_PREFIX) if exchange.streamed else 0,
        answer=_excerpt(exchange, error),
    )


def _read_error(exchange: _Exchange) -> dict[str, Any]:
    """Returns the error object of a response, or an empty dictionary.

    A stream that fails after it has started carries the error in its last
    event.
    """
    text = bytes(exchange.body).strip()
    last = text.rsplit(b"data: ", 1)[-1]
    with contextlib.suppress(orjson.JSONDecodeError):
        body = orjson.loads(last)
        error = body.get("error") if isinstance(body, dict) else None
        return error if isinstance(error, dict) else {}
    return {}


def _outcome(exchange: _Exchange, error: dict[str, Any]) -> outcomes.Outcome:
    if "outcome" in error:
        return outcomes.Outcome(error["outcome"])
    if exchange.refused:
        return outcomes.Outcome.NOT_RUN
    done = exchange.complete and exchange.status < _MIN_ERROR_STATUS
    return outcomes.Outcome.DONE if done else outcomes.Outcome.UNKNOWN


def _reason(exchange: _Exchange, error: dict[str, Any]) -> str:
    if "type" in error:
        return str(error["type"])
    if exchange.refused:
        return "entry_unreachable"
    if not exchange.complete:
        return "entry_cut"
    return (
        f"http_{exchange.status}"
        if exchange.status >= _MIN_ERROR_STATUS
        else ""
    )


def _parse_seconds(text: str) -> int:
    return int(text) if text.isdigit() else 0


def _excerpt(exchange: _Exchange, error: dict[str, Any]) -> str:
    if error:
        return str(error.get("message", ""))[:_MAX_EXCERPT_CHARACTERS]
    text = bytes(exchange.body).decode(errors="replace")
    return text[:_MAX_EXCERPT_CHARACTERS]
