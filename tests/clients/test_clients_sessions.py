"""Tests that sessions send once and never mix up responses."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, TYPE_CHECKING

import aiohttp
import ended_exchange
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import exchange
from hoistmoor.clients import response_handler
from hoistmoor.clients import sessions
from hoistmoor.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

RESPONSE = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nContent-Length: 2\r\n\r\n%b"


def attempt_of(request: bytes) -> bytes:
    lines = request.split(b"\r\n")
    name = b"x-attempt-id: "
    found = [line for line in lines if line.lower().startswith(name)]
    return found[0][len(name) :]


async def send_get(
    session: aiohttp.ClientSession, address: str, attempt: str
) -> tuple[outcomes.ExchangeState, bytes]:
    """Sends a GET; returns its final state and the received body."""
    request = exchange.HttpRequest("GET", f"http://{address}/", attempt)
    opened = exchange.Exchange(session, request)
    ended = await ended_exchange.run(opened)
    return opened.state, b"".join(ended.chunks)


async def close_after_first(
    request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Responds to attempt 1 and closes the connection on any other."""
    if attempt_of(request) == b"1":
        writer.write(RESPONSE % (b"1", b"ab"))
        return
    writer.close()


@pytest.mark.parametrize(
    ("library_resends", "requests"),
    # True shows that aiohttp would send again and that this test detects it.
    [(False, 2), (True, 3)],
)
async def test_requests_on_closed_reused_connections_are_not_resent(
    session: aiohttp.ClientSession,
    make_backend: Callable[..., Any],
    library_resends: bool,
    requests: int,
) -> None:
    backend = await make_backend(close_after_first)
    session._retry_connection = session._retry_connection or library_resends
    await send_get(session, backend.address, "1")
    state, _ = await send_get(session, backend.address, "2")
    assertions.assert_that(state, matchers.Is(outcomes.ExchangeState.SENT))
    assertions.assert_that(backend.requests, matchers.HasLength(requests))


@pytest.mark.parametrize("method", ["GET", "POST", "PUT"])
async def test_no_session_follows_redirects(
    session: aiohttp.ClientSession,
    make_backend: Callable[..., Any],
    method: str,
) -> None:
    async def redirect(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /other\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    backend = await make_backend(redirect)
    send = getattr(session, method.lower())
    async with send(f"http://{backend.address}/") as response:
        assertions.assert_that(response.status, matchers.Equals(307))
    assertions.assert_that(backend.requests, matchers.HasLength(1))


class LateBackend:
    """Responds to each request, and on demand without a request."""

    def __init__(self) -> None:
        self.writer: asyncio.StreamWriter | None = None

    async def respond(
        self, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Responds to a request at once."""
        self.writer = writer
        writer.write(RESPONSE % (attempt_of(request), b"ok"))

    async def send_late(self, session: aiohttp.ClientSession) -> None:
        """Sends an outdated response and waits until the client has it."""
        assert self.writer is not None
        self.writer.write(RESPONSE % (b"0", b"no"))
        async with asyncio.timeout(10):
            while not any(
                entry[0].should_close
                for idle in session.connector._conns.values()
                for entry in idle
            ):
                await asyncio.sleep(0)


async def test_late_responses_are_not_taken_for_the_next_request(
    session: aiohttp.ClientSession, make_backend: Callable[..., Any]
) -> None:
    late = LateBackend()
    backend = await make_backend(late.respond)
    for attempt in ("1", "2", "3"):
        result = await send_get(session, backend.address, attempt)
        assertions.assert_that(
            result, matchers.Equals((outcomes.ExchangeState.ANSWERED, b"ok"))
        )
        await late.send_late(session)
    assertions.assert_that(backend.connections, matchers.Equals(3))


async def test_late_responses_on_reused_connections_are_dropped(
    session: aiohttp.ClientSession,
    make_backend: Callable[..., Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        sessions.IdleCheckConnector, "_get", aiohttp.TCPConnector._get
    )
    # A connection with such a response is closed at once, too.
    monkeypatch.setattr(
        response_handler.ResponseHandler, "_close", lambda _: None
    )
    late = LateBackend()
    backend = await make_backend(late.respond)
    await send_get(session, backend.address, "1")
    await late.send_late(session)
    state, body = await send_get(session, backend.address, "2")
    assertions.assert_that(body, matchers.Equals(b""))
    assertions.assert_that(
        outcomes.OUTCOME_BY_STATE[state],
        matchers.Is(outcomes.Outcome.UNKNOWN),
    )


async def test_sessions_without_reuse_connect_each_time(
    make_backend: Callable[..., Any],
) -> None:
    async def respond(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(RESPONSE % (attempt_of(request), b"ok"))

    backend = await make_backend(respond)
    async with sessions.make_session(reuse_connections=False) as session:
        for attempt in ("1", "2"):
            await send_get(session, backend.address, attempt)
    assertions.assert_that(backend.connections, matchers.Equals(2))


async def test_socket_options_of_a_session_with_a_bound_on_lost_peers(
    make_backend: Callable[..., Any],
) -> None:
    # On Linux, TCP_USER_TIMEOUT also decides when keep-alive probes give up.
    # No keep-alive is on, so that a server which is silent for a second while
    # it works keeps its connection.
    connections: list[socket.socket] = []

    async def respond(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(RESPONSE % (attempt_of(request), b"ab"))

    backend = await make_backend(respond)
    async with sessions.make_session(unacknowledged_timeout=2.0) as session:
        connector: Any = session.connector
        open_socket = connector._socket_factory

        def record(address: Any) -> socket.socket:
            connections.append(open_socket(address))
            return connections[-1]

        connector._socket_factory = record
        await send_get(session, backend.address, "1")
        (opened,) = connections
        options = [
            opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        ]
    assertions.assert_that(options, matchers.Equals([2000, 0]))
