"""Opens all HTTP client sessions.

By default, aiohttp sends a request with an idempotent method again when a
reused connection turns out to be closed, follows redirects, and takes a
response that arrived on an idle connection as that to the next request. These
sessions do none of this: the router alone decides about retries, and each
response belongs to one attempt.
"""

from __future__ import annotations

import functools
import socket
from typing import Any, Protocol, TYPE_CHECKING

import aiohttp

from hoistmoor.clients import response_handler
from hoistmoor.utils import http_limits

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import SimpleNamespace

    import aiohappyeyeballs

ATTEMPT_HEADER = "X-Attempt-Id"

CONNECT_TIMEOUT = 1.0  # Seconds to open a connection.
TOTAL_TIMEOUT = 30.0  # Seconds for calls that set no timeout of their own.
# Seconds that an idle connection is kept. Common servers keep theirs longer;
# otherwise a request could be sent while the server closes the connection.
IDLE_TIMEOUT = 1.5
MAX_CONNECTIONS = 2000  # Open connections to all addresses together.


class SendObserver(Protocol):
    """Observes the progress of sending one request."""

    def on_connection(self, reused: bool) -> None:
        """Called with a connection, before any bytes are sent on it."""

    def on_headers_sent(self) -> None:
        """Called when the request head is written to the connection."""

    def on_body_sent(self, size: int) -> None:
        """Called when ``size`` more bytes of the body are written."""


class IdleCheckConnector(aiohttp.TCPConnector):
    """Reuses a connection only if no data arrived while it was idle."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        make_handler = functools.partial(
            response_handler.ResponseHandler, loop=self._loop
        )
        self._factory = make_handler  # type: ignore[assignment]

    async def _get(self, key: Any, traces: Any) -> Any:
        """Returns a clean idle connection, or None to open a new one."""
        for entry in tuple(self._conns.get(key, ())):
            if entry[0].should_close:
                self._conns[key].remove(entry)
                entry[0].close()
        return await super()._get(key, traces)


class AttemptResponse(aiohttp.ClientResponse):
    """Allows its connection to be reused only if it echoes the attempt id.

    A server that sent a response without the id, or with another one, could
    send a late response on the same connection, which the next request would
    receive.

    Attributes:
        attempt_header: Header with the attempt id in request and response.
    """

    attempt_header = ATTEMPT_HEADER
    _is_head_checked = False

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the response."""
        await super().start(connection)
        sent_id = self.request_info.headers.get(self.attempt_header)
        is_mismatch = (
            sent_id and self.headers.get(self.attempt_header) != sent_id
        )
        if is_mismatch and connection.protocol is not None:
            connection.protocol.force_close()
        self._is_head_checked = True
        if self.content.is_eof():
            self._response_eof()
        return self

    def _response_eof(self) -> None:
        # The response may end before ``start`` has checked its head.
        if not self._is_head_checked:
            return
        # The response may also end before the request body is fully sent. The
        # server would then read the next request as the rest of that body.
        writer = self._writer
        if writer is not None and not writer.done() and self._connection:
            protocol = self._connection.protocol
            if protocol is not None:
                protocol.force_close()
        super()._response_eof()


def _make_response_class(attempt_header: str) -> type[AttemptResponse]:
    return type(
        "AttemptResponse",
        (AttemptResponse,),
        {"attempt_header": attempt_header},
    )


def _find_observer(context: SimpleNamespace) -> SendObserver | None:
    observer: SendObserver | None = context.trace_request_ctx
    return observer


async def _on_connection_created(
    _session: object, context: SimpleNamespace, _params: object
) -> None:
    if observer := _find_observer(context):
        observer.on_connection(reused=False)


async def _on_connection_reused(
    _session: object, context: SimpleNamespace, _params: object
) -> None:
    if observer := _find_observer(context):
        observer.on_connection(reused=True)


async def _on_headers_sent(
    _session: object, context: SimpleNamespace, _params: object
) -> None:
    if observer := _find_observer(context):
        observer.on_headers_sent()


async def _on_chunk_sent(
    _session: object,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestChunkSentParams,
) -> None:
    if observer := _find_observer(context):
        observer.on_body_sent(len(params.chunk))


def _make_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_on_connection_created)
    trace.on_connection_reuseconn.append(_on_connection_reused)
    trace.on_request_headers_sent.append(_on_headers_sent)
    trace.on_request_chunk_sent.append(_on_chunk_sent)
    return trace


TRACE = _make_trace()  # Notifies the observer passed as ``trace_request_ctx``.


def make_session(
    *,
    connect_timeout: float = CONNECT_TIMEOUT,
    total_timeout: float | None = TOTAL_TIMEOUT,
    reuse_connections: bool = True,
    idle_timeout: float = IDLE_TIMEOUT,
    attempt_header: str = ATTEMPT_HEADER,
    unacknowledged_timeout: float | None = None,
) -> aiohttp.ClientSession:
    """Opens a session that sends each request at most once.

    Args:
        connect_timeout: Seconds to open a connection.
        total_timeout: Seconds for a call that sets no timeout of its own; None
            for no timeout.
        reuse_connections: False opens a new connection for each request, so
            that no stale connection can leave an outcome unknown.
        idle_timeout: Seconds that an idle connection is kept.
        attempt_header: Header with the attempt id in requests and responses.
        unacknowledged_timeout: Seconds that sent bytes may stay unacknowledged
            before the connection counts as lost; None for the default of the
            operating system.

    Returns:
        The session, which the caller closes.
    """
    connector = IdleCheckConnector(
        limit=MAX_CONNECTIONS,
        keepalive_timeout=idle_timeout if reuse_connections else None,
        force_close=not reuse_connections,
        socket_factory=_make_socket_factory(unacknowledged_timeout),
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(
            total=total_timeout, connect=connect_timeout
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            "Accept",
            "Accept-Encoding",
            "Content-Type",
            "User-Agent",
        ),
        auto_decompress=False,
        max_line_size=http_limits.MAX_RESPONSE_LINE,
        max_field_size=http_limits.MAX_RESPONSE_LINE,
        max_headers=http_limits.MAX_LINES,
        response_class=_make_response_class(attempt_header),
        trace_configs=[TRACE],
    )
    _disable_resending(session)
    return session


def _make_socket_factory(
    unacknowledged_timeout: float | None,
) -> Callable[[aiohappyeyeballs.AddrInfoType], socket.socket] | None:
    """Returns a factory of sockets that detect a lost peer in time."""
    if unacknowledged_timeout is None:
        return None
    timeout_ms = int(unacknowledged_timeout * 1000)

    def open_socket(address: aiohappyeyeballs.AddrInfoType) -> socket.socket:
        family, kind, protocol, _, _ = address
        opened = socket.socket(family, kind, protocol)
        opened.setblocking(False)
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )
        return opened

    return open_socket


def _disable_resending(session: aiohttp.ClientSession) -> None:
    """Disables redirects and automatic retries in ``session``.

    aiohttp has no public options for this per session, so private attributes
    are set. Tests verify that they still have an effect.
    """
    request = session._request

    async def request_once(*args: Any, **options: Any) -> Any:
        return await request(*args, **{**options, "allow_redirects": False})

    session._request = request_once  # type: ignore[method-assign]
    session._retry_connection = False
