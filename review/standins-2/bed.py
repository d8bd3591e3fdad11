"""Starts a small deployment on loopback: store, runners and relays.

The store is the project's stand-in (``tests/store_standin.py``), the runners
are ``runner.py`` beside this file, and the relays are the program of the deploy
file.
"""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.parse
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "review.example"
KEY = "key-1"
START_SECONDS = 20.0
_taken: set[int] = set()  # Ports handed out so far.
# Bounds of the site file hms-skiphire.
BOUNDS = {
    "drain_ms": 2000,
    "revoke_ms": 5000,
    "config_apply_ms": 2000,
    "stable_window_ms": 3000,
    "strict_revocation": True,
    "grace_s": 8,
    "retry_budget_ratio": 0.9,
    "retry_window_s": 10,
    "budget_slack": 54,
    "canary_share": 0.15,
    "canary_tolerance": 30,
    "session_s": 5,
}


def free_port(count: int = 1) -> int:
    """Returns the first of some consecutive free ports.

    They lie below the ephemeral ports, so that no outgoing connection takes one
    before it is used.
    """
    while True:
        port = random.randrange(20000, 32000 - count)
        if not _taken.isdisjoint(range(port, port + count)):
            continue
        try:
            for number in range(port, port + count):
                socket.create_server(("127.0.0.1", number)).close()
        except OSError:
            continue
        _taken.update(range(port, port + count))
        return port


def free_address() -> str:
    """Returns a free loopback address."""
    return f"127.0.0.1:{free_port()}"


def manifest(
    version: int, keys: list[str], routes: list[dict[str, Any]]
) -> dict[str, Any]:
    """Returns a manifest with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "desk", "max_connections": 100}],
        "tenants": [{"name": "depot", "api_keys": keys}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def route(kind: str, timeout_ms: int) -> dict[str, Any]:
    """Returns a route of the service ``desk``, named after its kind."""
    return {
        "name": kind,
        "host": HOST,
        "path_prefix": f"/{kind}/",
        "kind": kind,
        "service": "desk",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "anonymous": False,
        "max_attempts": 1 if kind == "non_idempotent" else 3,
    }


class Bed:
    """Processes of one run."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates a run without any process.

        If it is ended by SIGTERM, ``stop`` is reached as at any other exit.
        """
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = folder
        self.store = free_address()
        self.processes: list[subprocess.Popen[bytes]] = []

    def spawn(
        self, name: str, command: list[str], **environment: str
    ) -> subprocess.Popen[bytes]:
        """Starts a process whose output goes to a file."""
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    **environment,
                },
            )
        self.processes.append(process)
        return process

    def start_store(self) -> None:
        """Starts the store."""
        self.spawn(
            "store", [sys.executable, "tests/store_standin.py", self.store]
        )
        self.wait_for(f"http://{self.store}/")

    def start_relay(self, name: str, zone: str) -> dict[str, Any]:
        """Starts a relay; returns its settings and its process."""
        internal = free_port(2)
        settings = {
            "node_name": name,
            "role": "relay",
            "machine_class": "edge",
            "serves": ["edge"],
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": {"frontend": free_address(), "ready": free_address()},
            "internal_port_range": [internal, internal + 1],
            "bootstrap": False,
            "limits": {"memory_mb": 300, "max_fds": 4200, "link_mbps": 1000.0},
            "heartbeat_ms": 1200,
            "invariants": ["base", "drain", "config", "retry", "tenants"],
            "bounds": BOUNDS,
            "platform": {"address": self.store},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        relay = {**settings, "path": path}
        self.restart_relay(relay)
        return relay

    def restart_relay(self, relay: dict[str, Any]) -> None:
        """Starts a relay that is not running, with its settings."""
        relay["process"] = self.spawn(
            relay["node_name"],
            [sys.executable, "-m", "hoistmoor.platform.main"],
            HOISTMOOR_CONFIG=str(relay["path"]),
        )

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as the operator does."""
        query = urllib.parse.urlencode({"topic": topic, "key": key})
        call = urllib.request.Request(
            f"http://{self.store}/admin/put?{query}", data=value, method="POST"
        )
        urllib.request.urlopen(call, timeout=5).close()

    def put_manifest(self, content: dict[str, Any]) -> None:
        """Writes a manifest."""
        self.put("keyed.op", "config", json.dumps(content).encode())

    def wait_for(self, url: str, status: int | None = None) -> None:
        """Waits until an address answers, with a status if one is given.

        Raises:
            TimeoutError: It does not.
        """
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            try:
                with urllib.request.urlopen(url, timeout=1) as response:
                    found = response.status
            except urllib.error.HTTPError as error:
                found = error.code
            except OSError:
                found = None
            if found is not None and status in (None, found):
                return
            time.sleep(0.05)
        raise TimeoutError(f"{url} does not answer with {status}")

    def stop(self) -> None:
        """Ends all processes."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
