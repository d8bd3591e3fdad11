"""Measures billing under load and kills, departures, and appends.

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

REQUEST_COUNT = 24_000  # Includes those that reach a host that is down.
REQUESTS_PER_KILL = 3_000
WORKERS = 48
DEPARTURE_ROUNDS = 20  # For each kind of departure.
HOST_COUNTS = (2, 4, 8, 16)
RATES = (50, 150)  # Requests a second over all hosts.
LOAD_SECONDS = 8.0  # For each number of hosts and rate.
STREAMS = (
    streams.TABLE,
    streams.CLAIMS,
    streams.BILLS,
    streams.EVIDENCE,
    streams.DECISIONS,
    limits_records.STREAM,
)
_POLL_INTERVAL = 0.01

Deployment = system_deployment.Deployment
Hosts = list[system_processes.Program]


def _print_line(line: str) -> None:
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
                await deployment.processes.kill_all()


async def _send_request(deployment: Deployment, host: Any, number: int) -> None:
    """Sends a request; ``number`` selects one of three kinds."""
    caller = deployment.caller
    mark = caller.make_mark()
    kinds: tuple[Callable[[], Awaitable[Any]], ...] = (
        lambda: caller.confirm(host, mark),
        lambda: caller.confirm(host, mark, f"own-{mark}"),
        lambda: caller.chat(host, mark, "khao@1"),
    )
    await kinds[number % len(kinds)]()


# Bills while hosts are killed.


@attrs.define
class HostKiller:
    """Kills and restarts the entry hosts in turn.

    Attributes:
        deployment: The processes.
        hosts: The running entry hosts.
        count: Kills so far.
    """

    deployment: Deployment
    hosts: Hosts
    count: int = 0

    async def kill_next(self) -> None:
        """Kills the next host and restarts it under the same name."""
        at = self.count % len(self.hosts)
        self.count += 1
        await self.deployment.kill(self.hosts[at])
        name = self.hosts[at].name
        self.hosts[at] = await self.deployment.start_entry(name)
        await self.deployment.await_ready(self.hosts[at])


async def bills(deployment: Deployment) -> None:
    """Prints whether bills match responses over many requests and kills."""
    hosts = await deployment.start(hosts=3, engines=3, counters=3)
    killer = HostKiller(deployment, hosts)
    numbers = iter(range(REQUEST_COUNT))
    start = time.monotonic()

    async def work() -> None:
        for number in numbers:
            await _send_request(deployment, hosts[number % len(hosts)], number)

    async def kill_hosts() -> None:
        for threshold in range(
            REQUESTS_PER_KILL, REQUEST_COUNT, REQUESTS_PER_KILL
        ):
            while len(deployment.caller.responses) < threshold:
                await asyncio.sleep(_POLL_INTERVAL)
            await killer.kill_next()

    await asyncio.gather(kill_hosts(), *(work() for _ in range(WORKERS)))
    elapsed = time.monotonic() - start
    history = await deployment.history()
    _print_line(
        f"{len(deployment.caller.responses)} requests in {elapsed:.0f} s"
    )
    _print_line(f"{killer.count} kills with restarts, of {len(hosts)} hosts")
    _print_bills(history, deployment)


def _print_bills(history: events.History, deployment: Deployment) -> None:
    responses = history.responses
    refused = collections.Counter(
        response.reason for response in responses if response.reason
    )
    bills_on_log = history.events_of(events.Billed)
    billed = {(bill.account, bill.request_id) for bill in bills_on_log}
    completed = {
        (
            history.requests_by_call[response.call_id].account,
            response.request_id,
        )
        for response in responses
        if response.whole
    }
    executed = {run.request_id for run in history.runs}
    _print_line(
        f"{len(completed)} answered, {sum(refused.values())} refused "
        f"{dict(refused)}, {len(history.events_of(events.Cut))} cut"
    )
    _print_line(
        f"{len(bills_on_log)} bills on the log, "
        f"{len(billed)} apart from repeats"
    )
    _print_line(f"answers without a bill: {len(completed - billed)}")
    _print_line(
        "bills without a run: "
        f"{len({id_ for _, id_ in billed if id_ not in executed})}"
    )
    violations = checker.check(
        history, ("POST /confirm",), frozenset(deployment.crashed)
    )
    _print_line(
        f"violations of any promise: {len(violations)} {violations[:3]}"
    )


# Departures of backend servers.


async def departures(deployment: Deployment) -> None:
    """Prints how long a leaving backend server gets new requests."""
    hosts = await deployment.start(hosts=3, engines=1, counters=2)
    stop = asyncio.Event()
    numbers = itertools.count()

    async def traffic(host: system_processes.Program) -> None:
        while not stop.is_set():
            next(numbers)
            await deployment.caller.confirm(host, deployment.caller.make_mark())

    # Two callers at each of two hosts; the third host learns of departures
    # only by gossip.
    tasks = [asyncio.create_task(traffic(host)) for host in hosts[:2] * 2]
    try:
        await _measure_departures(
            deployment, hosts, "list", _leave_by_host_list
        )
        await _measure_departures(
            deployment, hosts, "own word", _leave_by_announcement
        )
    finally:
        stop.set()
        await asyncio.gather(*tasks)


async def _leave_by_host_list(deployment: Deployment) -> None:
    await deployment.list_backend("counter-1", "leaving")


async def _leave_by_announcement(deployment: Deployment) -> None:
    await deployment.processes.inject_fault("counter-1", "leaving")


async def _measure_departures(
    deployment: Deployment,
    hosts: Hosts,
    name: str,
    announce_departure: Callable[[Deployment], Awaitable[None]],
) -> None:
    last_request_seconds: list[float] = []
    traffic_host_seconds: list[float] = []
    idle_host_seconds: list[float] = []
    address = deployment.program("counter-1").address
    for _ in range(DEPARTURE_ROUNDS):
        await _await_work(deployment, "counter-1")
        start = time.time()
        await announce_departure(deployment)
        times = await asyncio.gather(
            *(
                _await_leaving_status(deployment, host, address)
                for host in hosts
            )
        )
        await asyncio.sleep(0.5)  # Earlier requests have completed by now.
        runs = await deployment.executions_of("counter-1")
        last_request_seconds.append(
            max(0.0, max(run.at for run in runs) - start)
        )
        traffic_host_seconds.append(max(times[:2]) - start)
        idle_host_seconds.append(times[2] - start)
        await deployment.replace_counter("counter-1")
    _print_line(f"by {name}, {DEPARTURE_ROUNDS} times, seconds:")
    _print_times("last new request that ran there", last_request_seconds)
    _print_times("known at both hosts with traffic", traffic_host_seconds)
    _print_times("known at the host without traffic", idle_host_seconds)


def _print_times(name: str, times: list[float]) -> None:
    _print_line(
        f"  {name}: median {statistics.median(times):.2f}, "
        f"worst {max(times):.2f}"
    )


async def _await_work(deployment: Deployment, name: str) -> None:
    async def works() -> bool:
        return bool(await deployment.executions_of(name))

    await system_processes.wait_until(works, f"{name} gets requests")


async def _await_leaving_status(
    deployment: Deployment, host: system_processes.Program, address: str
) -> float:
    await deployment.await_statuses(
        [host],
        lambda status: address in status["leaving_servers"],
        f"{host.name} knows the departure",
    )
    return time.time()


# Appends.


async def appends() -> None:
    """Prints appends a second by stream, number of hosts and rate."""
    names = "  ".join(f"{name:>9}" for name in STREAMS)
    _print_line(f"hosts  asked/s  done/s  {names}      all")
    for hosts in HOST_COUNTS:
        await _with_deployment(
            lambda deployment, hosts=hosts: _measure_appends(deployment, hosts)
        )


async def _measure_appends(deployment: Deployment, count: int) -> None:
    hosts = await deployment.start(hosts=count, engines=2, counters=2)
    for rate in (0, *RATES):
        before = await _next_offsets(deployment.log)
        start = time.monotonic()
        await _send_load(deployment, hosts, rate)
        elapsed = time.monotonic() - start
        after = await _next_offsets(deployment.log)
        done = rate * LOAD_SECONDS / elapsed
        rates = [(after[name] - before[name]) / elapsed for name in STREAMS]
        shown = "  ".join(f"{value:9.1f}" for value in rates)
        _print_line(
            f"{count:5}  {rate:7}  {done:6.0f}  {shown}  {sum(rates):7.1f}"
        )


async def _send_load(deployment: Deployment, hosts: Hosts, rate: int) -> None:
    if not rate:
        await asyncio.sleep(LOAD_SECONDS)
        return
    start = time.monotonic()
    tasks = []
    for number in range(int(rate * LOAD_SECONDS)):
        host = hosts[number % len(hosts)]
        # Every host gets requests of every kind.
        kind = number // len(hosts)
        tasks.append(asyncio.create_task(_send_request(deployment, host, kind)))
        delay = start + (number + 1) / rate - time.monotonic()
        await asyncio.sleep(max(0.0, delay))
    await asyncio.gather(*tasks)


async def _next_offsets(client: log.LogClient) -> dict[str, int]:
    return {name: (await client.bounds(name)).next for name in STREAMS}


async def main(part: str) -> None:
    """Runs one part of the benchmark."""
    if part == "appends":
        await appends()
    else:
        await _with_deployment({"bills": bills, "leaving": departures}[part])


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1]))
