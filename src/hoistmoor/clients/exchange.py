"""A single HTTP exchange: one attempt, sent to one backend server.

At any time, the state of the exchange determines which outcome may be reported
for the request, see ``core.outcomes``. The state is conservative: a request is
``not_run`` only with proof, and a response is complete only with its end
marker.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
import math
from typing import Self, TYPE_CHECKING

import aiohttp
import attrs
from multidict import CIMultiDict
from multidict import MultiMapping
import yarl

from hoistmoor.clients import dialect as dialect_lib
from hoistmoor.clients import events
from hoistmoor.clients import exchange_errors
from hoistmoor.clients import response_body
from hoistmoor.clients import service_client
from hoistmoor.clients import sessions
from hoistmoor.core import errors
from hoistmoor.core import outcomes

if TYPE_CHECKING:
    from types import TracebackType

_State = outcomes.ExchangeState

# States only advance to a higher rank; the last two are final.
_RANKS = {
    _State.UNSENT: 0,
    _State.SENDING: 1,
    _State.SENT: 2,
    _State.ANSWERING: 3,
    _State.ANSWERED: 4,
    _State.DECLINED: 5,
}


@attrs.frozen
class Timeouts:
    """Timeouts of one exchange, in seconds.

    Attributes:
        total: From the start to the end marker; None for no timeout.
        connect: To acquire a connection.
        read: Between two reads from the socket; None for no timeout.
    """

    total: float | None = 60.0
    connect: float = 1.0
    read: float | None = None


@attrs.frozen
class HttpRequest:
    """A request to a backend server.

    Attributes:
        method: HTTP method.
        url: Absolute URL; its path and query are sent without re-encoding.
        attempt_id: Id of this attempt, sent in the dialect's header.
        headers: Additional headers; names may occur several times.
        body: The complete body.
    """

    method: str
    url: str
    attempt_id: str
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""


@attrs.frozen
class ResponseHead:
    """The head of the response.

    Attributes:
        status: HTTP status code.
        headers: Headers as received.
    """

    status: int
    headers: MultiMapping[str]


@attrs.frozen
class BodyChunk:
    """A part of the response body: one event of a stream, or some bytes.

    Attributes:
        data: Bytes as received, including the blank line after an event.
    """

    data: bytes


@attrs.frozen
class ResponseEnd:
    """Marks the end of a complete response."""


ResponsePart = ResponseHead | BodyChunk | ResponseEnd


class Exchange:
    """Sends one request once and yields the parts of its response.

    Use it as an asynchronous context manager and iterate over it:

        async with Exchange(session, request) as exchange:
            async for part in exchange: ...

    Leaving the block before ``ResponseEnd`` or cancelling the task closes the
    connection, so that no data of this attempt can reach a later one.

    Attributes:
        request: The request to send.
        state: Progress of the exchange; remains valid after its end.
        not_run_reason: The server's reason in state ``DECLINED``.
        is_reused: Whether it uses a connection that was open before.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        request: HttpRequest,
        timeouts: Timeouts | None = None,
        dialect: dialect_lib.Dialect = dialect_lib.NATIVE,
    ) -> None:
        """Creates an exchange without sending anything.

        Raises:
            ConfigurationError: The session was not opened by ``make_session``
                and does not report the progress of requests.
        """
        if sessions.TRACE not in session.trace_configs:
            raise errors.ConfigurationError(
                "the HTTP session does not trace when request bytes are sent",
                "Open the session with sessions.make_session.",
            )
        self.request = request
        self.state = _State.UNSENT
        self.not_run_reason = ""
        self._session = session
        self._dialect = dialect
        self._timeouts = timeouts or Timeouts()
        self._response: aiohttp.ClientResponse | None = None
        self._body: response_body.ResponseBody | None = None
        self._dropped_heads = 0
        self.is_reused = False
        self._unsent_bytes = len(request.body)

    async def __aenter__(self) -> Self:
        """Returns the exchange; the request is sent on iteration."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes the connection unless the response is complete."""
        self.cancel()

    @property
    def dropped_parts(self) -> int:
        """Number of heads and events of other attempts that were dropped."""
        dropped_events = self._body.dropped_events if self._body else 0
        return self._dropped_heads + dropped_events

    def cancel(self) -> None:
        """Closes the connection unless the response is complete."""
        if self._response is not None:
            self._response.close()

    def on_connection(self, reused: bool) -> None:
        """Called with a connection, before any bytes are sent on it."""
        self.is_reused = reused
        self._advance(_State.SENDING)

    def on_headers_sent(self) -> None:
        """Called when the request head is written to the connection."""
        if not self._unsent_bytes:
            self._advance(_State.SENT)

    def on_body_sent(self, size: int) -> None:
        """Called when ``size`` more bytes of the body are written."""
        self._unsent_bytes -= size
        if self._unsent_bytes <= 0:
            self._advance(_State.SENT)

    async def __aiter__(self) -> AsyncIterator[ResponsePart]:
        """Yields the head, the body parts and the end of the response.

        Raises:
            ExchangeError: The response is incomplete. The subclass identifies
                the cause, and ``state`` the possible outcome of the request.
        """
        try:
            response = await self._send()
            yield self._accept_head(response)
            if self.state is _State.DECLINED:
                yield ResponseEnd()
                return
            async for part in self._read_body(response):
                yield part
        except service_client.TRANSPORT_ERRORS as error:
            raise exchange_errors.from_transport_error(
                self.state, self.request.url, error
            ) from error
        except events.EventTooLargeError as error:
            raise exchange_errors.from_large_event(self.state, error) from error
        finally:
            # The connection stays reusable if the response is complete.
            self.cancel()

    async def _send(self) -> aiohttp.ClientResponse:
        request = self.request
        self._response = await self._session.request(
            request.method,
            yarl.URL(request.url, encoded=True),
            data=request.body or None,
            headers=_make_headers(request, self._dialect.attempt_header),
            timeout=aiohttp.ClientTimeout(
                total=self._timeouts.total,
                connect=self._timeouts.connect,
                sock_read=self._timeouts.read,
                ceil_threshold=math.inf,  # Ends on time, not up to 1 s later.
            ),
            trace_request_ctx=self,
        )
        return self._response

    def _accept_head(self, response: aiohttp.ClientResponse) -> ResponseHead:
        echoed = response.headers.get(self._dialect.attempt_header)
        # A new connection has carried no other request, so a response without
        # an id can only belong to this attempt.
        is_own_response = echoed == self.request.attempt_id or (
            echoed is None and not self.is_reused
        )
        if not is_own_response:
            self._dropped_heads += 1
            raise exchange_errors.wrong_attempt(self.state, self.request.url)
        if self._dialect.is_not_run(response.status, response.headers):
            self.not_run_reason = response.headers.get(
                self._dialect.not_run_reason_header, ""
            )
            self._advance(_State.DECLINED)
        self._advance(_State.ANSWERING)
        return ResponseHead(response.status, response.headers)

    async def _read_body(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[ResponsePart]:
        body = response_body.ResponseBody(
            response,
            self.request.method,
            self.request.attempt_id,
            has_end_marker=self._dialect.has_end_marker,
        )
        self._body = body
        async for data in body.read():
            if body.is_complete:
                self._advance(_State.ANSWERED)
            yield BodyChunk(data)
        if not body.is_complete:
            raise exchange_errors.missing_end_marker(
                self.state, self.request.url
            )
        self._advance(_State.ANSWERED)
        yield ResponseEnd()
        await body.drain()

    def _advance(self, state: outcomes.ExchangeState) -> None:
        if _RANKS[state] > _RANKS[self.state]:
            self.state = state


def _make_headers(
    request: HttpRequest, attempt_header: str
) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    headers[attempt_header] = request.attempt_id
    headers["Accept-Encoding"] = "identity"
    return headers
