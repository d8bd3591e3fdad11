"""A relay as a process of its own, with the store's HTTP stand-in.

The store runs in the test's event loop, so that tests can inspect its topics.
Tests act as another host by sending messages to the relay's peer listener.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import subprocess
import sys
from typing import Any, TYPE_CHECKING

import aiohttp
from aiohttp import web
import attrs
import orjson
import soak_world
import store_standin

from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from hoistmoor.core.relay.servers import crashing_parts
    from hoistmoor.core.relay.versions import evidence as evidence_lib

PATIENCE = 20.0  # Seconds; only reached if a test hangs on a busy machine.
_POLL = 0.02  # Seconds between two checks of a condition.


@attrs.define(eq=False)
class RelayProcess:
    """A relay's process and its surroundings.

    Attributes:
        store: Topics that the relay reads and writes.
        session: HTTP session of the test.
        listen: ``ip:port`` for callers.
        ready: ``ip:port`` of the readiness check.
        metrics: ``ip:port`` of the metrics.
        peer_listen: ``ip:port`` for other relays.
        log: File with the relay's output.
        environment: Additional environment variables.
        process: The process; None before the first start.
    """

    store: store_standin.StoreStandin
    session: aiohttp.ClientSession
    listen: str
    ready: str
    metrics: str
    peer_listen: str
    log: pathlib.Path
    environment: dict[str, str]
    process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Starts or restarts the process, and waits until it is ready."""
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hoistmoor.platform.main"],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, **self.environment},
            )
        await self.until_async(self.is_ready)

    async def kill(self) -> None:
        """Kills the process."""
        if self.process is not None:
            self.process.kill()
            await asyncio.to_thread(self.process.wait)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        """Returns whether the relay asks for callers."""
        try:
            async with self.session.get(
                f"http://{self.ready}/hoistmoor/readyz"
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def send_parts(
        self, changes: crashing_parts.PartChanges
    ) -> peer_codec.CopyAnswer:
        """Sends evidence about prompt parts as another host does."""
        news = peer_codec.StateChanges("other-run", parts=changes, until=1)
        message = peer_codec.CopyRequest({}, "other", news=news)
        return await self.send_message(peer_codec.encode(message))

    async def send_evidence(
        self, *evidence: evidence_lib.Evidence
    ) -> peer_codec.CopyAnswer:
        """Sends answer counts of roll-outs as another host does."""
        message = peer_codec.CopyRequest({}, "other", evidence=evidence)
        return await self.send_message(peer_codec.encode(message))

    async def send_message(self, message: bytes) -> peer_codec.CopyAnswer:
        """Sends a message as another host does; returns the answer."""
        async with self.session.post(
            f"http://{self.peer_listen}/topics", data=message
        ) as response:
            response.raise_for_status()
            return peer_codec.decode_answer(await response.read())

    async def call(
        self, path: str, headers: dict[str, str] | None = None
    ) -> int:
        """Sends a caller's request; returns its status."""
        async with self.session.post(
            f"http://{self.listen}{path}",
            data=b"question",
            headers={
                "Host": "soak.example",
                "Hoistmoor-Request-Id": "r1",
                "Hoistmoor-Deadline-Ms": "4000",
                "Authorization": "Token k1",
                **(headers or {}),
            },
        ) as response:
            await response.read()
            return response.status

    def add_server(
        self, server_id: str, service: str, version: str, address: str = ""
    ) -> None:
        """Writes the entry of a backend server, as the server does.

        Args:
            server_id: Id of the server.
            service: Its service.
            version: Version of its software.
            address: Its ``ip:port``; an unused one if empty.
        """
        entry = {
            "service": service,
            "address": address or soak_world.free_address(),
            "zone": "a",
            "version": version,
            "slots": 8,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
        }
        self.write("keyed.servers", server_id, orjson.dumps(entry))

    def order(self, service: str, target: str, duration: float) -> None:
        """Orders a roll-out that takes some seconds, as an operator does."""
        order = {"service": service, "target": target, "duration_s": duration}
        self.write("keyed.op", f"rollout/{service}", orjson.dumps(order))

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as another program does."""
        self.store.topic(topic).records.append((key, value))

    def newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest records of a topic, without removed keys."""
        records = dict(self.store.topic(topic).records)
        return {key: value for key, value in records.items() if value}

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Returns the lines of an event that the relay has logged."""
        lines = self.log.read_bytes().splitlines()
        parsed = [orjson.loads(each) for each in lines if each[:1] == b"{"]
        return [each for each in parsed if each["event"] == event]

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds, or until the process has ended."""

        async def check() -> bool:
            return condition()

        await self.until_async(check)

    async def until_async(
        self, condition: Callable[[], Awaitable[bool]]
    ) -> None:
        """Waits until a condition holds, or until the process has ended.

        Raises:
            AssertionError: The process has ended.
        """
        async with asyncio.timeout(PATIENCE):
            while not await condition():
                if not self.is_running:
                    last = self.log.read_text().splitlines()[-1:]
                    raise AssertionError(f"the relay has ended: {last}")
                await asyncio.sleep(_POLL)


@contextlib.asynccontextmanager
async def open_relay(
    folder: pathlib.Path, **store_limits: int
) -> AsyncIterator[RelayProcess]:
    """Starts the store and a relay that is the only host of its deployment.

    Args:
        folder: Directory of its settings and its log.
        **store_limits: Sizes that the store accepts, as its settings name them.
    """
    standin = store_standin.StoreStandin()
    runner = web.AppRunner(standin.application())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    ip, port = runner.addresses[0]
    listen, ready = soak_world.free_address(), soak_world.free_address()
    internal = soak_world.free_ports(2)
    settings = folder / "relay.json"
    settings.write_text(
        json.dumps(
            {
                "node_name": "relay-0",
                "zone": "a",
                "ip": "127.0.0.1",
                "listen": {"frontend": listen, "ready": ready},
                "internal_port_range": [internal, internal + 1],
                "bounds": {
                    "revoke_ms": 5000,
                    "grace_s": 8,
                    "retry_budget_ratio": 0.9,
                    "retry_window_s": 10,
                    "session_s": 5,
                },
                "platform": {"address": f"{ip}:{port}", **store_limits},
            }
        )
    )
    standin.topic("keyed.op").records.append(
        ("config", soak_world.configuration(1, ["k1"]))
    )
    async with aiohttp.ClientSession() as session:
        relay = RelayProcess(
            standin,
            session,
            listen,
            ready,
            f"127.0.0.1:{internal}",
            f"127.0.0.1:{internal + 1}",
            folder / "relay.log",
            {"HOISTMOOR_CONFIG": str(settings)},
        )
        try:
            await relay.start()
            yield relay
        finally:
            await relay.kill()
            await runner.cleanup()
