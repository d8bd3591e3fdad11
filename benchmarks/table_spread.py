"""Measures how long a table edit takes to be in force at every entry host.

Run ``python benchmarks/table_spread.py``. Starts the platform stand-in and
nine entry hosts as processes on loopback, publishes a table, then appends one
edit after another and polls ``/status`` of every host until it has the
revision. For some edits one host is frozen (SIGSTOP); the report lists these
separately, and how long the frozen host takes to catch up after SIGCONT.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import statistics
import sys
import time

import aiohttp
import attrs

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.core import codec
from hoistmoor.core import streams
from hoistmoor.core.table import check
from hoistmoor.core.table import edits
from hoistmoor.core.table import model

ENTRY_HOST_COUNT = 9
EDIT_COUNT = 100
FREEZE_AT_EDIT = 40  # One host is frozen before this edit.
THAW_AT_EDIT = 60  # The frozen host is resumed before this edit.
POLL_INTERVAL = 0.005  # Bounds the precision of the results.
START_TIMEOUT = 60.0
EDIT_TIMEOUT = 30.0
FIRST_PORT = 24_000
SHEETS = pathlib.Path(__file__).parents[1] / "examples" / "taemsuk"


@attrs.define
class Deployment:
    """The processes of one run.

    Attributes:
        log_url: Base URL of the platform stand-in.
        entries: ``ip:port`` of each entry host.
        processes: All processes started.
    """

    log_url: str
    entries: tuple[str, ...]
    processes: list[asyncio.subprocess.Process] = attrs.field(factory=list)

    async def start(self) -> None:
        """Starts all processes."""
        platform = self.log_url.removeprefix("http://")
        await self._start_process(
            "hoistmoor-standin", "platform", "--listen", platform
        )
        for number, address in enumerate(self.entries):
            await self._start_process(
                "hoistmoor-entry",
                *("--host", f"entry-{number + 1}"),
                *("--failure-domain", f"domain-{number % 4}"),
                *("--listen", address),
                *("--peer-listen", f"127.0.0.1:{FIRST_PORT + 200 + number}"),
                *("--log-url", self.log_url),
                *("--log-level", "error"),
            )

    async def _start_process(self, *arguments: str) -> None:
        program = str(pathlib.Path(sys.executable).parent / arguments[0])
        environment = {"HOISTMOOR_SECRET": "bench-secret-of-16-letters"}
        self.processes.append(
            await asyncio.create_subprocess_exec(
                program,
                *arguments[1:],
                env={**os.environ, **environment},
                stdout=asyncio.subprocess.DEVNULL,
            )
        )

    async def stop(self) -> None:
        """Kills all processes, including frozen ones."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes))

    def signal_last_entry_host(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the last entry host, to freeze or resume it."""
        self.processes[-1].send_signal(signal_number)


@attrs.define
class Benchmark:
    """Appends edits and polls the hosts."""

    session: aiohttp.ClientSession
    client: log.LogClient
    deployment: Deployment
    table: model.Table
    last_revision: int = -1

    async def edit(self, number: int) -> float:
        """Appends an edit of one server; returns when it was stored."""
        key = sorted(self.table.servers)[number % len(self.table.servers)]
        row = attrs.evolve(self.table.servers[key], concurrency=10 + number)
        return await self.append((edits.RowSet("servers", key, row),))

    async def append(self, changes: tuple[edits.Change, ...]) -> float:
        """Appends ``changes`` as one edit; returns when it was stored."""
        edit_id = f"bench-{self.last_revision + 1}"
        edit = edits.TableEdit(
            edit_id, self.last_revision, "bench", 0.0, changes
        )
        self.last_revision = await self.client.append(
            streams.TABLE, codec.encode(edit)
        )
        return time.monotonic()

    async def wait_until_active(
        self, entries: tuple[str, ...], start: float
    ) -> float:
        """Returns the seconds from ``start`` until all have the last edit."""
        async with asyncio.timeout(EDIT_TIMEOUT):
            times = await asyncio.gather(
                *(self._wait_for_revision(address) for address in entries)
            )
        return max(times) - start

    async def _wait_for_revision(self, address: str) -> float:
        while await self._revision(address) < self.last_revision:
            await asyncio.sleep(POLL_INTERVAL)
        return time.monotonic()

    async def _revision(self, address: str) -> int:
        try:
            async with self.session.get(f"http://{address}/status") as response:
                return int((await response.json())["table_revision"])
        except aiohttp.ClientError:
            return -1

    async def wait_for_log(self) -> None:
        """Waits until the log is available."""
        async with asyncio.timeout(START_TIMEOUT):
            while True:
                try:
                    await self.client.bounds(streams.TABLE)
                except Exception:  # The log is not available yet.
                    await asyncio.sleep(POLL_INTERVAL)
                else:
                    return


@attrs.define
class Report:
    """Seconds from each edit until it was in force everywhere.

    Attributes:
        all_running: Of edits with all hosts running.
        one_frozen: Of edits with one host frozen, at the other hosts.
        catch_up_seconds: Time that the frozen host took to catch up.
    """

    all_running: list[float] = attrs.field(factory=list)
    one_frozen: list[float] = attrs.field(factory=list)
    catch_up_seconds: float = 0.0

    def print(self) -> None:
        """Writes the report."""
        for name, times in (
            (f"all {ENTRY_HOST_COUNT} running", self.all_running),
            ("the others, one frozen", self.one_frozen),
        ):
            sys.stdout.write(
                f"{name}: {len(times)} edits, in force everywhere after"
                f" {statistics.median(times) * 1000:.1f} ms (median),"
                f" {max(times) * 1000:.1f} ms (worst)\n"
            )
        sys.stdout.write(
            f"the frozen host, {THAW_AT_EDIT - FREEZE_AT_EDIT} edits behind:"
            f" {self.catch_up_seconds * 1000:.1f} ms after it was thawed\n"
        )


async def measure(benchmark: Benchmark) -> Report:
    """Appends the edits and returns how long each took."""
    report = Report()
    deployment = benchmark.deployment
    for number in range(EDIT_COUNT):
        if number == FREEZE_AT_EDIT:
            deployment.signal_last_entry_host(signal.SIGSTOP)
        if number == THAW_AT_EDIT:
            deployment.signal_last_entry_host(signal.SIGCONT)
            thawed_at = time.monotonic()
            report.catch_up_seconds = await benchmark.wait_until_active(
                deployment.entries, thawed_at
            )
        start = await benchmark.edit(number)
        if FREEZE_AT_EDIT <= number < THAW_AT_EDIT:
            others = deployment.entries[:-1]
            report.one_frozen.append(
                await benchmark.wait_until_active(others, start)
            )
        else:
            all_entries = deployment.entries
            report.all_running.append(
                await benchmark.wait_until_active(all_entries, start)
            )
    return report


async def run() -> None:
    """Runs the benchmark."""
    deployment = Deployment(
        f"http://127.0.0.1:{FIRST_PORT}",
        tuple(
            f"127.0.0.1:{FIRST_PORT + 1 + n}" for n in range(ENTRY_HOST_COUNT)
        ),
    )
    files = {path.name: path.read_text() for path in SHEETS.glob("*.csv")}
    table = check.check_sheets(files).table
    async with sessions.make_session() as session:
        client = log.LogClient(session, deployment.log_url)
        benchmark = Benchmark(session, client, deployment, table)
        try:
            await deployment.start()
            await benchmark.wait_for_log()
            start = await benchmark.append(edits.diff(model.Table(), table))
            await benchmark.wait_until_active(deployment.entries, start)
            (await measure(benchmark)).print()
        finally:
            await deployment.stop()


if __name__ == "__main__":
    asyncio.run(run())
