"""What the promises cost, and how they hold over many requests and kills.

Drives real processes with the harness and the checks of the system tests:

    PYTHONPATH=tests:tests/system python benchmarks/promises.py bills
    PYTHONPATH=tests:tests/system python benchmarks/promises.py leaving
    PYTHONPATH=tests:tests/system python benchmarks/promises.py appends
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Any, TYPE_CHECKING

import attrs
import system_deployment
import system_processes
import uvloop

from hoistmoor.core import streams
from hoistmoor.core.limits import records as limits_records
from hoistmoor.history import checker
from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hoistmoor.clients import log

REQUESTS = 24_000  # Some reach a host that is down, and do not count.
KILL_EVERY = 3_000  # Requests between two kills.
WORKERS = 48
ROUNDS = 20  # Leavings of each kind.
HOST_COUNTS = (2, 4, 8, 16)
RATES = (50, 150)  # Requests a second over all hosts.
SECONDS = 8.0  # Of load for each number of hosts and rate.
STREAMS = (
    streams.TABLE,
    streams.CLAIMS,
    streams.BILLS,
    streams.EVIDENCE,
    streams.DECISIONS,
    limits_records.STREAM,
)
_STEP = 0.01  # Seconds between looks.

Deployment = system_deployment.Deployment
Hosts = list[system_processes.Program]


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


async def _with_deployment(
    part: Callable[[Deployment], Awaitable[None]],
) -> None:
    with tempfile.TemporaryDirectory() as logs:
        async with system_deployment.open_session() as session:
            deployment = Deployment(session, pathlib.Path(logs))
            try:
                await part(deployment)
            finally:
                await deployment.processes.end()


async def _ask(deployment: Deployment, host: Any, number: int) -> None:
    """Sends a request of one of three kinds in turn."""
    caller = deployment.caller
    mark = caller.mark()
    kinds: tuple[Callable[[], Awaitable[Any]], ...] = (
        lambda: caller.confirm(host, mark),
        lambda: caller.confirm(host, mark, f"own-{mark}"),
        lambda: caller.chat(host, mark, "khao@1"),
    )
    await kinds[number % len(kinds)]()


# Billed once, with kills.


@attrs.define
class Kills:
    """Kills a host after every so many requests and starts it again.

    Attributes:
        deployment: The processes.
        hosts: Those that run, in turn.
        count: Kills so far.
    """

    deployment: Deployment
    hosts: Hosts
    count: int = 0

    async def strike(self) -> None:
        """Kills the next host and starts another of its name."""
        at = self.count % len(self.hosts)
        self.count += 1
        await self.deployment.kill(self.hosts[at])
        name = self.hosts[at].name
        self.hosts[at] = await self.deployment.start_entry(name)
        await self.deployment.await_ready(self.hosts[at])


async def bills(deployment: Deployment) -> None:
    """Prints how bills and answers agree over many requests and kills."""
    hosts = await deployment.start(hosts=3, engines=3, counters=3)
    kills = Kills(deployment, hosts)
    numbers = iter(range(REQUESTS))
    start = time.monotonic()

    async def work() -> None:
        for number in numbers:
            await _ask(deployment, hosts[number % len(hosts)], number)

    async def strike() -> None:
        for due in range(KILL_EVERY, REQUESTS, KILL_EVERY):
            while len(deployment.caller.answers) < due:
                await asyncio.sleep(_STEP)
            await kills.strike()

    await asyncio.gather(strike(), *(work() for _ in range(WORKERS)))
    took = time.monotonic() - start
    history = await deployment.history()
    _print(f"{len(deployment.caller.answers)} requests in {took:.0f} s")
    _print(f"{kills.count} kills with restarts, of {len(hosts)} hosts")
    _print_bills(history, deployment)


def _print_bills(history: events.History, deployment: Deployment) -> None:
    told = history.responses
    refused = collections.Counter(word.reason for word in told if word.reason)
    written = history.events_of(events.Billed)
    billed = {(bill.account, bill.request_id) for bill in written}
    whole = {
        (history.requests_by_call[word.call_id].account, word.request_id)
        for word in told
        if word.whole
    }
    ran = {run.request_id for run in history.runs}
    _print(
        f"{len(whole)} answered, {sum(refused.values())} refused "
        f"{dict(refused)}, {len(history.events_of(events.Cut))} cut"
    )
    _print(f"{len(written)} bills on the log, {len(billed)} apart from repeats")
    _print(f"answers without a bill: {len(whole - billed)}")
    _print(
        "bills without a run: "
        f"{len({id_ for _, id_ in billed if id_ not in ran})}"
    )
    found = checker.check(
        history, ("POST /confirm",), frozenset(deployment.crashed)
    )
    _print(f"violations of any promise: {len(found)} {found[:3]}")


# Leaving servers.


async def leaving(deployment: Deployment) -> None:
    """Prints how long a leaving backend server gets new work."""
    hosts = await deployment.start(hosts=3, engines=1, counters=2)
    stop = asyncio.Event()
    numbers = itertools.count()

    async def traffic(host: system_processes.Program) -> None:
        while not stop.is_set():
            next(numbers)
            await deployment.caller.confirm(host, deployment.caller.mark())

    # Two callers at each of two hosts; the third hears of it by the others.
    running = [asyncio.create_task(traffic(host)) for host in hosts[:2] * 2]
    try:
        await _rounds(deployment, hosts, "list", _leave_by_list)
        await _rounds(deployment, hosts, "own word", _leave_by_word)
    finally:
        stop.set()
        await asyncio.gather(*running)


async def _leave_by_list(deployment: Deployment) -> None:
    await deployment.list_backend("counter-1", "leaving")


async def _leave_by_word(deployment: Deployment) -> None:
    await deployment.processes.fault("counter-1", "leaving")


async def _rounds(
    deployment: Deployment,
    hosts: Hosts,
    name: str,
    leave: Callable[[Deployment], Awaitable[None]],
) -> None:
    last: list[float] = []
    known: list[float] = []
    heard: list[float] = []
    address = deployment.program("counter-1").address
    for _ in range(ROUNDS):
        await _await_work(deployment, "counter-1")
        start = time.time()
        await leave(deployment)
        times = await asyncio.gather(
            *(_await_known(deployment, host, address) for host in hosts)
        )
        await asyncio.sleep(0.5)  # What was sent before has run by now.
        runs = await deployment.runs_of("counter-1")
        last.append(max(0.0, max(run.at for run in runs) - start))
        known.append(max(times[:2]) - start)
        heard.append(times[2] - start)
        await deployment.replace_counter("counter-1")
    _print(f"by {name}, {ROUNDS} times, seconds:")
    _print_times("last new request that ran there", last)
    _print_times("known at both hosts with traffic", known)
    _print_times("known at the host without traffic", heard)


def _print_times(name: str, times: list[float]) -> None:
    _print(
        f"  {name}: median {statistics.median(times):.2f}, "
        f"worst {max(times):.2f}"
    )


async def _await_work(deployment: Deployment, name: str) -> None:
    async def works() -> bool:
        return bool(await deployment.runs_of(name))

    await system_processes.wait_until(works, f"{name} gets work")


async def _await_known(
    deployment: Deployment, host: system_processes.Program, address: str
) -> float:
    await deployment.await_all(
        [host],
        lambda status: address in status["leaving_servers"],
        f"{host.name} knows",
    )
    return time.time()


# Appends.


async def appends() -> None:
    """Prints the appends a second of each stream by hosts and rate."""
    names = "  ".join(f"{name:>9}" for name in STREAMS)
    _print(f"hosts  asked/s  done/s  {names}      all")
    for hosts in HOST_COUNTS:
        await _with_deployment(
            lambda deployment, hosts=hosts: _appends_of(deployment, hosts)
        )


async def _appends_of(deployment: Deployment, count: int) -> None:
    hosts = await deployment.start(hosts=count, engines=2, counters=2)
    for rate in (0, *RATES):
        before = await _offsets(deployment.log)
        start = time.monotonic()
        await _load(deployment, hosts, rate)
        took = time.monotonic() - start
        after = await _offsets(deployment.log)
        done = rate * SECONDS / took
        each = [(after[name] - before[name]) / took for name in STREAMS]
        shown = "  ".join(f"{value:9.1f}" for value in each)
        _print(f"{count:5}  {rate:7}  {done:6.0f}  {shown}  {sum(each):7.1f}")


async def _load(deployment: Deployment, hosts: Hosts, rate: int) -> None:
    if not rate:
        await asyncio.sleep(SECONDS)
        return
    start = time.monotonic()
    running = []
    for number in range(int(rate * SECONDS)):
        host = hosts[number % len(hosts)]
        # Each host gets each kind.
        kind = number // len(hosts)
        running.append(asyncio.create_task(_ask(deployment, host, kind)))
        wait = start + (number + 1) / rate - time.monotonic()
        await asyncio.sleep(max(0.0, wait))
    await asyncio.gather(*running)


async def _offsets(client: log.LogClient) -> dict[str, int]:
    return {name: (await client.bounds(name)).next for name in STREAMS}


async def main(part: str) -> None:
    """Runs one part."""
    if part == "appends":
        await appends()
    else:
        await _with_deployment({"bills": bills, "leaving": leaving}[part])


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1]))
