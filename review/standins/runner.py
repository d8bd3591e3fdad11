"""A stand-in for a runner, as the users' pages describe it.

    python3 review/standins/runner.py SPEC

SPEC is a JSON object: ``id``, ``service``, ``listen``, ``store`` (addresses),
``version``, ``slots``, ``work_s``, ``events``, ``gap_s``, ``poison`` (prompt
parts that crash the process as it begins to answer) and ``hang`` (of how many
of ten requests the runner never answers, from SIGUSR1 to SIGUSR2) and ``bad``
(how many of ten requests it answers with 500 after it has run them) and
``tells_born`` (whether its entry holds the time of its start).

Every request that it begins to run is one JSON line on standard output.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from typing import Any

import aiohttp
from aiohttp import web

HEARTBEAT = 1.0  # Seconds between two writes of the entry.
HANG_SECONDS = 600.0  # Longer than any client waits.
ID, TENANT, EXPECTED = (
    "Hoistmoor-Request-Id",
    "Hoistmoor-Tenant",
    "Hoistmoor-Expected-Instance",
)


class Runner:
    """Serves requests and keeps the runner's entry in the store."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec = spec
        self.active = 0
        self.count = 0
        self.is_grey = False
        self.born = int(time.time() * 1000)

    def note(self, **fields: Any) -> None:
        """Writes one line to standard output."""
        fields = {"at": round(time.monotonic(), 4), **fields}
        print(json.dumps(fields), flush=True)  # noqa: T201

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Runs or rejects one request."""
        request_id = request.headers.get(ID, "")
        echo = {ID: request_id}
        if request.headers.get(EXPECTED, self.spec["id"]) != self.spec["id"]:
            return web.Response(status=421, headers=echo)
        body = await request.read()
        if self.active >= self.spec.get("slots", 8):
            echo["Hoistmoor-Not-Executed"] = "1"
            return web.Response(status=503, headers=echo)
        self.active += 1
        try:
            return await self.run(request, request_id, body)
        finally:
            self.active -= 1

    async def run(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Runs one request."""
        self.note(
            run=request_id,
            runner=self.spec["id"],
            version=self.spec.get("version", "v1"),
            method=request.method,
            path=request.raw_path,
            tenant=request.headers.get(TENANT, ""),
            size=len(body),
            last=request.headers.get("Last-Event-Id", ""),
        )
        headers = {
            ID: request_id,
            "Hoistmoor-Response-Signature": f"sig.{request_id}",
            "Hoistmoor-Instance-Load": (
                f"{self.active},0,{self.spec.get('slots', 8)}"
            ),
        }
        self.count += 1
        if self.is_grey and self.count % 10 < self.spec.get("hang", 0):
            self.note(hangs=request_id, runner=self.spec["id"])
            await asyncio.sleep(HANG_SECONDS)
        if "Hoistmoor-Model" in request.headers:
            return await self.stream(request, request_id, headers)
        await asyncio.sleep(self.spec.get("work_s", 0.02))
        if self.count * 7 % 10 < self.spec.get("bad", 0):
            self.note(failed=request_id, runner=self.spec["id"])
            return web.Response(status=500, body=b"failed\n", headers=headers)
        return web.Response(
            body=f"answer {request_id}\n".encode() * 20, headers=headers
        )

    async def stream(
        self, request: web.BaseRequest, request_id: str, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Answers with a series of events."""
        parts = [
            part.partition(":")[0].strip()
            for part in request.headers.get("Hoistmoor-Prefix-Hash", "").split(
                ","
            )
        ]
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        headers = {**headers, "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        gap = self.spec.get("gap_s", 0.04)
        if set(parts) & set(self.spec.get("poison", ())):
            self.note(crash=request_id, runner=self.spec["id"])
            await asyncio.sleep(gap)
            os._exit(1)
        for number in range(first, self.spec.get("events", 5) + 1):
            await asyncio.sleep(gap)
            event = f"id: {number}\ndata: {request_id} {number}\n\n"
            await response.write(event.encode())
        await response.write_eof()
        return response

    async def beat(self) -> None:
        """Writes the entry again and again."""
        sequence = 0
        url = f"http://{self.spec['store']}/admin/put"
        query = {"topic": "keyed.servers", "key": self.spec["id"]}
        async with aiohttp.ClientSession() as session:
            while True:
                sequence += 1
                entry = {
                    "service": self.spec["service"],
                    "address": self.spec.get("listed", self.spec["listen"]),
                    "zone": self.spec.get("zone", "a"),
                    "version": self.spec.get("version", "v1"),
                    "slots": self.spec.get("slots", 8),
                    "state": "ready",
                    "warmup_left_ms": 0,
                    "sequence": sequence,
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                }
                if self.spec.get("tells_born", True):
                    entry["born"] = self.born
                try:
                    async with session.post(
                        url, params=query, data=json.dumps(entry)
                    ):
                        pass
                except (aiohttp.ClientError, TimeoutError) as error:
                    print(error, file=sys.stderr)  # noqa: T201
                await asyncio.sleep(HEARTBEAT)


async def main() -> None:
    """Serves until the process ends."""
    runner = Runner(json.loads(sys.argv[1]))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, setattr, runner, "is_grey", True)
    loop.add_signal_handler(signal.SIGUSR2, setattr, runner, "is_grey", False)
    ip, _, port = runner.spec["listen"].rpartition(":")
    server = web.ServerRunner(
        web.Server(runner.handle, handler_cancellation=True, access_log=None)
    )
    await server.setup()
    await web.TCPSite(server, ip, int(port)).start()
    await runner.beat()


if __name__ == "__main__":
    asyncio.run(main())
