"""Fixtures of the relay's tests: a platform in memory, servers, a relay."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import os
from typing import Any, TYPE_CHECKING

import aiohttp
import attrs
import pytest
import relay_parts
import relay_platform

from hoistmoor.clients import sessions
from hoistmoor.relay import application
from hoistmoor.relay import serving
from hoistmoor.relay import settings as settings_lib
from hoistmoor.relay.front import links as links_lib
from hoistmoor.relay.store import followers

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib

PATIENCE = 20.0  # Seconds; only a hang of a busy machine comes near.

Answer = Callable[["Backend", bytes, asyncio.StreamWriter], Awaitable[None]]


@attrs.define
class Backend:
    """A backend server whose answers are written byte by byte.

    Attributes:
        answer: Called with each request that came whole.
        address: ``ip:port``.
        requests: The requests that came whole, as bytes.
        left: Set when the peer closes a connection.
    """

    answer: Answer
    address: str = ""
    requests: list[bytes] = attrs.field(factory=list)
    left: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reads requests off one connection and has them answered."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                size = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        size = int(line.split(b":")[1])
                body = await reader.readexactly(size)
                self.requests.append(head + body)
                await self.answer(self, head + body, writer)
        self.left.set()
        writer.close()


@attrs.define
class Harness:
    """A relay, its platform and its callers.

    Attributes:
        platform: The platform in memory.
        relay: The relay.
        base: URL at which it serves callers.
        ready: URL of the balancer's question.
        caller: Session of callers.
        stop: Stops the relay.
        backends: Backend servers by name.
    """

    platform: relay_platform.MemoryPlatform
    relay: application.Relay
    base: str
    ready: str
    caller: aiohttp.ClientSession
    stop: asyncio.Event
    backends: contextlib.AsyncExitStack

    @property
    def state(self) -> state_lib.RelayState:
        """What the relay knows."""
        return self.relay.state

    async def add_backend(
        self, server_id: str, answer: Answer, **fields: Any
    ) -> Backend:
        """Starts a backend server and lists it."""
        backend = Backend(answer)
        server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
        self.backends.callback(server.close)
        ip, port = server.sockets[0].getsockname()
        backend.address = f"{ip}:{port}"
        entry = relay_parts.entry(server_id, address=backend.address, **fields)
        await self.platform.publish(self.platform.servers, server_id, entry)
        await self.until(lambda: server_id in self.state.router.fleet.servers)
        return backend

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                await asyncio.sleep(0.01)

    def call(
        self, path: str, method: str = "POST", **options: Any
    ) -> aiohttp.client._RequestContextManager:
        """Calls the relay as the account's holder does."""
        headers = {
            "Host": "shop.example",
            "X-Request-Id": "r1",
            "X-Deadline-Ms": "15000",
            "Authorization": "Bearer key1",
            **options.pop("headers", {}),
        }
        return self.caller.request(
            method, self.base + path, headers=headers, **options
        )


@pytest.fixture
async def harness(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[Harness]:
    """A relay that has read its configuration."""
    monkeypatch.setattr(followers, "SERVERS_PAUSE", 0.02)
    monkeypatch.setattr(followers, "OPERATOR_WAIT", 0.2)
    monkeypatch.setattr(serving, "TAKE_ON", 0.1)
    # The lines go nowhere; pytest's own capture cannot be made non-blocking.
    nowhere = os.open(os.devnull, os.O_WRONLY)
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", nowhere)
    platform = relay_platform.MemoryPlatform()
    await platform.publish(platform.operator, "config", relay_parts.in_force())
    settings = settings_lib.RelaySettings(
        host="h1",
        zone="north",
        listen="127.0.0.1:0",
        ready_listen="127.0.0.1:0",
    )
    stop = asyncio.Event()
    async with contextlib.AsyncExitStack() as stack:
        kept, fresh = [
            await stack.enter_async_context(
                sessions.make_session(
                    total_timeout=None,
                    attempt_header="X-Request-Id",
                    reuse_connections=reuses,
                )
            )
            for reuses in (True, False)
        ]
        caller = await stack.enter_async_context(aiohttp.ClientSession())
        relay = application.Relay(
            settings,
            platform.as_port(),
            links_lib.BackendSessions(kept, fresh),
            kept,
            lambda: settings,
        )
        task = asyncio.create_task(relay.serve(stop))
        async with asyncio.timeout(PATIENCE):
            while len(relay.addresses) < 2:
                await asyncio.sleep(0.01)
        callers, ready = relay.addresses
        made = Harness(
            platform,
            relay,
            f"http://{callers}",
            f"http://{ready}",
            caller,
            stop,
            stack,
        )
        await made.until(relay.state.is_ready)
        yield made
        stop.set()
        async with asyncio.timeout(PATIENCE):
            await task
    os.close(nowhere)
