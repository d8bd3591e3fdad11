"""A backend server of the soak, run as a separate process.

    python tests/soak/soak_backend.py ID SERVICE LISTEN LISTED STORE

The server registers in the store under the address LISTED, writes a line to
standard output for each request that it executes or declines, and sends
responses that contain the request id.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time

import aiohttp
from aiohttp import web
import orjson

HEARTBEAT_INTERVAL = 1.0  # Seconds between two registrations.
EVENTS = 5  # Events of each stream.
EVENT_INTERVAL = 0.04  # Seconds between two events of a stream.
HEALTH_PATH = "/health"
CRASH_PATH = "/stream/crash"  # Crashes the server that executes it.
# Prompt part that crashes a server as it begins to respond.
CRASHING_PART = "bad"
MODEL = "m"  # Model that all servers have loaded.
WORK_SECONDS = 0.02  # Execution time of a plain request.
POLL_INTERVAL = 0.02  # Seconds.
# Servers report a limit, a rest or a departure at fixed times of a cycle that
# all of them share. No request crashes a server of this service, and in each
# phase two of its three servers are eligible, so that requests can always be
# served while there are no faults.
CYCLE_SECONDS = 14.0
LIMITED = "i-desk-1"  # Reports a valid and then an invalid limit.
RESTING = "i-desk-2"  # Declines all requests and requests a rest.
LEAVING = "i-desk-0"  # Announces its departure, exits and is restarted.
LIMIT_PHASE = (0.0, 3.0)
INVALID_LIMIT_PHASE = (3.0, 4.0)
REST_PHASES = ((4.5, 6.5), (11.2, 13.8))
LEAVING_PHASE = (7.0, 11.0)
# Sends bytes that are no valid response, with an end or without one.
BROKEN = "i-desk-1"
BROKEN_PHASE = (8.5, 10.5)
ENDLESS_BLOCK = 65_536  # Bytes that are written at once.
ENDLESS_PARTS = (
    (b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
    (b"", b"\r\n"),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0"),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=", b"a"),
    # A body without a length would be complete when its server is killed.
    (
        b"HTTP/1.1 200 OK\r\nHoistmoor-Response-Signature: s\r\n"
        b"Content-Length: 99999999999\r\n\r\n",
        b"a",
    ),
    (b"HTTP/1.1 500 Broken\r\n\r\n", b"a"),
)
_SIGNED = b"\r\nHoistmoor-Response-Signature: s\r\n"
_SHORT = b"Content-Length: 4\r\n\r\nfake"
INVALID_RESPONSES = (
    b"HTTP/1.1 000 OK" + _SIGNED + _SHORT,
    b"HTTP/2.0 200 OK" + _SIGNED + _SHORT,
    b"HTTP/1.1 200 OK\r\n \r\n" + _SIGNED[2:] + _SHORT,
    b"HTTP/1.1 200 OK" + _SIGNED + b" folded\r\n" + _SHORT,
    b"HTTP/1.1 200 OK" + _SIGNED + b"X A: b\r\n" + _SHORT,
    b"HTTP/1.1 200 OK" + _SIGNED + b"X-A: \x01\r\n" + _SHORT,
    b"HTTP/1.1 200 OK" + _SIGNED + b"Transfer-Encoding: gzip\r\n\r\nfake",
    b"HTTP/1.1 200 OK"
    + _SIGNED
    + b"Transfer-Encoding: chunked\r\n\r\n5\r\nfake\r\n0\r\n\r\n",
)
LIMIT = "4.5"
INVALID_LIMIT = "soon"

_PARTS = "Hoistmoor-Prefix-Hash"
_HEADERS = "Hoistmoor-Request-Id", "Hoistmoor-Tenant", "Hoistmoor-Deadline-Ms"


def response_body(request_id: str) -> bytes:
    """Returns the response body of a plain request."""
    return f"answer to {request_id}\n".encode() * 20


def response_event(request_id: str, number: int) -> bytes:
    """Returns one event of a streamed response."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def is_in_phase(phase: tuple[float, float], now: float) -> bool:
    """Returns whether a phase of the cycle is active at a time."""
    first, last = phase
    return first <= now % CYCLE_SECONDS < last


def rest_at(now: float) -> float:
    """Returns the seconds until the end of a phase of rest; 0 outside."""
    phases = [each for each in REST_PHASES if is_in_phase(each, now)]
    return phases[0][1] - now % CYCLE_SECONDS if phases else 0.0


def report_headers(server_id: str, now: float) -> dict[str, str]:
    """Returns the response headers in which a server reports its state."""
    if server_id == LIMITED and is_in_phase(LIMIT_PHASE, now):
        return {"Server-Limit": LIMIT}
    if server_id == LIMITED and is_in_phase(INVALID_LIMIT_PHASE, now):
        return {"Server-Limit": INVALID_LIMIT}
    if server_id == LEAVING and is_in_phase(LEAVING_PHASE, now):
        return {"Server-Leaving": "1"}
    return {}


class Backend:
    """Executes requests and records them on standard output."""

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.born = int(time.time() * 1000)
        self._random = random.Random(self.born)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Executes or declines one request."""
        if request.path == HEALTH_PATH:
            return web.Response()
        request_id, tenant, left = (
            request.headers.get(name, "") for name in _HEADERS
        )
        if request.headers.get("Hoistmoor-Expected-Instance") != self.server_id:
            return web.Response(
                status=421, headers={"Hoistmoor-Request-Id": request_id}
            )
        now = time.monotonic()
        rest = rest_at(now) if self.server_id == RESTING else 0.0
        reports = report_headers(self.server_id, now)
        self._write_line(
            {
                "declined" if rest else "run": request_id,
                "at": now,
                "server": self.server_id,
                "from": request.remote,
                "born": self.born,
                "rest": rest,
                "says": list(reports),
                "path": request.path,
                "tenant": tenant,
                "left_ms": left,
                "key": request.headers.get("Authorization", ""),
            }
        )
        if rest:
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
            **reports,
        }
        if request.path.startswith("/stream/"):
            return await self._stream(request, request_id, headers)
        if self.server_id == BROKEN and is_in_phase(BROKEN_PHASE, now):
            send = self._random.choice((self._send_endlessly, self._send_once))
            await send(request)
        await asyncio.sleep(WORK_SECONDS)
        return web.Response(body=response_body(request_id), headers=headers)

    async def _send_endlessly(self, request: web.Request) -> None:
        """Sends bytes until the relay closes the connection."""
        first, repeated = self._random.choice(ENDLESS_PARTS)
        block = repeated * (ENDLESS_BLOCK // len(repeated))
        transport = request.transport
        assert transport is not None
        transport.write(first)
        while not transport.is_closing():
            if transport.get_write_buffer_size() < ENDLESS_BLOCK:
                transport.write(block)
            await asyncio.sleep(0)

    async def _send_once(self, request: web.Request) -> None:
        """Sends an invalid response and ends the connection regularly."""
        transport = request.transport
        assert transport is not None
        transport.write(self._random.choice(INVALID_RESPONSES))
        transport.close()

    def _write_line(self, line: dict[str, object]) -> None:
        sys.stdout.buffer.write(orjson.dumps(line) + b"\n")
        sys.stdout.buffer.flush()

    async def exit_after_departure(self) -> None:
        """Exits at the end of the phase that announces the departure."""
        while not is_in_phase(LEAVING_PHASE, time.monotonic()):
            await asyncio.sleep(POLL_INTERVAL)
        while is_in_phase(LEAVING_PHASE, time.monotonic()):
            await asyncio.sleep(POLL_INTERVAL)
        os._exit(0)

    async def _stream(
        self, request: web.Request, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        response = web.StreamResponse(
            headers={**headers, "Content-Type": "text/event-stream"}
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        if f"{CRASHING_PART}:" in request.headers.get(_PARTS, ""):
            await asyncio.sleep(EVENT_INTERVAL)
            os._exit(1)
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL)
            await response.write(response_event(request_id, number))
        await response.write_eof()
        return response


async def keep_registered(
    server_id: str, service: str, listed: str, store: str, born: int
) -> None:
    """Registers the server periodically, also after failures of the store."""
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
            # Identifies the incarnation of the server.
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
                sys.stderr.write(
                    f"{server_id} could not be registered: {error}\n"
                )
            await asyncio.sleep(HEARTBEAT_INTERVAL)


async def serve(arguments: list[str]) -> None:
    """Serves requests until the process ends."""
    server_id, service, listen, listed, store = arguments
    ip, _, port = listen.rpartition(":")
    backend = Backend(server_id)
    runner = web.ServerRunner(
        web.Server(backend.handle, handler_cancellation=True)
    )
    await runner.setup()
    await web.TCPSite(runner, ip, int(port)).start()
    tasks = [keep_registered(server_id, service, listed, store, backend.born)]
    if server_id == LEAVING:
        tasks.append(backend.exit_after_departure())
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1:]))
