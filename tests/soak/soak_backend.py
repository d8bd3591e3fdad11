"""A backend server of the soak, as a process of its own.

    python tests/soak/soak_backend.py ID SERVICE LISTEN LISTED STORE

It lists itself in the store under the address LISTED, tells on standard
output each run that it begins, and answers with bytes that name the request.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time

import aiohttp
from aiohttp import web
import orjson

HEARTBEAT = 1.0  # Seconds between two entries.
EVENTS = 5  # Of each stream.
PAUSE = 0.04  # Seconds between two events.
CRASH_PATH = "/stream/crash"  # A request that ends whoever runs it.
WORK = 0.02  # Seconds of a plain request.
# Of each so many seconds one server names a limit in the first few, and what is
# no limit in the next one. No request ends the other server of its service, so
# callers are to be served all the time once all is calm.
LIMITED = "i-desk-1"
LIMIT_PERIOD = 8.0
LIMITED_FOR = 3.0
UNREADABLE_FOR = 1.0
LIMIT = "4.5"
NO_LIMIT = "soon"

_HEADERS = "Hoistmoor-Request-Id", "Hoistmoor-Tenant", "Hoistmoor-Deadline-Ms"


def body_of(request_id: str) -> bytes:
    """Returns the answer to a plain request."""
    return f"answer to {request_id}\n".encode() * 20


def event_of(request_id: str, number: int) -> bytes:
    """Returns one event of the answer to a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def limit_headers(server_id: str, now: float) -> dict[str, str]:
    """Returns what a server names as its limit, if anything."""
    if server_id != LIMITED:
        return {}
    phase = now % LIMIT_PERIOD
    if phase < LIMITED_FOR:
        return {"Server-Limit": LIMIT}
    if phase < LIMITED_FOR + UNREADABLE_FOR:
        return {"Server-Limit": NO_LIMIT}
    return {}


class Backend:
    """Runs requests and tells each on standard output."""

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Runs one request."""
        request_id, tenant, left = (
            request.headers.get(name, "") for name in _HEADERS
        )
        if request.headers.get("Hoistmoor-Expected-Instance") != self.server_id:
            return web.Response(
                status=421, headers={"Hoistmoor-Request-Id": request_id}
            )
        self._tell(request, request_id, tenant, left)
        if request.path == CRASH_PATH:
            os._exit(1)
        headers = {
            "Hoistmoor-Request-Id": request_id,
            "Hoistmoor-Response-Signature": "soak",
            "Hoistmoor-Instance-Load": "1,0,8",
            **limit_headers(self.server_id, time.monotonic()),
        }
        if request.path.startswith("/stream/"):
            return await self._stream(request, request_id, headers)
        await asyncio.sleep(WORK)
        return web.Response(body=body_of(request_id), headers=headers)

    def _tell(
        self, request: web.Request, request_id: str, tenant: str, left: str
    ) -> None:
        run = {
            "run": request_id,
            "at": time.monotonic(),
            "server": self.server_id,
            "path": request.path,
            "tenant": tenant,
            "left_ms": left,
            "key": request.headers.get("Authorization", ""),
        }
        sys.stdout.buffer.write(orjson.dumps(run) + b"\n")
        sys.stdout.buffer.flush()

    async def _stream(
        self, request: web.Request, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        answer = web.StreamResponse(
            headers={**headers, "Content-Type": "text/event-stream"}
        )
        answer.enable_chunked_encoding()
        await answer.prepare(request)
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(PAUSE)
            await answer.write(event_of(request_id, number))
        await answer.write_eof()
        return answer


async def keep_listed(
    server_id: str, service: str, listed: str, store: str
) -> None:
    """Writes the entry again and again; the store may be away."""
    entry = orjson.dumps(
        {
            "service": service,
            "address": listed,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            # Each start of a server is another server.
            "born": int(time.time() * 1000),
        }
    )
    url = f"http://{store}/admin/put"
    query = {"topic": "keyed.servers", "key": server_id}
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.post(url, params=query, data=entry):
                    pass
            except aiohttp.ClientError as error:
                sys.stderr.write(f"{server_id} is not listed: {error}\n")
            await asyncio.sleep(HEARTBEAT)


async def serve(words: list[str]) -> None:
    """Serves until the process is ended."""
    server_id, service, listen, listed, store = words
    ip, _, port = listen.rpartition(":")
    runner = web.ServerRunner(
        web.Server(Backend(server_id).handle, handler_cancellation=True)
    )
    await runner.setup()
    await web.TCPSite(runner, ip, int(port)).start()
    await keep_listed(server_id, service, listed, store)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1:]))
