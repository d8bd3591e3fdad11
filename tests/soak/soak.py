"""Randomized soak test of relay processes under external faults.

    python tests/soak/soak.py --seeds 1 2 3 --seconds 20

The soak starts a store, backend servers and relays as processes and sends
requests over persistent connections. Meanwhile it stops, pauses, kills and
restarts relays and injects faults into the links and the store. The seed
determines the schedule. At the end it checks the invariants against what
callers and backend servers observed and prints every violation.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import TYPE_CHECKING

import aiohttp
import attrs
import link_proxy
import orjson
import soak_backend
import soak_budget
import soak_cuts
import soak_words
import soak_world

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    _Fault = Callable[[], Awaitable[None]]

CALLERS = 12
REQUEST_INTERVAL_RANGE = (0.02, 0.2)  # Seconds, for each caller.
FAULT_INTERVAL_RANGE = (0.3, 2.5)  # Seconds.
FAULT_DURATION_RANGE = (0.5, 3.0)  # Seconds.
RESTORE_DOWNTIME_RANGE = (0.0, 2.0)  # Seconds until the store is restored.
RESTORED_COPY_AGE_RANGE = (0.2, 9.0)  # Seconds.
QUIET_SECONDS = 8.0  # Phase without faults at the end.
RECOVERY_SECONDS = 6.0  # Of the quiet phase; then requests must be served.
DEADLINE_MS = 5000
REVOKE_AT_FRACTION = 0.4  # Of the fault phase; then a key is revoked.
STOP_SECONDS_RANGE = (2.0, 7.0)  # Seconds for which servers are stopped.
CUT_SECONDS_RANGE = (1.0, 7.0)  # Seconds for which a relay is cut.
CRASH_INTERVAL_RANGE = (0.5, 4.0)  # Seconds between crash requests.
# Seconds between requests with a prompt part that crashes servers.
PART_INTERVAL_RANGE = (0.2, 0.8)
# Prompts of sound requests, and of others that have one more part at any place.
SOUND_PARTS = ("system:20", "account:10")
# Earlier turns of a conversation in which all such prompts of a run with an odd
# seed stand.
CONVERSATION = tuple(f"{0xC0DE0000 + turn:08x}:10" for turn in range(40))
HOT_RELAY_FRACTION = 0.9  # Of the requests, while one relay gets most of them.
RESTART_DELAY = 0.5  # Seconds until an ended backend server is restarted.
# Requests of each kind that crash servers which may reach any after recovery.
MAX_QUIET_CRASHES = 3
MAX_RELAY_BYTES = 300_000_000  # Memory of a machine of the users.
# Prefixes of the ids of requests that crash servers.
CRASHING = ("crash.", "part.")
CONFIGURATION_REFUSALS = frozenset({401, 403, 404})
NOT_EXECUTED = frozenset({408, 421, 429, 503})


@attrs.define
class RequestRecord:
    """One request of a caller and the response that it received.

    Attributes:
        request_id: Id of the request.
        kind: Name of the route.
        key: API key of the request.
        sent_at: Monotonic time at which the request was sent.
        relay: Name of the relay.
        status: Status of the response; 0 without one.
        is_complete: Whether the response was received completely.
        body: Received bytes of the response.
        ended_at: Monotonic time at which the exchange ended.
    """

    request_id: str
    kind: str
    key: str
    sent_at: float
    relay: str
    status: int = 0
    is_complete: bool = False
    body: bytes = b""
    ended_at: float = 0.0

    @property
    def max_attempts(self) -> int:
        """Servers that may run the request."""
        return soak_world.max_attempts(self.kind)

    @property
    def seconds(self) -> float:
        """Time in seconds for which the caller waits."""
        return DEADLINE_MS / 1000


@attrs.define
class FaultPeriod:
    """Period in which a fault may affect requests.

    Attributes:
        relay: Name of the affected relay, or ``all``.
        kind: Kind of fault.
        started_at: Monotonic time of its start.
        ended_at: Monotonic time of its end.
    """

    relay: str
    kind: str
    started_at: float
    ended_at: float = float("inf")


class Soak:
    """One soak run with one seed."""

    def __init__(
        self,
        world: soak_world.Environment,
        seed: int,
        seconds: float,
        kinds: Sequence[str] = (),
    ) -> None:
        """Creates a run.

        Args:
            world: The processes.
            seed: Determines the schedule.
            seconds: Length of the phase with faults.
            kinds: Names of the faults to inject; all of them if empty.
        """
        self.world = world
        self.figures = ""
        self.largest = (0, "")  # Resident bytes and name of the largest relay.
        self._kinds = kinds
        self.calls: list[RequestRecord] = []
        self.spans: list[FaultPeriod] = []
        self.stops: list[FaultPeriod] = []
        self.revoked_at = float("inf")
        self._seed = seed
        self._random = random.Random(seed)
        self._fault_seconds = seconds
        self._faulty = True
        self._reserved: set[str] = set()
        self.crashes = 0
        self._hot_relay: soak_world.RelayHost | None = None

    async def run(self) -> list[str]:
        """Executes the run and returns the violations."""
        tasks = [asyncio.create_task(self._poll_readiness())]
        await self._await_rotation()
        tasks += [
            asyncio.create_task(self._run_caller(number))
            for number in range(CALLERS)
        ]
        tasks.append(asyncio.create_task(self._revoke_key()))
        crashing = (self._send_crash_requests, self._send_crashing_parts)
        for send in self._select(crashing):
            tasks.append(asyncio.create_task(_run_fault(send)))
        tasks.append(asyncio.create_task(self._restart_ended_backends()))
        await self._inject_faults()
        quiet_since = time.monotonic()
        await asyncio.sleep(QUIET_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self.find_violations(quiet_since)

    async def _await_rotation(self) -> None:
        async with asyncio.timeout(soak_world.START_TIMEOUT):
            while not any(relay.in_rotation for relay in self.world.relays):
                await asyncio.sleep(0.1)

    async def _poll_readiness(self) -> None:
        """Polls each relay once a second, as the load balancer does."""
        while True:
            for relay in self.world.relays:
                status = await self.world.get_status(f"http://{relay.ready}/")
                relay.in_rotation = status == 200
            for name, size in self.world.relay_sizes():
                self.largest = max(self.largest, (size, name))
            await asyncio.sleep(1.0)

    async def _revoke_key(self) -> None:
        await asyncio.sleep(self._fault_seconds * REVOKE_AT_FRACTION)
        manifest = soak_world.configuration(2, ["k1"])
        await self.world.put("keyed.op", "config", manifest)
        self.revoked_at = time.monotonic()

    async def _send_crash_requests(self) -> None:
        """Repeatedly sends a crash request to a random relay."""
        rng = random.Random(self._random.random())
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(rng.uniform(*CRASH_INTERVAL_RANGE))
                relay = rng.choice(self.world.relays)
                self.crashes += 1
                call = RequestRecord(
                    f"crash.{self.crashes}", "stream", "k1", 0.0, relay.listen
                )
                await self._send(session, call, relay, soak_backend.CRASH_PATH)

    async def _send_crashing_parts(self) -> None:
        """Sends requests that share only a part which crashes servers."""
        rng = random.Random(self._random.random())
        count = 0
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(rng.uniform(*PART_INTERVAL_RANGE))
                count += 1
                parts = list(SOUND_PARTS)
                if self._seed % 2:
                    parts += CONVERSATION
                part = f"{soak_backend.CRASHING_PART}:10"
                parts.insert(rng.randint(0, len(parts)), part)
                relay = rng.choice(self.world.relays)
                call = RequestRecord(
                    f"part.{count}", "stream", "k1", 0.0, relay.listen
                )
                path = f"/stream/part{count}"
                await self._send(session, call, relay, path, parts)

    async def _restart_ended_backends(self) -> None:
        """Restarts backend servers that crashed or exited."""
        while True:
            await asyncio.sleep(0.1)
            for backend in self.world.backends:
                assert backend.process is not None
                if backend.process.poll() is None or not self._reserve(
                    backend.name
                ):
                    continue
                span = self._open_span("all", "crash")
                span.started_at -= 0.5  # Polling detects the end with a delay.
                await asyncio.sleep(RESTART_DELAY)
                backend.start()
                span.ended_at = time.monotonic() + 1.0
                self._reserved.discard(backend.name)

    async def _run_caller(self, number: int) -> None:
        """Sends sequential requests over persistent connections."""
        rng = random.Random(self._random.random())
        count = 0
        async with aiohttp.ClientSession() as session:
            while True:
                relays = [r for r in self.world.relays if r.in_rotation]
                relay = rng.choice(relays or self.world.relays)
                if self._hot_relay and rng.random() < HOT_RELAY_FRACTION:
                    relay = self._hot_relay
                count += 1
                await self._call(session, relay, f"c{number}.{count}", rng)
                await asyncio.sleep(rng.uniform(*REQUEST_INTERVAL_RANGE))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        relay: soak_world.RelayHost,
        request_id: str,
        rng: random.Random,
    ) -> None:
        kind = rng.choice(["once", "again", "stream"])
        key = rng.choice(["k1", "k1", "k2"])
        call = RequestRecord(
            request_id, kind, key, time.monotonic(), relay.program.name
        )
        self.calls.append(call)
        await self._send(session, call, relay, f"/{kind}/x")

    async def _send(
        self,
        session: aiohttp.ClientSession,
        call: RequestRecord,
        relay: soak_world.RelayHost,
        path: str,
        parts: Sequence[str] = SOUND_PARTS,
    ) -> None:
        headers = {
            "Host": "soak.example",
            "Hoistmoor-Request-Id": call.request_id,
            "Hoistmoor-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {call.key}",
        }
        if call.kind == "stream":
            headers["Hoistmoor-Model"] = soak_backend.MODEL
            headers["Hoistmoor-Token-Usage"] = "50,5"
            own = f"{call.request_id}:10"
            headers["Hoistmoor-Prefix-Hash"] = ",".join([*parts, own])
        url = f"http://{relay.listen}{path}"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 1.0)
        try:
            async with session.post(
                url, headers=headers, data=b"body", timeout=timeout
            ) as response:
                call.status = response.status
                async for data in response.content.iter_any():
                    call.body += data
                call.is_complete = True
        except (aiohttp.ClientError, TimeoutError):
            call.is_complete = False
        call.ended_at = time.monotonic()

    async def _inject_faults(self) -> None:
        end = time.monotonic() + self._fault_seconds
        faults: list[_Fault] = [
            self._stop_relay,
            self._kill_relay,
            self._pause_relay,
            self._pause_servers,
            self._reload_relays,
            self._disrupt_backend_link,
            self._disrupt_store_link,
            self._disrupt_store,
            self._restore_older_store,
            self._kill_backend,
            self._cut_hosts,
            self._crowd_one_relay,
        ]
        faults = self._select(faults)
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            fault = self._random.choice(faults)
            running.add(asyncio.create_task(_run_fault(fault)))
            await asyncio.sleep(self._random.uniform(*FAULT_INTERVAL_RANGE))
        await asyncio.gather(*running)

    def _select(self, faults: Sequence[_Fault]) -> list[_Fault]:
        """Returns the faults that this run injects."""
        names = {f"_{kind}" for kind in self._kinds}
        return [each for each in faults if not names or each.__name__ in names]

    def _open_span(self, relay: str, what: str) -> FaultPeriod:
        span = FaultPeriod(relay, what, time.monotonic())
        self.spans.append(span)
        return span

    def _reserve(self, name: str) -> bool:
        """Reserves a process, so that it has one fault at a time."""
        if name in self._reserved:
            return False
        self._reserved.add(name)
        return True

    async def _stop_relay(self) -> None:
        relay = self._random.choice(self.world.relays)
        if not self._reserve(relay.program.name):
            return
        stop = FaultPeriod(relay.program.name, "stop", time.monotonic())
        self.stops.append(stop)
        relay.program.send_signal(signal.SIGTERM)
        await relay.program.wait_or_kill(soak_world.STOP_GRACE_SECONDS)
        relay.program.start()
        stop.ended_at = time.monotonic()
        await asyncio.sleep(1.0)
        self._reserved.discard(relay.program.name)

    async def _reload_relays(self) -> None:
        """Makes relays reload their settings, which must abort no request."""
        for relay in self.world.relays:
            relay.program.send_signal(signal.SIGHUP)

    async def _kill_relay(self) -> None:
        relay = self._random.choice(self.world.relays)
        if not self._reserve(relay.program.name):
            return
        span = self._open_span(relay.program.name, "kill")
        relay.program.send_signal(signal.SIGKILL)
        await relay.program.wait_or_kill(1.0)
        await asyncio.sleep(self._random.uniform(*FAULT_DURATION_RANGE))
        relay.program.start()
        await asyncio.sleep(2.0)
        span.ended_at = time.monotonic()
        self._reserved.discard(relay.program.name)

    async def _pause_relay(self) -> None:
        relay = self._random.choice(self.world.relays)
        if not self._reserve(relay.program.name):
            return
        span = self._open_span(relay.program.name, "pause")
        relay.program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.5, 7.0))
        relay.program.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        span.ended_at = time.monotonic()
        self._reserved.discard(relay.program.name)

    async def _pause_servers(self) -> None:
        """Stops some backend servers, at times all of them."""
        count = self._random.randint(1, len(self.world.backends))
        seconds = self._random.uniform(*STOP_SECONDS_RANGE)
        servers = [
            each
            for each in self._random.sample(self.world.backends, count)
            if self._reserve(each.name)
        ]
        names = " ".join(each.name for each in servers)
        span = self._open_span("all", f"server stop {names}")
        for server in servers:
            server.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for server in servers:
            server.send_signal(signal.SIGCONT)
            self._reserved.discard(server.name)
        span.ended_at = time.monotonic() + 1.0

    async def _disrupt_backend_link(self) -> None:
        await self._disrupt_link(
            self._random.choice(self.world.backend_links), ""
        )

    async def _disrupt_store_link(self) -> None:
        relay = self._random.choice(self.world.relays)
        await self._disrupt_link(relay.store_link, relay.program.name)

    async def _disrupt_link(
        self, link: link_proxy.LinkProxy, relay: str
    ) -> None:
        fault = self._random.choice(link_proxy.FAULTS)
        span = self._open_span(relay or "all", f"link {fault}")
        link.inject_fault(fault)
        await asyncio.sleep(self._random.uniform(*FAULT_DURATION_RANGE))
        link.inject_fault("")
        span.ended_at = time.monotonic() + 1.0

    async def _cut_hosts(self) -> None:
        """Cuts some relays from all servers, at times all of them."""
        count = self._random.randint(1, len(self.world.relays))
        how = self._random.choice(link_proxy.CUTS)
        seconds = self._random.uniform(*CUT_SECONDS_RANGE)
        relays = [
            relay
            for relay in self._random.sample(self.world.relays, count)
            if self._reserve(f"links of {relay.program.name}")
        ]
        spans = []
        for relay in relays:
            spans.append(self._open_span(relay.program.name, f"cut {how}"))
            for link in relay.server_links:
                link.cut_off(how)
        await asyncio.sleep(seconds)
        for relay, span in zip(relays, spans, strict=True):
            for link in relay.server_links:
                await link.heal()
            span.ended_at = time.monotonic() + 1.0
            self._reserved.discard(f"links of {relay.program.name}")

    async def _crowd_one_relay(self) -> None:
        """Sends most requests to one relay, which is no fault of it."""
        self._hot_relay = self._random.choice(self.world.relays)
        await asyncio.sleep(self._random.uniform(*CUT_SECONDS_RANGE))
        self._hot_relay = None

    async def _disrupt_store(self) -> None:
        fault = self._random.choice(
            ["down", "silent", "slow", "lost", "forget"]
        )
        span = self._open_span("all", f"store {fault}")
        await self.world.set_store_fault(fault)
        await asyncio.sleep(self._random.uniform(*FAULT_DURATION_RANGE))
        await self.world.set_store_fault("")
        span.ended_at = time.monotonic() + 1.0

    async def _restore_older_store(self) -> None:
        """Takes the store down and restores it from an older copy."""
        span = self._open_span("all", "store rewind")
        await self.world.set_store_fault("down")
        await asyncio.sleep(self._random.uniform(*RESTORE_DOWNTIME_RANGE))
        age = self._random.uniform(*RESTORED_COPY_AGE_RANGE)
        await self.world.set_store_fault("rewind", seconds=f"{age:.3f}")
        span.ended_at = time.monotonic() + 1.0

    async def _kill_backend(self) -> None:
        backend = self._random.choice(self.world.backends)
        if not self._reserve(backend.name):
            return
        span = self._open_span("all", "backend")
        backend.send_signal(signal.SIGKILL)
        await backend.wait_or_kill(1.0)
        await asyncio.sleep(self._random.uniform(*FAULT_DURATION_RANGE))
        backend.start()
        span.ended_at = time.monotonic() + 1.0
        self._reserved.discard(backend.name)

    def find_violations(self, quiet_since: float) -> list[str]:
        """Returns each violation of an invariant."""
        runs: dict[str, list[dict[str, object]]] = collections.defaultdict(list)
        for run in self.world.executions():
            runs[str(run["run"])].append(run)
        known = {call.request_id: call for call in self.calls}
        violations = []
        for call in self.calls:
            violations += self._check_call(call, runs.get(call.request_id, []))
        violations += soak_words.find_violations(
            {call.request_id: call for call in self.calls},
            list(self.world.executions()),
            list(self.world.declined_requests()),
            [*self.spans, *self.stops],
        )
        violations += soak_cuts.find_violations(
            self.calls, [*self.spans, *self.stops], len(self.world.relays)
        )
        budget = soak_budget.BudgetCheck(
            known,
            soak_budget.from_lines(
                [*self.world.executions(), *self.world.declined_requests()],
                self.world.senders,
            ),
            [*self.spans, *self.stops],
        )
        self.figures = budget.figures()
        violations += budget.find_violations()
        size, name = self.largest
        self.figures += f", {size // 1_000_000} MB"
        if size > MAX_RELAY_BYTES:
            violations.append(f"{name} used {size} bytes of memory")
        violations += self.world.failed_tasks()
        crashed = {name for name in runs if name.startswith(CRASHING)}
        for kind in CRASHING:
            late = sum(
                any(
                    float(str(run["at"])) > quiet_since + RECOVERY_SECONDS
                    for run in runs[each]
                )
                for each in crashed
                if each.startswith(kind)
            )
            if late > MAX_QUIET_CRASHES:
                violations.append(
                    f"{late} {kind} requests reached servers after recovery"
                )
        for request_id in runs.keys() - known.keys() - crashed:
            violations.append(f"{request_id} was executed and never requested")
        served = [
            call.status == 200
            for call in self.calls
            if call.key == "k1"
            and call.sent_at > quiet_since + RECOVERY_SECONDS
            and call.ended_at
            and not self._may_lack_servers(call)
            and not _may_get_no_response(call)
        ]
        if not served or sum(served) < 0.9 * len(served):
            violations.append(
                f"{sum(served)} of {len(served)} served after recovery"
            )
        return violations

    def write_records(self, folder: pathlib.Path) -> None:
        """Writes the calls and the periods of faults, to trace a violation."""
        rows = [*self.calls, *self.spans, *self.stops]
        lines = [orjson.dumps(attrs.asdict(each), default=str) for each in rows]
        (folder / "calls.jsonl").write_bytes(b"\n".join(lines))

    def _may_lack_servers(self, call: RequestRecord) -> bool:
        """Returns whether a crash may have left a request without servers.

        A few crash requests may reach servers in the quiet phase. One of them
        can end both servers of the streaming service, and requests during that
        time are refused correctly.
        """
        return call.kind == "stream" and any(
            span.kind == "crash"
            and span.started_at < call.sent_at < span.ended_at
            for span in self.spans
        )

    def _check_call(
        self, call: RequestRecord, runs: list[dict[str, object]]
    ) -> list[str]:
        name = f"{call.kind} {call.request_id} at {call.relay}"
        bound = self.revoked_at + soak_world.REVOKE_MS / 1000
        late = call.key == "k2" and call.sent_at > bound
        is_once = call.kind == "once"
        whole = call.status == 200 and call.is_complete
        checks = {
            "was executed more than once": is_once and len(runs) > 1,
            "was refused and executed": is_once
            and runs
            and call.status in NOT_EXECUTED,
            "received an unexpected response": whole
            and call.body != _expected_body(call),
            "was executed with a revoked key": late and runs,
            "was aborted by a graceful stop": self._was_aborted_by_stop(
                call, runs
            ),
            "was refused by an outdated configuration": call.key == "k1"
            and call.status in CONFIGURATION_REFUSALS,
            "was executed for another account": any(
                run["tenant"] != "farm" or run["key"] for run in runs
            ),
            "was executed with a deadline beyond its caller's": any(
                int(str(run["left_ms"])) > DEADLINE_MS for run in runs
            ),
        }
        return [f"{name} {what}" for what, wrong in checks.items() if wrong]

    def _was_aborted_by_stop(
        self, call: RequestRecord, runs: list[dict[str, object]]
    ) -> bool:
        if call.is_complete or not runs or not call.ended_at:
            return False
        return not any(
            span.relay in ("all", call.relay)
            and span.started_at < call.ended_at
            and span.ended_at > call.sent_at
            for span in self.spans
        )


def _expected_body(call: RequestRecord) -> bytes:
    if call.kind != "stream":
        return soak_backend.response_body(call.request_id)
    return b"".join(
        soak_backend.response_event(call.request_id, number)
        for number in range(1, soak_backend.EVENTS + 1)
    )


def _may_get_no_response(call: RequestRecord) -> bool:
    """Returns whether the only run of a request may yield no response.

    One server sends what is no valid response, and a request that may run once
    is not sent to another one after that.
    """
    if call.kind != "once":
        return False
    return any(
        soak_backend.is_in_phase(soak_backend.BROKEN_PHASE, at)
        for at in (call.sent_at, call.ended_at)
    )


async def _run_fault(fault: _Fault) -> None:
    await fault()


async def run_seed(
    seed: int,
    seconds: float,
    relays: int,
    folder: pathlib.Path,
    kinds: Sequence[str] = (),
) -> list[str]:
    """Runs the soak with one seed and returns the violations.

    Args:
        seed: Determines the schedule.
        seconds: Length of the phase with faults.
        relays: Number of relays.
        folder: Directory of logs and settings.
        kinds: Names of the faults to inject; all of them if empty.
    """
    async with aiohttp.ClientSession() as session:
        world = soak_world.Environment(folder, session)
        try:
            await world.start(relays)
            soak = Soak(world, seed, seconds, kinds)
            violations = await soak.run()
            soak.write_records(folder)
        finally:
            await world.stop()
    served = sum(call.status == 200 for call in soak.calls)
    sys.stdout.write(
        f"seed {seed}: {len(soak.calls)} requests, {served} served,"
        f" {len(soak.spans)} fault periods, {len(violations)} violations;"
        f" {soak.figures}\n"
    )
    sys.stdout.flush()
    return violations


def main() -> int:
    """Runs the seeds of the command line; returns 1 after a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", required=True)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--relays", type=int, default=3)
    parser.add_argument("--logs", type=pathlib.Path, default=None)
    parser.add_argument("--faults", nargs="+", default=())
    arguments = parser.parse_args()
    failed = False
    for seed in arguments.seeds:
        folder = arguments.logs or pathlib.Path(tempfile.mkdtemp())
        folder = folder / f"seed-{seed}"
        # The records of an earlier run must not be taken for this one's.
        folder.mkdir(parents=True)
        violations = asyncio.run(
            run_seed(
                seed,
                arguments.seconds,
                arguments.relays,
                folder,
                arguments.faults,
            )
        )
        for line in violations[:20]:
            sys.stdout.write(f"  {line}\n")
        if violations:
            failed = True
            sys.stdout.write(f"  logs: {folder}\n")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
