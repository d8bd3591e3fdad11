"""A runner: registers itself, serves requests, and leaves when told.

    python runner.py ID ADDRESS ZONE STORE LOG WORK_MS LINGER_MS [VERSION]

Speaks what the pages say of runners. SIGTERM begins a planned shutdown: it
reports ``draining``, serves on for ``LINGER_MS`` after the store has accepted
that report, and exits. From SIGUSR1 to SIGUSR2 two of five requests that it
runs fail at their end with 503, which says nothing of not having run. Events go
to LOG as JSON lines with Unix time.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from typing import Any, TextIO

HEARTBEAT_SECONDS = 1.2
CALL_SECONDS = 0.5  # Time after which a call without an answer is given up.


class Runner:
    """One boot of a runner."""

    def __init__(self, arguments: list[str], log: TextIO) -> None:
        self.name, self.address, self.zone, self.store = arguments[:4]
        self.work, self.linger = (float(each) / 1000 for each in arguments[5:7])
        self.version = arguments[7] if len(arguments) > 7 else "v1"
        self.log = log
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_failing = False
        self.failing_runs = 0

    def write(self, event: str, **fields: Any) -> None:
        """Writes an event."""
        line = {"t": round(time.time(), 4), "event": event, **fields}
        self.log.write(json.dumps(line) + "\n")
        self.log.flush()

    async def call_store(self, body: bytes) -> bool:
        """Writes the entry; returns whether the store has confirmed it."""
        ip, _, port = self.store.partition(":")
        head = (
            f"POST /admin/put?topic=keyed.servers&key={self.name} HTTP/1.1\r\n"
            f"Host: {self.store}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(CALL_SECONDS):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(head.encode() + body)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    async def register(self) -> bool:
        """Writes a heartbeat."""
        self.sequence += 1
        sequence, state = self.sequence, self.state
        entry = {
            "service": "desk",
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 6,
            "state": state,
            "warmup_left_ms": 0,
            "born": self.born,
            "sequence": sequence,
        }
        confirmed = await self.call_store(json.dumps(entry).encode())
        self.write("beat", state=state, sequence=sequence, confirmed=confirmed)
        return confirmed

    async def beat(self) -> None:
        """Writes heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self.register()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one channel."""
        try:
            while True:
                await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one request."""
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.strip().split("\r\n")
        pairs = (line.partition(": ") for line in lines)
        headers = {name.lower(): value for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("hoistmoor-request-id", "")
        if headers.get("hoistmoor-expected-instance") != self.name:
            answer = "HTTP/1.1 421 Misdirected Request\r\n"
            answer += "Hoistmoor-Not-Executed: 1\r\n"
            content = ""
        else:
            text = body[:40].decode("latin-1")
            self.write("run", id=request_id, line=first, body=text)
            await asyncio.sleep(self.work)
            answer = "HTTP/1.1 200 OK\r\n"
            content = f"done {request_id}"
            if self._fails():
                answer = "HTTP/1.1 503 Service Unavailable\r\n"
                content = f"failed {request_id}"
        answer += (
            f"Hoistmoor-Request-Id: {request_id}\r\n"
            f"Hoistmoor-Response-Signature: {self.name}.{request_id}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n{content}"
        )
        writer.write(answer.encode())
        await writer.drain()
        if content:
            self.write("answered", id=request_id, status=int(answer[9:12]))

    def _fails(self) -> bool:
        """Returns whether the request that has just run fails."""
        if not self.is_failing:
            return False
        self.failing_runs += 1
        return self.failing_runs % 5 in (1, 3)

    def set_failing(self, is_failing: bool) -> None:
        """Begins or ends the time in which requests fail."""
        self.is_failing = is_failing
        self.write("grey", failing=is_failing)

    async def run(self) -> None:
        """Serves until it has left."""
        leaving = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, leaving.set)
        loop.add_signal_handler(signal.SIGUSR1, self.set_failing, True)
        loop.add_signal_handler(signal.SIGUSR2, self.set_failing, False)
        ip, _, port = self.address.partition(":")
        await asyncio.start_server(self.serve, ip, int(port))
        while not await self.register():
            await asyncio.sleep(0.1)
        beats = asyncio.create_task(self.beat())
        await leaving.wait()
        beats.cancel()
        self.state = "draining"
        while not await self.register():
            await asyncio.sleep(0.1)
        self.write("leaving")
        beats = asyncio.create_task(self.beat())
        await asyncio.sleep(self.linger)
        beats.cancel()
        await self.call_store(b"")
        self.write("exit")
        os._exit(0)


def main() -> None:
    """Runs the runner."""
    with open(sys.argv[5], "a", encoding="utf-8") as log:
        asyncio.run(Runner(sys.argv[1:], log).run())


if __name__ == "__main__":
    main()
