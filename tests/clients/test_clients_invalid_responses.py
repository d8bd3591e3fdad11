"""Responses that are no valid HTTP, as all clients see them.

Guards against taking such a response for a success.
"""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import ended_exchange
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import exchange
from hoistmoor.clients import exchange_errors
from hoistmoor.clients import hosts
from hoistmoor.clients import service_client
from hoistmoor.core import outcomes
from hoistmoor.core import response_heads

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    import aiohttp

ATTEMPT = "h1.2.3.1"
FIELDS = b"X-Attempt-Id: h1.2.3.1\r\n"
BODY = b'{"hosts":[]}'
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)
OK = b"HTTP/1.1 200 OK\r\n"
Fault = response_heads.ResponseFault
State = outcomes.ExchangeState

INVALID = {
    "status_000": (b"HTTP/1.1 000 OK\r\n" + FIELDS + LENGTH, Fault.STATUS_LINE),
    "status_101": (b"HTTP/1.1 101 OK\r\n" + FIELDS + LENGTH, Fault.STATUS_LINE),
    "version": (b"HTTP/2.0 200 OK\r\n" + FIELDS + LENGTH, Fault.STATUS_LINE),
    "folded_line": (
        OK + FIELDS + b"X-A: a\r\n b\r\n" + LENGTH,
        Fault.FOLDED_LINE,
    ),
    "control_character": (
        OK + FIELDS + b"X-A: a\x01b\r\n" + LENGTH,
        Fault.CONTROL_CHARACTER,
    ),
    "transfer_coding": (
        OK + FIELDS + b"Transfer-Encoding: gzip\r\n\r\n",
        Fault.TRANSFER_CODING,
    ),
}


def make_handler(
    head: bytes, body: bytes = BODY
) -> Callable[[bytes, asyncio.StreamWriter], Any]:
    """Returns a handler that sends a response and ends the connection."""

    async def respond(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(head + body)
        await writer.drain()
        writer.close()

    return respond


def open_exchange(
    session: aiohttp.ClientSession, address: str
) -> exchange.Exchange:
    """Returns an exchange with a server."""
    request = exchange.HttpRequest("POST", f"http://{address}/x", ATTEMPT)
    return exchange.Exchange(session, request)


def fault_of(
    ended: ended_exchange.EndedExchange,
) -> response_heads.ResponseFault | None:
    """Returns the fault with which an exchange ended."""
    invalid = exchange_errors.BackendInvalidResponseError
    return ended.error.fault if isinstance(ended.error, invalid) else None


@pytest.mark.parametrize(
    ("head", "fault"), INVALID.values(), ids=INVALID.keys()
)
async def test_an_exchange_rejects_an_invalid_head(
    session: aiohttp.ClientSession,
    make_backend: Callable[..., Any],
    head: bytes,
    fault: response_heads.ResponseFault,
) -> None:
    backend = await make_backend(make_handler(head))
    sent = open_exchange(session, backend.address)
    ended = await ended_exchange.run(sent)
    assertions.assert_that(sent.state, matchers.Is(State.SENT))
    assertions.assert_that(fault_of(ended), matchers.Is(fault))


async def test_every_valid_status_passes(
    session: aiohttp.ClientSession, make_backend: Callable[..., Any]
) -> None:
    async def respond(request: bytes, writer: asyncio.StreamWriter) -> None:
        status = request.partition(b"?")[2][:3]
        head = b"HTTP/1.1 %b\r\n" % status + FIELDS
        if status not in (b"204", b"304"):
            head += b"Content-Length: 4\r\n\r\nbody"
        writer.write(head + b"\r\n" * (status in (b"204", b"304")))
        await writer.drain()

    backend = await make_backend(respond)
    for status in range(200, 600):
        url = f"http://{backend.address}/x?{status}"
        request = exchange.HttpRequest("POST", url, ATTEMPT)
        sent = exchange.Exchange(session, request)
        ended = await ended_exchange.run(sent)
        assertions.assert_that(sent.state, matchers.Is(State.ANSWERED))
        (head, *_) = ended.parts
        assert isinstance(head, exchange.ResponseHead)
        assertions.assert_that(head.status, matchers.Equals(status))
        body = b"" if status in (204, 304) else b"body"
        assertions.assert_that(b"".join(ended.chunks), matchers.Equals(body))


async def test_an_exchange_with_invalid_chunks_is_incomplete(
    session: aiohttp.ClientSession, make_backend: Callable[..., Any]
) -> None:
    head = OK + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
    body = b"4\r\nwell\r\n5\r\nfake\r\n0\r\n\r\n"
    backend = await make_backend(make_handler(head, body))
    sent = open_exchange(session, backend.address)
    ended = await ended_exchange.run(sent)
    assertions.assert_that(
        sent.state, matchers.Not(matchers.Is(State.ANSWERED))
    )
    assertions.assert_that(fault_of(ended), matchers.Is(Fault.CHUNK))


@pytest.mark.parametrize(
    "head", [head for head, _ in INVALID.values()], ids=INVALID.keys()
)
async def test_a_call_of_a_service_rejects_an_invalid_head(
    session: aiohttp.ClientSession,
    make_backend: Callable[..., Any],
    head: bytes,
) -> None:
    backend = await make_backend(make_handler(head))
    client = hosts.HostListClient(session, f"http://{backend.address}")
    with pytest.raises(service_client.ServiceUnavailableError):
        await client.fetch()
