"""The one place where HTTP client sessions are opened.

aiohttp sends a request of an idempotent HTTP method a second time when a
reused connection turns out to be cut, follows redirects, and hands an answer
that arrived on an idle connection to the next request on it. None of this may
happen here: whether to send again is the router's decision, and an answer
belongs to one attempt.
"""

from __future__ import annotations

import functools
import socket
from typing import Any, Protocol, TYPE_CHECKING

import aiohttp
from aiohttp import client_proto

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import SimpleNamespace

    import aiohappyeyeballs

ATTEMPT_HEADER = "X-Attempt-Id"

CONNECT_TIMEOUT = 1.0  # Seconds to open a connection.
TOTAL_TIMEOUT = 30.0  # Seconds for calls that set no timeout of their own.
# Seconds that an unused connection is kept: less than common servers keep it,
# or a request could meet a connection that is just being closed.
IDLE_TIMEOUT = 1.5
MAX_CONNECTIONS = 2000  # Connections open at once, over all addresses.


class Watcher(Protocol):
    """Told how far the sending of one request has come."""

    def on_connection(self, reused: bool) -> None:
        """A connection is there; bytes may leave from now on."""

    def on_headers(self) -> None:
        """The head is being sent."""

    def on_body(self, size: int) -> None:
        """``size`` more bytes of the body are being sent."""


class QuietConnector(aiohttp.TCPConnector):
    """Reuses a connection only if nothing arrived on it while it was idle."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        make_handler = functools.partial(ResetAwareHandler, loop=self._loop)
        self._factory = make_handler  # type: ignore[assignment]

    async def _get(self, key: Any, traces: Any) -> Any:
        """Returns a clean idle connection, or None to open a new one."""
        for entry in tuple(self._conns.get(key, ())):
            if entry[0].should_close:
                self._conns[key].remove(entry)
                entry[0].close()
        return await super()._get(key, traces)


class ResetAwareHandler(client_proto.ResponseHandler):
    """Tells an answer that was reset from one that ended.

    aiohttp takes the end of a connection for the end of an answer without a
    length, also where the connection was reset.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Marks the answer under way as cut."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientConnectionError(f"connection lost: {exc!r}")
            )
        super().connection_lost(exc)


class AttemptResponse(aiohttp.ClientResponse):
    """Lets its connection be reused only if it names the attempt asked for.

    The connection of an answer without the id, or with another one, could
    hand a late answer to the next request.

    Attributes:
        attempt_header: Names the attempt, in the request and the answer.
    """

    attempt_header = ATTEMPT_HEADER
    _head_known = False

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        await super().start(connection)
        asked = self.request_info.headers.get(self.attempt_header)
        foreign = asked and self.headers.get(self.attempt_header) != asked
        if foreign and connection.protocol is not None:
            connection.protocol.force_close()
        self._head_known = True
        if self.content.is_eof():
            self._response_eof()
        return self

    def _response_eof(self) -> None:
        # An answer may end before its head was looked at.
        if not self._head_known:
            return
        # It may also end before the request's body is out: what the server
        # still expects must not be taken from the next request.
        writer = self._writer
        if writer is not None and not writer.done() and self._connection:
            protocol = self._connection.protocol
            if protocol is not None:
                protocol.force_close()
        super()._response_eof()


def _response_class(attempt_header: str) -> type[AttemptResponse]:
    return type(
        "AttemptResponse",
        (AttemptResponse,),
        {"attempt_header": attempt_header},
    )


def _watcher(context: SimpleNamespace) -> Watcher | None:
    watcher: Watcher | None = context.trace_request_ctx
    return watcher


async def _on_connected(
    _session: object, context: SimpleNamespace, _params: object
) -> None:
    if watcher := _watcher(context):
        watcher.on_connection(reused=False)


async def _on_reused(
    _session: object, context: SimpleNamespace, _params: object
) -> None:
    if watcher := _watcher(context):
        watcher.on_connection(reused=True)


async def _on_headers(
    _session: object, context: SimpleNamespace, _params: object
) -> None:
    if watcher := _watcher(context):
        watcher.on_headers()


async def _on_chunk(
    _session: object,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestChunkSentParams,
) -> None:
    if watcher := _watcher(context):
        watcher.on_body(len(params.chunk))


def _make_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_on_connected)
    trace.on_connection_reuseconn.append(_on_reused)
    trace.on_request_headers_sent.append(_on_headers)
    trace.on_request_chunk_sent.append(_on_chunk)
    return trace


TRACE = _make_trace()  # Feeds the watcher given as ``trace_request_ctx``.


def make_session(
    *,
    connect_timeout: float = CONNECT_TIMEOUT,
    total_timeout: float | None = TOTAL_TIMEOUT,
    reuse_connections: bool = True,
    idle_timeout: float = IDLE_TIMEOUT,
    attempt_header: str = ATTEMPT_HEADER,
    unanswered_timeout: float | None = None,
) -> aiohttp.ClientSession:
    """Opens a session that sends each request at most once.

    Args:
        connect_timeout: Seconds to open a connection.
        total_timeout: Seconds for a whole call unless the call says
            otherwise; None for no bound.
        reuse_connections: False opens a connection for each request, which
            rules out that a stale one leaves the outcome unknown.
        idle_timeout: Seconds that an unused connection is kept.
        attempt_header: Names the attempt, in requests and answers.
        unanswered_timeout: Seconds that sent bytes may stay unacknowledged
            before the connection counts as lost; None for the system's.

    Returns:
        The session; the caller closes it.
    """
    connector = QuietConnector(
        limit=MAX_CONNECTIONS,
        keepalive_timeout=idle_timeout if reuse_connections else None,
        force_close=not reuse_connections,
        socket_factory=_socket_factory(unanswered_timeout),
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
        response_class=_response_class(attempt_header),
        trace_configs=[TRACE],
    )
    _send_once(session)
    return session


def _socket_factory(
    unanswered_timeout: float | None,
) -> Callable[[aiohappyeyeballs.AddrInfoType], socket.socket] | None:
    """Returns what opens sockets that notice a lost peer in time."""
    if unanswered_timeout is None:
        return None
    timeout_ms = int(unanswered_timeout * 1000)

    def open_socket(address: aiohappyeyeballs.AddrInfoType) -> socket.socket:
        family, kind, protocol, _, _ = address
        opened = socket.socket(family, kind, protocol)
        opened.setblocking(False)
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )
        return opened

    return open_socket


def _send_once(session: aiohttp.ClientSession) -> None:
    """Keeps ``session`` from sending a request again by itself.

    aiohttp has no public switches for a whole session; tests prove these.
    """
    request = session._request

    async def request_once(*words: Any, **options: Any) -> Any:
        return await request(*words, **{**options, "allow_redirects": False})

    session._request = request_once  # type: ignore[method-assign]
    session._retry_connection = False
