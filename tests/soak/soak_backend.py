"""A backend server of the soak, as a process of its own.

    python tests/soak/soak_backend.py ID SERVICE LISTEN LISTED STORE

It lists itself in the store under the address LISTED, tells on standard
output each run that it begins or declines, and answers with bytes that name
the request.
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
POLL = 0.02  # Seconds between two looks at the clock.
# What servers say of themselves, by the second of a period that all share. No
# request ends a server of this service, and in each phase two of its three may
# be used, so callers are to be served all the time once all is calm.
PERIOD = 14.0
LIMITED = "i-desk-1"  # Names a limit, and then what is none.
RESTING = "i-desk-2"  # Turns all away and asks for rest.
LEAVING = "i-desk-0"  # Says that it leaves, ends, and is started anew.
LIMIT_PHASE = (0.0, 3.0)
NO_LIMIT_PHASE = (3.0, 4.0)
REST_PHASE = (4.5, 6.5)
LEAVING_PHASE = (7.0, 11.0)
LIMIT = "4.5"
NO_LIMIT = "soon"

_HEADERS = "Hoistmoor-Request-Id", "Hoistmoor-Tenant", "Hoistmoor-Deadline-Ms"


def body_of(request_id: str) -> bytes:
    """Returns the answer to a plain request."""
    return f"answer to {request_id}\n".encode() * 20


def event_of(request_id: str, number: int) -> bytes:
    """Returns one event of the answer to a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def is_in(phase: tuple[float, float], now: float) -> bool:
    """Returns whether a phase of the period is under way."""
    first, last = phase
    return first <= now % PERIOD < last


def words(server_id: str, now: float) -> dict[str, str]:
    """Returns what a server says of itself in an answer."""
    if server_id == LIMITED and is_in(LIMIT_PHASE, now):
        return {"Server-Limit": LIMIT}
    if server_id == LIMITED and is_in(NO_LIMIT_PHASE, now):
        return {"Server-Limit": NO_LIMIT}
    if server_id == LEAVING and is_in(LEAVING_PHASE, now):
        return {"Server-Leaving": "1"}
    return {}


class Backend:
    """Runs requests and tells each on standard output."""

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.born = int(time.time() * 1000)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Runs one request."""
        request_id, tenant, left = (
            request.headers.get(name, "") for name in _HEADERS
        )
        if request.headers.get("Hoistmoor-Expected-Instance") != self.server_id:
            return web.Response(
                status=421, headers={"Hoistmoor-Request-Id": request_id}
            )
        now = time.monotonic()
        rest = REST_PHASE[1] - now % PERIOD
        rests = self.server_id == RESTING and is_in(REST_PHASE, now)
        said = words(self.server_id, now)
        self._tell(
            {
                "declined" if rests else "run": request_id,
                "at": now,
                "server": self.server_id,
                "born": self.born,
                "rest": rest if rests else 0.0,
                "says": list(said),
                "path": request.path,
                "tenant": tenant,
                "left_ms": left,
                "key": request.headers.get("Authorization", ""),
            }
        )
        if rests:
            return web.Response(
                status=503,
                headers={
                    "Hoistmoor-Request-Id": request_id,
                    "Hoistmoor-Not-Executed": "1",
                    "Retry-After": f"{rest:.3f}",
                },
            )
        if request.path == CRASH_PATH:
            os._exit(1)
        headers = {
            "Hoistmoor-Request-Id": request_id,
            "Hoistmoor-Response-Signature": "soak",
            "Hoistmoor-Instance-Load": "1,0,8",
            **said,
        }
        if request.path.startswith("/stream/"):
            return await self._stream(request, request_id, headers)
        await asyncio.sleep(WORK)
        return web.Response(body=body_of(request_id), headers=headers)

    def _tell(self, line: dict[str, object]) -> None:
        sys.stdout.buffer.write(orjson.dumps(line) + b"\n")
        sys.stdout.buffer.flush()

    async def end_as_said(self) -> None:
        """Ends once it has said for a while that it leaves."""
        while not is_in(LEAVING_PHASE, time.monotonic()):
            await asyncio.sleep(POLL)
        while is_in(LEAVING_PHASE, time.monotonic()):
            await asyncio.sleep(POLL)
        os._exit(0)

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
    server_id: str, service: str, listed: str, store: str, born: int
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
            "born": born,
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
    backend = Backend(server_id)
    runner = web.ServerRunner(
        web.Server(backend.handle, handler_cancellation=True)
    )
    await runner.setup()
    await web.TCPSite(runner, ip, int(port)).start()
    tasks = [keep_listed(server_id, service, listed, store, backend.born)]
    if server_id == LEAVING:
        tasks.append(backend.end_as_said())
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1:]))
