"""A link to the store that makes one write of a runner late.

It passes calls on one by one. Once armed, the next heartbeat that says
``ready`` gets no answer, and the store executes it some seconds later.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any


class LateStoreLink:
    """A proxy before the store.

    Attributes:
        address: ``ip:port`` of the proxy.
        armed: Whether the next ready heartbeat is to be late.
        held_at: Unix time at which that heartbeat was held.
        executed_at: Unix time at which the store executed it.
        held: Set once a heartbeat was held.
    """

    def __init__(self, store: str, delay: float) -> None:
        self.address = ""
        self.armed = False
        self.held_at: float | None = None
        self.executed_at: float | None = None
        self.held = asyncio.Event()
        self._store = store
        self._delay = delay
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            _, _, rest = head.lower().partition(b"content-length: ")
            body = await reader.readexactly(int(rest.partition(b"\r\n")[0]))
            if self.armed and b'"state": "ready"' in body:
                self.armed = False
                self.held_at = time.time()
                self.held.set()
                task = asyncio.create_task(self._execute(head + body))
                self._tasks.add(task)
            else:
                writer.write(await self._call(head + body))
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()

    async def _execute(self, call: bytes) -> None:
        await asyncio.sleep(self._delay)
        await self._call(call)
        self.executed_at = time.time()

    async def _call(self, call: bytes) -> bytes:
        ip, _, port = self._store.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(call)
        answer = await reader.read()
        writer.close()
        return answer
