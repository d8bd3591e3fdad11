"""Tests the exchange state when the backend server fails at each point."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

import aiohttp
from aiohttp import helpers
import ended_exchange
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import exchange
from hoistmoor.clients import exchange_errors
from hoistmoor.clients import sessions
from hoistmoor.core import errors
from hoistmoor.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

State = outcomes.ExchangeState

ATTEMPT = "h1.2.3.1"
ECHO = b"X-Attempt-Id: " + ATTEMPT.encode() + b"\r\n"
OTHER = b"X-Attempt-Id: h9.2.3.1\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
CONTENT_LENGTH_4 = b"Content-Length: 4\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n" + CHUNKED
# Long timeouts avoid failures on a busy machine; only tests of silent servers
# use a short one.
LONG_TIMEOUTS = exchange.Timeouts(connect=30.0)
SHORT_TIMEOUTS = exchange.Timeouts(connect=30.0, read=0.2)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(text: bytes, attempt: str = ATTEMPT) -> bytes:
    frame = b'data: {"attempt_id":"%b","t":"%b"}\n\n'
    return chunk(frame % (attempt.encode(), text))


DONE = chunk(b"data: [DONE]\n\n")
LAST_CHUNK = b"0\r\n\r\n"


def make_request(address: str, method: str = "POST") -> exchange.HttpRequest:
    return exchange.HttpRequest(
        method, f"http://{address}/confirm", ATTEMPT, body=b'{"id":"1"}'
    )


def make_handler(data: bytes, end: str = "close") -> Callable:
    """Returns a handler that sends ``data``, then ends the connection."""

    async def respond(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        if end == "close":
            writer.close()
        if end == "abort":
            writer.transport.abort()

    return respond


Cut = exchange_errors.BackendDisconnectedError
Timeout = exchange_errors.BackendTimeoutError
Protocol = exchange_errors.BackendProtocolError

CASES = {
    # Data sent, end of the connection, expected state, expected error.
    "before the response": (b"", "close", State.SENT, Cut),
    "reset before the response": (b"", "abort", State.SENT, Cut),
    "silent": (b"", "keep", State.SENT, Timeout),
    "incomplete head": (OK + b"Content-Le", "close", State.SENT, Cut),
    "not HTTP": (b"hello\r\n\r\n", "close", State.SENT, Cut),
    "after the head": (
        OK + ECHO + CONTENT_LENGTH_4,
        "close",
        State.ANSWERING,
        Cut,
    ),
    "silent after the head": (
        OK + ECHO + CONTENT_LENGTH_4,
        "keep",
        State.ANSWERING,
        Timeout,
    ),
    "mid-body": (
        OK + ECHO + CONTENT_LENGTH_4 + b"ab",
        "close",
        State.ANSWERING,
        Cut,
    ),
    "reset mid-body": (
        OK + ECHO + CONTENT_LENGTH_4 + b"ab",
        "abort",
        State.ANSWERING,
        Cut,
    ),
    "between chunks": (
        OK + ECHO + CHUNKED + chunk(b"ab"),
        "close",
        State.ANSWERING,
        Cut,
    ),
    "body without a length": (
        OK + ECHO + b"Connection: close\r\n\r\nabcd",
        "close",
        State.ANSWERING,
        Cut,
    ),
    "before the end marker": (
        OK + ECHO + EVENTS + event(b"a") + LAST_CHUNK,
        "keep",
        State.ANSWERING,
        Cut,
    ),
    "mid-event": (
        OK + ECHO + EVENTS + chunk(b"data: [DO"),
        "close",
        State.ANSWERING,
        Cut,
    ),
    "after the end marker": (
        OK + ECHO + EVENTS + event(b"a") + DONE,
        "close",
        State.ANSWERED,
        None,
    ),
    "complete": (
        OK + ECHO + CONTENT_LENGTH_4 + b"abcd",
        "keep",
        State.ANSWERED,
        None,
    ),
    "empty": (
        b"HTTP/1.1 204 No Content\r\n" + ECHO + b"\r\n",
        "keep",
        State.ANSWERED,
        None,
    ),
    "declined": (
        REFUSED + ECHO + CONTENT_LENGTH_4 + b"busy",
        "keep",
        State.DECLINED,
        None,
    ),
    "declined, then closed": (
        REFUSED + ECHO + CONTENT_LENGTH_4,
        "close",
        State.DECLINED,
        None,
    ),
    "other attempt declined": (
        REFUSED + OTHER + CONTENT_LENGTH_4 + b"busy",
        "keep",
        State.SENT,
        Protocol,
    ),
    "other attempt": (
        OK + OTHER + CONTENT_LENGTH_4 + b"abcd",
        "keep",
        State.SENT,
        Protocol,
    ),
    "success marked as not run": (
        OK + b"X-Not-Run: 1\r\n" + ECHO + CONTENT_LENGTH_4 + b"abcd",
        "keep",
        State.ANSWERED,
        None,
    ),
}


@pytest.mark.parametrize("name", CASES)
async def test_state_at_each_point(
    session: aiohttp.ClientSession, make_backend: Callable[..., Any], name: str
) -> None:
    data, end, state, error = CASES[name]
    backend = await make_backend(make_handler(data, end))
    timeouts = SHORT_TIMEOUTS if error is Timeout else LONG_TIMEOUTS
    opened = exchange.Exchange(session, make_request(backend.address), timeouts)
    ended = await ended_exchange.run(opened)
    assertions.assert_that(opened.state, matchers.Is(state))
    assertions.assert_that(type(ended.error), matchers.Is(error or type(None)))
    assertions.assert_that(
        exchange.ResponseEnd() in ended.parts, matchers.Equals(error is None)
    )
    assertions.assert_that(backend.requests, matchers.HasLength(1))


async def test_refused_connection_leaves_the_request_unsent(
    session: aiohttp.ClientSession,
) -> None:
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    server.close()
    await server.wait_closed()
    opened = exchange.Exchange(session, make_request(f"{host}:{port}"))
    ended = await ended_exchange.run(opened)
    assertions.assert_that(opened.state, matchers.Is(State.UNSENT))
    assertions.assert_that(
        ended.error,
        matchers.IsInstance(exchange_errors.BackendUnreachableError),
    )


async def test_connection_pool_timeout_leaves_the_request_unsent(
    make_backend: Callable[..., Any],
) -> None:
    is_received = asyncio.Event()

    async def block(_: bytes, writer: asyncio.StreamWriter) -> None:
        is_received.set()
        await asyncio.Event().wait()

    backend = await make_backend(block)
    async with sessions.make_session() as session:
        session.connector._limit = 1
        first = asyncio.create_task(
            ended_exchange.run(
                exchange.Exchange(
                    session, make_request(backend.address), LONG_TIMEOUTS
                )
            )
        )
        await is_received.wait()
        opened = exchange.Exchange(
            session,
            make_request(backend.address),
            exchange.Timeouts(connect=0.05),
        )
        ended = await ended_exchange.run(opened)
        first.cancel()
    assertions.assert_that(opened.state, matchers.Is(State.UNSENT))
    assertions.assert_that(
        ended.error,
        matchers.IsInstance(exchange_errors.BackendUnreachableError),
    )
    assertions.assert_that(backend.requests, matchers.HasLength(1))


async def test_reset_on_accept_is_unknown(
    session: aiohttp.ClientSession,
) -> None:
    server = await asyncio.start_server(
        lambda _, writer: writer.transport.abort(), "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    opened = exchange.Exchange(session, make_request(f"{host}:{port}"))
    ended = await ended_exchange.run(opened)
    server.close()
    assertions.assert_that(ended.error, matchers.IsInstance(Cut))
    assertions.assert_that(
        outcomes.OUTCOME_BY_STATE[opened.state],
        matchers.Is(outcomes.Outcome.UNKNOWN),
    )


async def test_frames_of_other_attempts_are_dropped(
    session: aiohttp.ClientSession, make_backend: Callable[..., Any]
) -> None:
    stream = event(b"a") + event(b"x", "h9.2.3.1") + event(b"b") + DONE
    backend = await make_backend(
        make_handler(OK + ECHO + EVENTS + stream + LAST_CHUNK, "keep")
    )
    opened = exchange.Exchange(
        session, make_request(backend.address), LONG_TIMEOUTS
    )
    texts = (await ended_exchange.run(opened)).chunks
    assertions.assert_that(texts, matchers.HasLength(3))
    assertions.assert_that(
        b"".join(texts), matchers.Not(matchers.Contains(b"h9.2.3.1"))
    )
    assertions.assert_that(opened.dropped_parts, matchers.Equals(1))


@pytest.mark.parametrize(
    ("response", "connections"),
    [
        (OK + ECHO + CONTENT_LENGTH_4 + b"abcd", 1),
        # Without an attempt id, a late response could not be recognized.
        (OK + CONTENT_LENGTH_4 + b"abcd", 2),
    ],
)
async def test_only_echoing_connections_are_reused(
    session: aiohttp.ClientSession,
    make_backend: Callable[..., Any],
    response: bytes,
    connections: int,
) -> None:
    backend = await make_backend(make_handler(response, "keep"))
    for _ in range(2):
        opened = exchange.Exchange(
            session, make_request(backend.address), LONG_TIMEOUTS
        )
        await ended_exchange.run(opened)
        assertions.assert_that(opened.state, matchers.Is(State.ANSWERED))
    assertions.assert_that(backend.connections, matchers.Equals(connections))


async def test_leaving_the_block_early_closes_the_connection(
    session: aiohttp.ClientSession, make_backend: Callable[..., Any]
) -> None:
    backend = await make_backend(
        make_handler(OK + ECHO + EVENTS + event(b"a"), "keep")
    )
    opened = exchange.Exchange(
        session, make_request(backend.address), LONG_TIMEOUTS
    )
    async with opened:
        async for part in opened:
            if isinstance(part, exchange.BodyChunk):
                break
    async with asyncio.timeout(10):
        await backend.closed.wait()
    assertions.assert_that(opened.state, matchers.Is(State.ANSWERING))


async def test_a_session_without_tracing_is_rejected() -> None:
    async with aiohttp.ClientSession() as plain:
        with pytest.raises(errors.ConfigurationError):
            exchange.Exchange(plain, make_request("127.0.0.1:1"))


async def test_a_long_time_limit_ends_on_time(
    session: aiohttp.ClientSession, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Limits of more than five seconds ended up to a second late.
    seen: list[aiohttp.ClientTimeout] = []

    async def record(*_: Any, **options: Any) -> None:
        seen.append(options["timeout"])
        raise aiohttp.ClientConnectionError

    monkeypatch.setattr(session, "_request", record)
    attempt = exchange.Exchange(
        session, make_request("127.0.0.1:1"), exchange.Timeouts(total=6.3)
    )
    with pytest.raises(exchange_errors.ExchangeError):
        async for _ in attempt:
            pass
    due = helpers.calculate_timeout_when(100.2, 6.3, seen[0].ceil_threshold)
    assertions.assert_that(due, matchers.Equals(106.5))
