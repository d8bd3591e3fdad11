"""Measures steward processes: the acting one and one on standby.

Run ``python benchmarks/steward_process.py``. For each size of pool, starts a
platform stand-in, one engine stand-in that serves as all engines, and two
stewards; then reads their processor time and memory from ``/proc`` over at
least one reconcile pass. Takes about five minutes.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import subprocess
import sys
import time

import attrs

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.core import codec
from hoistmoor.core import streams
from hoistmoor.core.table import edits
from hoistmoor.core.table import model
from hoistmoor.steward import engines
from hoistmoor.steward import stream

ENGINE_COUNTS = (10, 100, 300, 1000)
# Until a steward acts and all engines have its fencing token.
SETTLE_SECONDS = 25.0
MIN_WINDOW_SECONDS = 30.0
DOMAIN_COUNT = 7
_SCRIPTS = pathlib.Path(sys.executable).parent
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_SECRET = "not-much-of-a-secret"


@attrs.frozen
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu: Seconds of processor time.
        memory: Resident bytes.
    """

    cpu: float
    memory: int

    @classmethod
    def of_process(cls, pid: int) -> Usage:
        """Returns the usage of a process."""
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
        cpu = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
        return cls(cpu, pages * os.sysconf("SC_PAGE_SIZE"))


def start(
    stack: contextlib.ExitStack, program: str, *arguments: str
) -> subprocess.Popen[str]:
    """Starts a program that is terminated when the stack closes."""
    process = stack.enter_context(
        subprocess.Popen(
            [str(_SCRIPTS / program), *arguments],
            env={"HOISTMOOR_SECRET": _SECRET},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
    )
    stack.callback(process.terminate)
    return process


def read_address(process: subprocess.Popen[str]) -> str:
    """Returns the address that a stand-in prints on start."""
    assert process.stdout
    return process.stdout.readline().split()[1]


def make_table(engine_count: int, address: str) -> model.Table:
    """Returns a table that the engine already conforms to."""
    row = model.Version(
        "m", "1", "llm", model.Stage.ACTIVE, 1, 1, 1, 0.8, 0, engine_count
    )
    servers = [
        model.Server(f"s{n}", "llm", address, f"d{n % DOMAIN_COUNT}", 8, True)
        for n in range(engine_count)
    ]
    service = model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())
    return model.Table(
        versions={row.key: row},
        services={service.key: service},
        servers={server.key: server for server in servers},
    )


async def publish(url: str, table: model.Table) -> None:
    """Appends the table to the log."""
    changes = edits.diff(model.Table(), table)
    edit = edits.TableEdit("first", -1, "bench", 0.0, changes)
    async with sessions.make_session() as session:
        client = log.LogClient(session, url)
        await client.append(streams.TABLE, codec.encode(edit))


async def read_lease_holder(url: str) -> str:
    """Returns the host that holds the lease, or an empty string."""
    async with sessions.make_session() as session:
        reader = stream.StewardStream(log.LogClient(session, url))
        await reader.catch_up()
        lease = reader.fold.state.lease
        return lease.holder.host if lease else ""


def measure(engine_count: int) -> None:
    """Measures one size of pool and prints a line."""
    with contextlib.ExitStack() as stack:
        url = "http://" + read_address(
            start(stack, "hoistmoor-standin", "platform")
        )
        engine = start(stack, "hoistmoor-standin", "engine", "--serve", "m@1")
        table = make_table(engine_count, read_address(engine))
        asyncio.run(publish(url, table))
        stewards = {
            host: start(
                stack, "hoistmoor-steward", "--host", host,
                "--failure-domain", "d0", "--listen", "127.0.0.1:0",
                "--log-url", url,
            ).pid
            for host in ("a", "b")
        }  # fmt: skip
        time.sleep(SETTLE_SECONDS)
        window_seconds = max(
            MIN_WINDOW_SECONDS, engines.pass_interval(engine_count) * 1.05
        )
        before = {host: Usage.of_process(pid) for host, pid in stewards.items()}
        time.sleep(window_seconds)
        after = {host: Usage.of_process(pid) for host, pid in stewards.items()}
        acting_host = asyncio.run(read_lease_holder(url))
        cells = [f"{engine_count:7}"]
        for host in sorted(stewards, key=lambda host: host != acting_host):
            cpu = (after[host].cpu - before[host].cpu) / window_seconds
            memory = after[host].memory / (1 << 20)
            cells.append(f"{cpu:7.2%}  {memory:6.1f} MiB")
        sys.stdout.write("  |  ".join(cells) + "\n")
        sys.stdout.flush()


def main() -> None:
    """Prints the report."""
    sys.stdout.write("runners  |  acting: core, memory  |  standing by\n")
    for engine_count in ENGINE_COUNTS:
        measure(engine_count)


if __name__ == "__main__":
    main()
