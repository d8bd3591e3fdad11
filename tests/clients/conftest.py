"""Fixtures for client tests: sessions and misbehaving backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
from typing import TYPE_CHECKING

import attrs
import pytest

from hoistmoor.clients import sessions

if TYPE_CHECKING:
    import aiohttp


@attrs.define
class RawBackend:
    """A TCP server whose handler writes raw HTTP responses.

    Attributes:
        respond: Called with each complete request.
        address: ``ip:port``.
        requests: The complete requests received, as bytes.
        connections: Number of accepted connections.
        closed: Set when a connection has ended.
    """

    respond: Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]
    address: str = ""
    requests: list[bytes] = attrs.field(factory=list)
    connections: int = 0
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reads requests from a connection and passes them to the handler."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while not writer.is_closing():
                request = await _read_request(reader)
                self.requests.append(request)
                await self.respond(request, writer)
        self.closed.set()
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.split(b":")[1])
    return head + await reader.readexactly(size)


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with sessions.make_session() as opened:
        yield opened


BackendMaker = Callable[
    [Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]],
    Awaitable[RawBackend],
]


@pytest.fixture
async def make_backend() -> AsyncIterator[BackendMaker]:
    async with contextlib.AsyncExitStack() as stack:

        async def make(
            respond: Callable[[bytes, asyncio.StreamWriter], Awaitable[None]],
        ) -> RawBackend:
            backend = RawBackend(respond)
            server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
            stack.callback(server.close)
            host, port = server.sockets[0].getsockname()
            backend.address = f"{host}:{port}"
            return backend

        yield make
