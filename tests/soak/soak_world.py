"""Processes of a soak: the store, backend servers, relays and their links."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Any, TYPE_CHECKING

import aiohttp
import attrs
import link_proxy
import orjson
import soak_backend

if TYPE_CHECKING:
    from collections.abc import Iterator

_DIRECTORY = pathlib.Path(__file__).parent
SERVICES = {"desk": 3, "llm": 2}
START_TIMEOUT = 30.0  # Seconds; processes start slowly on a busy machine.
REVOKE_MS = 5000
STOP_GRACE_SECONDS = 8
TRACEBACK = "Traceback "  # Begins what a process says of an error.


# Lies below the ephemeral ports of the system, so that no outgoing connection
# takes a port between its selection and its use.
_PORTS = range(20000, 32000)
_next_port = _PORTS.start + (os.getpid() * 40) % len(_PORTS)


def free_ports(count: int) -> int:
    """Returns the first of several consecutive unused ports."""
    global _next_port  # noqa: PLW0603
    while True:
        first, _next_port = _next_port, _next_port + count
        if _next_port >= _PORTS.stop:
            _next_port = _PORTS.start
        elif all(_is_free(port) for port in range(first, first + count)):
            return first


def _is_free(port: int) -> bool:
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


def free_address() -> str:
    """Returns an unused loopback address."""
    return f"127.0.0.1:{free_ports(1)}"


def max_attempts(route: str) -> int:
    """Returns the servers that may run a request of a route."""
    return 1 if route == "once" else 3


def configuration(version: int, keys: list[str]) -> bytes:
    """Returns a manifest with three routes and one client account."""
    shared: dict[str, Any] = {
        "host": "soak.example",
        "target_latency_ms": 500,
        "priority": 1,
        "anonymous": False,
    }
    routes = [
        {"name": "once", "path_prefix": "/once/", "kind": "non_idempotent"},
        {"name": "again", "path_prefix": "/again/", "kind": "idempotent"},
        {"name": "stream", "path_prefix": "/stream/", "kind": "streaming"},
    ]
    for route in routes:
        is_stream = route["name"] == "stream"
        route.update(
            shared,
            service="llm" if is_stream else "desk",
            timeout_ms=4000,
            max_attempts=max_attempts(str(route["name"])),
            resumable=is_stream,
            itl_target_ms=1000,
        )
    return orjson.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "max_connections": 100,
                    "health_path": soak_backend.HEALTH_PATH,
                }
                for name in SERVICES
            ],
            "tenants": [{"name": "farm", "api_keys": keys}],
        }
    )


@attrs.define(eq=False)
class Program:
    """One process of the soak.

    Attributes:
        name: Name in logs and schedules.
        command: Command line.
        environment: Additional environment variables.
        log: Output file, shared by all incarnations of the process.
        process: Current incarnation; None before the first start.
    """

    name: str
    command: list[str]
    log: pathlib.Path
    environment: dict[str, str] = attrs.field(factory=dict)
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts or restarts the process."""
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.command,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, **self.environment},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def resident_bytes(self) -> int:
        """Returns the memory that the process uses; 0 if it does not run."""
        if self.process is None:
            return 0
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0
        pages = int((status.split() or ["0", "0"])[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    async def wait_or_kill(self, timeout: float) -> None:
        """Waits for the process to exit and kills it after a timeout."""
        assert self.process is not None
        loop = asyncio.get_running_loop()
        limit = loop.time() + timeout
        while self.process.poll() is None and loop.time() < limit:
            await asyncio.sleep(0.05)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


@attrs.define(eq=False)
class RelayHost:
    """A relay and its addresses.

    Attributes:
        program: Process of the relay.
        listen: ``ip:port`` for callers.
        ready: ``ip:port`` of the readiness check.
        store_link: Proxy between the relay and the store.
        server_links: Its own proxies to the backend servers.
        in_rotation: Whether the load balancer sends requests to it.
    """

    program: Program
    listen: str
    ready: str
    store_link: link_proxy.LinkProxy
    server_links: list[link_proxy.LinkProxy]
    in_rotation: bool = False


class Environment:
    """All processes of one soak run.

    Attributes:
        folder: Directory of logs and settings.
        relays: Relays.
        backends: Backend servers.
        backend_links: Proxies between the relays and each backend server.
        senders: Names of the relays by the addresses from which they connect.
        session: HTTP session for requests of the soak itself.
    """

    def __init__(
        self, folder: pathlib.Path, session: aiohttp.ClientSession
    ) -> None:
        self.folder = folder
        self.session = session
        self.relays: list[RelayHost] = []
        self.backends: list[Program] = []
        self.backend_links: list[link_proxy.LinkProxy] = []
        self.senders: dict[str, str] = {}
        self.store_address = free_address()
        self._store = Program(
            "store",
            [
                sys.executable,
                str(_DIRECTORY.parent / "store_standin.py"),
                self.store_address,
            ],
            folder / "store.log",
        )

    @property
    def programs(self) -> list[Program]:
        """Store, backend servers and relays."""
        return [self._store, *self.backends, *(r.program for r in self.relays)]

    @property
    def links(self) -> list[link_proxy.LinkProxy]:
        """Links to the backend servers and to the store."""
        own = [link for relay in self.relays for link in relay.server_links]
        return [
            *self.backend_links,
            *(relay.store_link for relay in self.relays),
            *own,
        ]

    async def start(self, relays: int) -> None:
        """Starts all processes and waits until the store and relays respond."""
        self._store.start()
        await self._await_response(f"http://{self.store_address}/")
        await self.put("keyed.op", "config", configuration(1, ["k1", "k2"]))
        for service, count in SERVICES.items():
            for number in range(count):
                await self._start_backend(service, number)
        for number in range(relays):
            await self._start_relay(number)

    async def _start_backend(self, service: str, number: int) -> None:
        name = f"i-{service}-{number}"
        listen = free_address()
        link = link_proxy.LinkProxy(listen)
        await link.start()
        arguments = [name, service, listen, link.listen, self.store_address]
        program = Program(
            name,
            [sys.executable, str(_DIRECTORY / "soak_backend.py"), *arguments],
            self.folder / f"{name}.log",
        )
        program.start()
        self.backends.append(program)
        self.backend_links.append(link)

    async def _start_relay(self, number: int) -> None:
        link = link_proxy.LinkProxy(self.store_address)
        await link.start()
        listen, ready = free_address(), free_address()
        internal = free_ports(2)
        settings = {
            "node_name": f"relay-{number}",
            "zone": "a",
            "ip": "127.0.0.1",
            "listen": {"frontend": listen, "ready": ready},
            "internal_port_range": [internal, internal + 1],
            "bounds": {
                "revoke_ms": REVOKE_MS,
                "grace_s": STOP_GRACE_SECONDS,
                "retry_budget_ratio": 0.9,
                "retry_window_s": 10,
                "budget_slack": 54,
                "session_s": 5,
            },
            "platform": {"address": link.listen},
        }
        path = self.folder / f"relay-{number}.json"
        path.write_text(json.dumps(settings))
        server_links = [
            link_proxy.LinkProxy(each.listen) for each in self.backend_links
        ]
        for each in server_links:
            await each.start()
        links = self.folder / f"relay-{number}.links"
        links.write_text(
            json.dumps({each.target: each.listen for each in server_links})
        )
        source = f"127.0.1.{number + 1}"
        self.senders[source] = f"relay-{number}"
        program = Program(
            f"relay-{number}",
            [
                sys.executable,
                str(_DIRECTORY / "soak_relay.py"),
                str(links),
                source,
            ],
            self.folder / f"relay-{number}.log",
            {"HOISTMOOR_CONFIG": str(path)},
        )
        program.start()
        self.relays.append(
            RelayHost(program, listen, ready, link, server_links)
        )
        await self._await_response(f"http://{ready}/")

    async def _await_response(self, url: str) -> None:
        async with asyncio.timeout(START_TIMEOUT):
            while await self.get_status(url) is None:
                await asyncio.sleep(0.05)

    async def get_status(self, url: str) -> int | None:
        """Returns the status of a GET request, or None without a response."""
        try:
            timeout = aiohttp.ClientTimeout(total=0.8)
            async with self.session.get(url, timeout=timeout) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes an entry to the store as an operator does."""
        query = {"topic": topic, "key": key}
        url = f"http://{self.store_address}/admin/put"
        async with self.session.post(url, params=query, data=value) as response:
            response.raise_for_status()

    async def set_store_fault(self, fault: str, **options: str) -> None:
        """Sets the fault of the store; an empty one restores it."""
        url = f"http://{self.store_address}/admin/fault"
        query = {"fault": fault, **options}
        async with self.session.post(url, params=query) as response:
            response.raise_for_status()

    def failed_tasks(self) -> list[str]:
        """Returns the relays' lines about errors that nothing has handled."""
        return [
            f"{relay.program.name}: {line}"
            for relay in self.relays
            for line in relay.program.log.read_text().splitlines()
            if line.startswith(TRACEBACK)
            or '"task_failed"' in line
            or ('"library_message"' in line and '"error":null' not in line)
        ]

    def relay_sizes(self) -> list[tuple[str, int]]:
        """Returns the resident bytes of each relay that runs, by name."""
        return [
            (relay.program.name, relay.program.resident_bytes())
            for relay in self.relays
        ]

    def executions(self) -> Iterator[dict[str, Any]]:
        """Yields a line for each request that a backend server executed."""
        return self._lines(b'{"run"')

    def declined_requests(self) -> Iterator[dict[str, Any]]:
        """Yields a line for each request that a backend server declined."""
        return self._lines(b'{"declined"')

    def _lines(self, prefix: bytes) -> Iterator[dict[str, Any]]:
        for backend in self.backends:
            for line in backend.log.read_bytes().splitlines():
                if line.startswith(prefix):
                    yield orjson.loads(line)

    async def stop(self) -> None:
        """Kills every process of this run and closes the links."""
        for program in self.programs:
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGKILL)
        for program in self.programs:
            if program.process is not None:
                program.process.wait()
        for link in self.links:
            link.close()
        async with asyncio.timeout(START_TIMEOUT):
            while any(link.connections for link in self.links):
                await asyncio.sleep(0.05)
