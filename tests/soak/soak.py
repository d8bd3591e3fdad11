"""A randomized soak of real relays, with faults from outside them.

    python tests/soak/soak.py --seeds 1 2 3 --seconds 20

It starts a store, backend servers and relays as processes, sends requests
over kept connections, and stops, pauses, kills and restarts relays, harms
links and the store, by a schedule that the seed gives. At the end it checks
the promises from what callers and backend servers saw, and prints each one
that was broken with the seed.
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
import soak_backend
import soak_proxy
import soak_words
import soak_world

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CALLERS = 12
PAUSE = (0.02, 0.2)  # Seconds between two requests of a caller.
FAULT_PAUSE = (0.3, 2.5)  # Seconds between two faults.
FAULT_TIME = (0.5, 3.0)  # Seconds that a fault lasts.
REWIND_AWAY = (0.0, 2.0)  # Seconds until the store comes back from a copy.
REWIND_AGE = (0.2, 9.0)  # Seconds since that copy was made.
CALM = 8.0  # Seconds without faults at the end.
RECOVERED = 6.0  # Seconds of these after which requests must be served.
DEADLINE_MS = 5000
REVOKE_AT = 0.4  # Part of the time after which a key is taken away.
CRASH_PAUSE = (0.5, 4.0)  # Seconds between two tries of what ends servers.
BACK_AFTER = 0.5  # Seconds until a backend server that ended is started again.
MOST_CRASHES = 3  # Tries that may reach servers when all is calm.
NOT_KNOWN = frozenset({401, 403, 404})
NOT_RUN = frozenset({408, 421, 429, 503})


@attrs.define
class Call:
    """One request of a caller, and what it saw.

    Attributes:
        request_id: Its id.
        kind: Name of the route.
        key: The key it was sent with.
        sent_at: Steady time at which it was sent.
        relay: Name of the relay.
        status: Status of the answer; 0 without one.
        is_whole: Whether the answer ended as it should.
        body: What came of the answer.
        ended_at: Steady time of its end.
    """

    request_id: str
    kind: str
    key: str
    sent_at: float
    relay: str
    status: int = 0
    is_whole: bool = False
    body: bytes = b""
    ended_at: float = 0.0


@attrs.define
class Span:
    """Time in which something was disturbed."""

    relay: str
    what: str
    first: float
    last: float = float("inf")


class Soak:
    """One run with one seed."""

    def __init__(
        self, world: soak_world.World, seed: int, seconds: float
    ) -> None:
        self.world = world
        self.calls: list[Call] = []
        self.spans: list[Span] = []
        self.stops: list[Span] = []
        self.revoked_at = float("inf")
        self._draw = random.Random(seed)
        self._seconds = seconds
        self._faulty = True
        self._busy: set[str] = set()
        self.crashes = 0

    async def run(self) -> list[str]:
        """Plays the run; returns what was broken."""
        tasks = [asyncio.create_task(self._balance())]
        await self._until_ready()
        tasks += [
            asyncio.create_task(self._call_on(number))
            for number in range(CALLERS)
        ]
        tasks.append(asyncio.create_task(self._revoke()))
        tasks.append(asyncio.create_task(self._crash()))
        tasks.append(asyncio.create_task(self._restart_ended()))
        await self._disturb()
        calm_from = time.monotonic()
        await asyncio.sleep(CALM)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self.broken(calm_from)

    async def _until_ready(self) -> None:
        async with asyncio.timeout(soak_world.START_TIMEOUT):
            while not any(relay.in_rotation for relay in self.world.relays):
                await asyncio.sleep(0.1)

    async def _balance(self) -> None:
        """Asks each relay once a second, as the balancer does."""
        while True:
            for relay in self.world.relays:
                status = await self.world.ask(f"http://{relay.ready}/")
                relay.in_rotation = status == 200
            await asyncio.sleep(1.0)

    async def _revoke(self) -> None:
        await asyncio.sleep(self._seconds * REVOKE_AT)
        manifest = soak_world.configuration(2, ["k1"])
        await self.world.put("keyed.op", "config", manifest)
        self.revoked_at = time.monotonic()

    async def _crash(self) -> None:
        """Sends a request that ends servers, at any relay, again and again."""
        draw = random.Random(self._draw.random())
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(draw.uniform(*CRASH_PAUSE))
                relay = draw.choice(self.world.relays)
                self.crashes += 1
                call = Call(
                    f"crash.{self.crashes}", "stream", "k1", 0.0, relay.listen
                )
                await self._send(session, call, relay, soak_backend.CRASH_PATH)

    async def _restart_ended(self) -> None:
        """Starts backend servers again that have ended by themselves."""
        while True:
            await asyncio.sleep(0.1)
            for backend in self.world.backends:
                assert backend.process is not None
                if backend.process.poll() is None or not self._take(
                    backend.name
                ):
                    continue
                span = self._span("all", "crash")
                span.first -= 0.5  # It was noticed late.
                await asyncio.sleep(BACK_AFTER)
                backend.start()
                span.last = time.monotonic() + 1.0
                self._busy.discard(backend.name)

    async def _call_on(self, number: int) -> None:
        """Sends requests one after the other, on connections that are kept."""
        draw = random.Random(self._draw.random())
        count = 0
        async with aiohttp.ClientSession() as session:
            while True:
                relays = [r for r in self.world.relays if r.in_rotation]
                relay = draw.choice(relays or self.world.relays)
                count += 1
                await self._call(session, relay, f"c{number}.{count}", draw)
                await asyncio.sleep(draw.uniform(*PAUSE))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        relay: soak_world.RelayHost,
        request_id: str,
        draw: random.Random,
    ) -> None:
        kind = draw.choice(["once", "again", "stream"])
        key = draw.choice(["k1", "k1", "k2"])
        call = Call(request_id, kind, key, time.monotonic(), relay.program.name)
        self.calls.append(call)
        await self._send(session, call, relay, f"/{kind}/x")

    async def _send(
        self,
        session: aiohttp.ClientSession,
        call: Call,
        relay: soak_world.RelayHost,
        path: str,
    ) -> None:
        headers = {
            "Host": "soak.example",
            "Hoistmoor-Request-Id": call.request_id,
            "Hoistmoor-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {call.key}",
        }
        url = f"http://{relay.listen}{path}"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 1.0)
        try:
            async with session.post(
                url, headers=headers, data=b"body", timeout=timeout
            ) as reply:
                call.status = reply.status
                async for data in reply.content.iter_any():
                    call.body += data
                call.is_whole = True
        except (aiohttp.ClientError, TimeoutError):
            call.is_whole = False
        call.ended_at = time.monotonic()

    async def _disturb(self) -> None:
        end = time.monotonic() + self._seconds
        faults: list[Callable[[], Awaitable[None]]] = [
            self._stop_relay,
            self._kill_relay,
            self._pause_relay,
            self._hang_up_relays,
            self._harm_backend_link,
            self._harm_store_link,
            self._harm_store,
            self._rewind_store,
            self._kill_backend,
        ]
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end:
            fault = self._draw.choice(faults)
            running.add(asyncio.create_task(_as_task(fault)))
            await asyncio.sleep(self._draw.uniform(*FAULT_PAUSE))
        await asyncio.gather(*running)

    def _span(self, relay: str, what: str) -> Span:
        span = Span(relay, what, time.monotonic())
        self.spans.append(span)
        return span

    def _take(self, name: str) -> bool:
        """Keeps two faults from the same process; others overlap."""
        if name in self._busy:
            return False
        self._busy.add(name)
        return True

    async def _stop_relay(self) -> None:
        relay = self._draw.choice(self.world.relays)
        if not self._take(relay.program.name):
            return
        stop = Span(relay.program.name, "stop", time.monotonic())
        self.stops.append(stop)
        relay.program.send(signal.SIGTERM)
        await relay.program.end(soak_world.GRACE_S)
        relay.program.start()
        stop.last = time.monotonic()
        await asyncio.sleep(1.0)
        self._busy.discard(relay.program.name)

    async def _hang_up_relays(self) -> None:
        """Tells relays to look at their settings; it must cut nothing."""
        for relay in self.world.relays:
            relay.program.send(signal.SIGHUP)

    async def _kill_relay(self) -> None:
        relay = self._draw.choice(self.world.relays)
        if not self._take(relay.program.name):
            return
        span = self._span(relay.program.name, "kill")
        relay.program.send(signal.SIGKILL)
        await relay.program.end(1.0)
        await asyncio.sleep(self._draw.uniform(*FAULT_TIME))
        relay.program.start()
        await asyncio.sleep(2.0)
        span.last = time.monotonic()
        self._busy.discard(relay.program.name)

    async def _pause_relay(self) -> None:
        relay = self._draw.choice(self.world.relays)
        if not self._take(relay.program.name):
            return
        span = self._span(relay.program.name, "pause")
        relay.program.send(signal.SIGSTOP)
        await asyncio.sleep(self._draw.uniform(0.5, 7.0))
        relay.program.send(signal.SIGCONT)
        await asyncio.sleep(1.0)
        span.last = time.monotonic()
        self._busy.discard(relay.program.name)

    async def _harm_backend_link(self) -> None:
        await self._harm(self._draw.choice(self.world.backend_links), "")

    async def _harm_store_link(self) -> None:
        relay = self._draw.choice(self.world.relays)
        await self._harm(relay.store_link, relay.program.name)

    async def _harm(self, link: soak_proxy.Proxy, relay: str) -> None:
        fault = self._draw.choice(soak_proxy.FAULTS)
        span = self._span(relay or "all", f"link {fault}")
        link.harm(fault)
        await asyncio.sleep(self._draw.uniform(*FAULT_TIME))
        link.harm("")
        span.last = time.monotonic() + 1.0

    async def _harm_store(self) -> None:
        fault = self._draw.choice(["down", "silent", "slow", "lost", "forget"])
        span = self._span("all", f"store {fault}")
        await self.world.set_store_fault(fault)
        await asyncio.sleep(self._draw.uniform(*FAULT_TIME))
        await self.world.set_store_fault("")
        span.last = time.monotonic() + 1.0

    async def _rewind_store(self) -> None:
        """The store is away and comes back from an older copy of itself."""
        span = self._span("all", "store rewind")
        await self.world.set_store_fault("down")
        await asyncio.sleep(self._draw.uniform(*REWIND_AWAY))
        age = self._draw.uniform(*REWIND_AGE)
        await self.world.set_store_fault("rewind", seconds=f"{age:.3f}")
        span.last = time.monotonic() + 1.0

    async def _kill_backend(self) -> None:
        backend = self._draw.choice(self.world.backends)
        if not self._take(backend.name):
            return
        span = self._span("all", "backend")
        backend.send(signal.SIGKILL)
        await backend.end(1.0)
        await asyncio.sleep(self._draw.uniform(*FAULT_TIME))
        backend.start()
        span.last = time.monotonic() + 1.0
        self._busy.discard(backend.name)

    def broken(self, calm_from: float) -> list[str]:
        """Returns each promise that the run broke."""
        runs: dict[str, list[dict[str, object]]] = collections.defaultdict(list)
        for run in self.world.runs():
            runs[str(run["run"])].append(run)
        known = {call.request_id: call for call in self.calls}
        found = []
        for call in self.calls:
            found += self._check_call(call, runs.get(call.request_id, []))
        found += soak_words.broken(
            {call.request_id: call for call in self.calls},
            list(self.world.runs()),
            list(self.world.declined()),
            [*self.spans, *self.stops],
        )
        crashed = {name for name in runs if name.startswith("crash.")}
        late = sum(
            any(
                float(str(run["at"])) > calm_from + RECOVERED
                for run in runs[each]
            )
            for each in crashed
        )
        if late > MOST_CRASHES:
            found.append(f"{late} tries of what ends servers, when calm")
        for request_id in runs.keys() - known.keys() - crashed:
            found.append(f"nobody asked for {request_id}, and it ran")
        served = [
            call.status == 200
            for call in self.calls
            if call.key == "k1"
            and call.sent_at > calm_from + RECOVERED
            and call.ended_at
            and not self._lacked_servers(call)
        ]
        if not served or sum(served) < 0.9 * len(served):
            found.append(f"{sum(served)} of {len(served)} served when calm")
        return found

    def _lacked_servers(self, call: Call) -> bool:
        """Returns whether what ends servers may have ended all of a call's.

        A few tries of it may reach servers when all is calm, and one ends both
        of the streams' servers: all who call then are refused, rightly.
        """
        return call.kind == "stream" and any(
            span.what == "crash" and span.first < call.sent_at < span.last
            for span in self.spans
        )

    def _check_call(
        self, call: Call, runs: list[dict[str, object]]
    ) -> list[str]:
        name = f"{call.kind} {call.request_id} at {call.relay}"
        bound = self.revoked_at + soak_world.REVOKE_MS / 1000
        late = call.key == "k2" and call.sent_at > bound
        is_once = call.kind == "once"
        whole = call.status == 200 and call.is_whole
        checks = {
            "ran more than once": is_once and len(runs) > 1,
            "was refused and ran": is_once and runs and call.status in NOT_RUN,
            "got another answer": whole and call.body != _due(call),
            "ran with a key taken away before": late and runs,
            "was cut by a stop": self._was_cut_by_a_stop(call, runs),
            "was refused as an older configuration says": call.key == "k1"
            and call.status in NOT_KNOWN,
            "ran as another account": any(
                run["tenant"] != "farm" or run["key"] for run in runs
            ),
            "got more time than its caller has": any(
                int(str(run["left_ms"])) > DEADLINE_MS for run in runs
            ),
        }
        return [f"{name} {what}" for what, wrong in checks.items() if wrong]

    def _was_cut_by_a_stop(
        self, call: Call, runs: list[dict[str, object]]
    ) -> bool:
        if call.is_whole or not runs or not call.ended_at:
            return False
        return not any(
            span.relay in ("all", call.relay)
            and span.first < call.ended_at
            and span.last > call.sent_at
            for span in self.spans
        )


def _due(call: Call) -> bytes:
    if call.kind != "stream":
        return soak_backend.body_of(call.request_id)
    return b"".join(
        soak_backend.event_of(call.request_id, number)
        for number in range(1, soak_backend.EVENTS + 1)
    )


async def _as_task(fault: Callable[[], Awaitable[None]]) -> None:
    await fault()


async def play(
    seed: int, seconds: float, relays: int, folder: pathlib.Path
) -> list[str]:
    """Plays one seed; returns what was broken."""
    async with aiohttp.ClientSession() as session:
        world = soak_world.World(folder, session)
        try:
            await world.start(relays)
            soak = Soak(world, seed, seconds)
            found = await soak.run()
        finally:
            await world.stop()
    served = sum(call.status == 200 for call in soak.calls)
    sys.stdout.write(
        f"seed {seed}: {len(soak.calls)} calls, {served} served,"
        f" {len(soak.spans)} disturbances, {len(found)} broken\n"
    )
    sys.stdout.flush()
    return found


def main() -> int:
    """Plays the seeds of the command line; returns 1 if any broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", required=True)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--relays", type=int, default=3)
    parser.add_argument("--logs", type=pathlib.Path, default=None)
    words = parser.parse_args()
    failed = False
    for seed in words.seeds:
        folder = words.logs or pathlib.Path(tempfile.mkdtemp())
        folder = folder / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        found = asyncio.run(play(seed, words.seconds, words.relays, folder))
        for line in found[:20]:
            sys.stdout.write(f"  {line}\n")
        if found:
            failed = True
            sys.stdout.write(f"  logs: {folder}\n")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
