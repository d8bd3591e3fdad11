"""Hosts, servers that crash on prompt parts, and callers, in virtual time.

Each host has its own table of crashing parts. The tables exchange changes along
a tree, as relays do; everything else is simulated.
"""

from __future__ import annotations

import random

import attrs
import relay_parts

from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import runs as runs_lib
from hoistmoor.core.relay.servers import server as server_lib

STEP = 0.05  # Seconds.
EXCHANGE_STEPS = 6  # Steps between two exchanges of a host.
FAN_OUT = 8  # Hosts that exchange with the same one.
WAITING_SECONDS = 0.05  # From the arrival of a request to its response.
BEGUN_SECONDS = 0.15  # From the arrival of a request to the first part.
SERVED_SECONDS = 0.45  # From the arrival until it is known to be served.
RUN_SECONDS = 1.2  # Duration of a run.
RESTART_SECONDS = 2.0
ATTEMPTS = 2  # Attempts of one request.
SUBJECTS = 84  # Prompt parts that few requests share.


@attrs.define(eq=False)
class SimulatedRun:
    """A request at a server.

    Attributes:
        host: Number of the host that sent it.
        run: Its state.
        sent_at: Time at which it was sent.
        attempt: Number of the attempt, from 1.
        is_served: Whether it was recorded as served.
    """

    host: int
    run: runs_lib.Run
    sent_at: float
    attempt: int
    is_served: bool = False


@attrs.define(eq=False)
class SimulatedServer:
    """A server across its restarts.

    Attributes:
        name: Its name.
        version: Version of its software.
        up_at: Time from which it is up.
        starts: Number of starts.
        runs: Requests that it runs.
    """

    name: str
    version: str = "v1"
    up_at: float = 0.0
    starts: int = 0
    runs: list[SimulatedRun] = attrs.field(factory=list)

    def state(self) -> server_lib.ServerState:
        """Returns its current incarnation."""
        return server_lib.ServerState(
            relay_parts.make_entry(
                f"{self.name}-{self.starts}",
                service="llm",
                version=self.version,
            )
        )


class Simulation:
    """Callers, hosts and servers.

    Attributes:
        now: Virtual time.
        tables: Table of each host.
        servers: The servers.
        guilty: Parts on which servers crash, by version; empty for all.
        crashed_at: Times of the crashes on each part.
        sent_at: Times at which requests with each guilty part were sent.
        refused: Parts of the sound requests that were refused.
        served: Number of sound requests that were served.
    """

    def __init__(self, hosts: int, servers: int, seed: int) -> None:
        self.now = 100.0
        self.tables = [crashing_parts.CrashingParts() for _ in range(hosts)]
        self.servers = [SimulatedServer(f"e{n}") for n in range(servers)]
        self.guilty: dict[str, str] = {}
        self.crashed_at: dict[str, list[float]] = {}
        self.sent_at: dict[str, list[float]] = {}
        self.refused: list[tuple[str, ...]] = []
        self.served = 0
        self._draws = random.Random(seed)
        self._acknowledged = [(0, 0)] * hosts
        self._number = 0
        self._step = 0

    def advance(
        self, seconds: float, rate: float, prompts: list[tuple[str, ...]] = ()
    ) -> None:
        """Lets time pass with requests.

        Args:
            seconds: Duration.
            rate: Sound requests per second.
            prompts: Shared parts of the other requests, of which four a second
                come; ``*`` stands for a part that is new each time.
        """
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self._step += 1
            for _ in range(self._arrivals(rate)):
                subject = f"subject{self._draws.randrange(SUBJECTS)}"
                self._call(("system", "account", subject))
            for _ in range(self._arrivals(4.0) if prompts else 0):
                self._call(self._draws.choice(prompts))
            for server in self.servers:
                self._run(server)
            self._exchange()

    def crash(self, server: SimulatedServer) -> None:
        """Crashes a server; its requests are sent to others."""
        if self.now < server.up_at:
            return
        state = server.state()
        lost = server.runs
        server.runs = []
        server.starts += 1
        server.up_at = self.now + RESTART_SECONDS
        for host in sorted({each.host for each in lost}):
            own = [each.run for each in lost if each.host == host]
            self.tables[host].record_crash(state, own, self.now)
        for each in lost:
            if each.attempt < ATTEMPTS and not each.run.is_finished:
                self._send(each.host, each.run, each.attempt + 1)

    def versions(self, service: str) -> frozenset[str]:
        """Returns the versions of the servers."""
        return frozenset(each.version for each in self.servers)

    def restart_hosts(self, hosts: range) -> None:
        """Restarts hosts without their memory."""
        for host in hosts:
            self.tables[host] = crashing_parts.CrashingParts()
        self._acknowledged = [(0, 0)] * len(self.tables)

    def late_sends(self, part: str, crashes: int, seconds: float) -> int:
        """Returns how often servers got a part long after some crashes."""
        known = self.crashed_at.get(part, [])
        if len(known) < crashes:
            return 0
        since = known[crashes - 1] + seconds
        return sum(at > since for at in self.sent_at[part])

    def _arrivals(self, rate: float) -> int:
        whole = int(rate * STEP)
        return whole + (self._draws.random() < rate * STEP - whole)

    def _call(self, parts: tuple[str, ...]) -> None:
        self._number += 1
        number = self._number
        parts = tuple(f"new{number}" if p == "*" else p for p in parts)
        host = self._draws.randrange(len(self.tables))
        self._send(host, runs_lib.Run(f"r{number}", parts=parts), 1)

    def _send(self, host: int, run: runs_lib.Run, attempt: int) -> None:
        up = [each for each in self.servers if self.now >= each.up_at]
        table = self.tables[host]
        guilty = [part for part in run.parts if part in self.guilty]
        if table.quarantine_of("llm", run.parts, self.versions, self.now):
            if not guilty:
                self.refused.append(run.parts)
            return
        if not up:
            return
        for part in guilty:
            self.sent_at.setdefault(part, []).append(self.now)
        copy = runs_lib.Run(run.fingerprint, parts=run.parts)
        self._draws.choice(up).runs.append(
            SimulatedRun(host, copy, self.now, attempt)
        )

    def _run(self, server: SimulatedServer) -> None:
        for each in tuple(server.runs):
            age = self.now - each.sent_at
            run = each.run
            if age >= WAITING_SECONDS and run.stage is runs_lib.Stage.WAITING:
                run.record_response_started(self.now)
            if age < BEGUN_SECONDS:
                continue
            crashing = self._crashing_parts(run, server)
            if crashing:
                self.crash(server)
                for part in crashing:
                    self.crashed_at.setdefault(part, []).append(self.now)
                return
            run.record_part()
            if age >= SERVED_SECONDS and not each.is_served:
                each.is_served = True
                self.served += 1
                self.tables[each.host].record_served(
                    "llm", server.version, run.parts, self.now
                )
            if age >= RUN_SECONDS:
                server.runs.remove(each)

    def _crashing_parts(
        self, run: runs_lib.Run, server: SimulatedServer
    ) -> list[str]:
        return [
            part
            for part in run.parts
            if self.guilty.get(part) in ("", server.version)
        ]

    def _exchange(self) -> None:
        for host in range(1, len(self.tables)):
            if (self._step + host) % EXCHANGE_STEPS:
                continue
            parent = self.tables[(host - 1) // FAN_OUT]
            child = self.tables[host]
            sent, received = self._acknowledged[host]
            up, sent = child.changes_since(sent, self.now)
            parent.merge(up, self.now)
            down, received = parent.changes_since(received, self.now)
            child.merge(down, self.now)
            self._acknowledged[host] = sent, received
