"""Fixtures for relay tests: an in-memory platform, servers and a relay."""

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
from hoistmoor.relay import relay_server
from hoistmoor.relay import settings as settings_lib
from hoistmoor.relay.front import backend_connector as backend_connector_lib
from hoistmoor.relay.store import followers

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib

PATIENCE = 20.0  # Seconds; only reached if a test hangs on a busy machine.

Responder = Callable[["Backend", bytes, asyncio.StreamWriter], Awaitable[None]]


@attrs.define
class Backend:
    """A backend server that writes raw response bytes.

    Attributes:
        answer: Called with each complete request to write the response.
        address: ``ip:port`` of the server.
        requests: Raw bytes of each complete request.
        left: Set when the peer closes a connection.
    """

    answer: Responder
    address: str = ""
    requests: list[bytes] = attrs.field(factory=list)
    left: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reads the requests of one connection and responds to them."""
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
    """A relay with its platform and callers.

    Attributes:
        platform: The in-memory platform.
        relay: The relay under test.
        base: URL at which the relay serves callers.
        ready: URL of the readiness probe.
        caller: HTTP session of the callers.
        stop: Stops the relay when set.
        backends: Closes the backend servers on exit.
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
        """State of the relay."""
        return self.relay.state

    async def add_backend(
        self, server_id: str, answer: Responder, **fields: Any
    ) -> Backend:
        """Starts and registers a backend server."""
        backend = Backend(answer)
        server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
        self.backends.callback(server.close)
        ip, port = server.sockets[0].getsockname()
        backend.address = f"{ip}:{port}"
        entry = relay_parts.make_entry(
            server_id, address=backend.address, **fields
        )
        await self.platform.publish(self.platform.servers, server_id, entry)
        await self.until(lambda: server_id in self.state.router.fleet.servers)
        return backend

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                await asyncio.sleep(0.01)

    def call(
        self, path: str, method: str = "POST", **options: Any
    ) -> aiohttp.client._RequestContextManager:
        """Calls the relay with the key of the client account."""
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
    """A ready relay that has loaded its configuration."""
    monkeypatch.setattr(followers, "SERVERS_PAUSE", 0.02)
    monkeypatch.setattr(followers, "OPERATOR_WAIT", 0.2)
    monkeypatch.setattr(relay_server, "DRAIN_SECONDS", 0.1)
    # Event lines go to /dev/null, since the file that pytest captures output
    # with cannot be made non-blocking.
    null_device = os.open(os.devnull, os.O_WRONLY)
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", null_device)
    platform = relay_platform.MemoryPlatform()
    await platform.publish(
        platform.operator, "config", relay_parts.make_configuration()
    )
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
                    reuse_connections=reuse_connections,
                )
            )
            for reuse_connections in (True, False)
        ]
        caller = await stack.enter_async_context(aiohttp.ClientSession())
        relay = application.Relay(
            settings,
            platform.as_port(),
            backend_connector_lib.BackendSessions(kept, fresh),
            kept,
            lambda: settings,
        )
        task = asyncio.create_task(relay.serve(stop))
        async with asyncio.timeout(PATIENCE):
            while len(relay.addresses) < 2:
                await asyncio.sleep(0.01)
        caller_address, ready = relay.addresses
        opened = Harness(
            platform,
            relay,
            f"http://{caller_address}",
            f"http://{ready}",
            caller,
            stop,
            stack,
        )
        await opened.until(relay.state.is_ready)
        yield opened
        stop.set()
        async with asyncio.timeout(PATIENCE):
            await task
    os.close(null_device)
