"""Measures whole steward processes: one that acts and one that stands by.

Run ``python benchmarks/steward_process.py``. For each size of pool it starts
a platform stand-in, one engine stand-in that stands for every runner, and two
stewards; then it reads their processor time and memory from ``/proc`` over
at least one reconcile pass. Takes about five minutes.
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

RUNNERS = (10, 100, 300, 1000)
SETTLE = 25.0  # Seconds until one acts and has told all engines its number.
MIN_WINDOW = 30.0
DOMAINS = 7
_SCRIPTS = pathlib.Path(sys.executable).parent
_TICKS = os.sysconf("SC_CLK_TCK")
_SECRET = "not-much-of-a-secret"


@attrs.frozen
class Usage:
    """What a process has used so far.

    Attributes:
        cpu: Seconds of processor time.
        memory: Resident bytes.
    """

    cpu: float
    memory: int

    @classmethod
    def of(cls, process: int) -> Usage:
        """Returns the usage of the process with that id."""
        stat = pathlib.Path(f"/proc/{process}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        pages = int(
            pathlib.Path(f"/proc/{process}/statm").read_text().split()[1]
        )
        cpu = (int(fields[11]) + int(fields[12])) / _TICKS
        return cls(cpu, pages * os.sysconf("SC_PAGE_SIZE"))


def start(
    stack: contextlib.ExitStack, program: str, *words: str
) -> subprocess.Popen[str]:
    """Starts a program that is ended with the stack."""
    process = stack.enter_context(
        subprocess.Popen(
            [str(_SCRIPTS / program), *words],
            env={"HOISTMOOR_SECRET": _SECRET},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
    )
    stack.callback(process.terminate)
    return process


def address_of(process: subprocess.Popen[str]) -> str:
    """Returns where a stand-in listens."""
    assert process.stdout
    return process.stdout.readline().split()[1]


def make_table(runners: int, address: str) -> model.Table:
    """Returns a pool in which nothing is left to change."""
    row = model.Version(
        "m", "1", "llm", model.Stage.ACTIVE, 1, 1, 1, 0.8, 0, runners
    )
    servers = [
        model.Server(f"s{n}", "llm", address, f"d{n % DOMAINS}", 8, True)
        for n in range(runners)
    ]
    service = model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())
    return model.Table(
        versions={row.key: row},
        services={service.key: service},
        servers={server.key: server for server in servers},
    )


async def publish(url: str, table: model.Table) -> None:
    """Puts the table on the log."""
    changes = edits.diff(model.Table(), table)
    edit = edits.TableEdit("first", -1, "bench", 0.0, changes)
    async with sessions.make_session() as session:
        client = log.LogClient(session, url)
        await client.append(streams.TABLE, codec.encode(edit))


async def holder(url: str) -> str:
    """Returns the host that holds the lease."""
    async with sessions.make_session() as session:
        reader = stream.StewardStream(log.LogClient(session, url))
        await reader.catch_up()
        lease = reader.fold.state.lease
        return lease.holder.host if lease else ""


def measure(runners: int) -> None:
    """Prints one line of the report."""
    with contextlib.ExitStack() as stack:
        url = "http://" + address_of(
            start(stack, "hoistmoor-standin", "platform")
        )
        engine = start(stack, "hoistmoor-standin", "engine", "--serve", "m@1")
        table = make_table(runners, address_of(engine))
        asyncio.run(publish(url, table))
        stewards = {
            host: start(
                stack, "hoistmoor-steward", "--host", host,
                "--failure-domain", "d0", "--listen", "127.0.0.1:0",
                "--log-url", url,
            ).pid
            for host in ("a", "b")
        }  # fmt: skip
        time.sleep(SETTLE)
        window = max(MIN_WINDOW, engines.pass_interval(runners) * 1.05)
        before = {host: Usage.of(pid) for host, pid in stewards.items()}
        time.sleep(window)
        after = {host: Usage.of(pid) for host, pid in stewards.items()}
        acting = asyncio.run(holder(url))
        cells = [f"{runners:7}"]
        for host in sorted(stewards, key=lambda host: host != acting):
            cpu = (after[host].cpu - before[host].cpu) / window
            memory = after[host].memory / (1 << 20)
            cells.append(f"{cpu:7.2%}  {memory:6.1f} MiB")
        sys.stdout.write("  |  ".join(cells) + "\n")
        sys.stdout.flush()


def main() -> None:
    """Measures every size."""
    sys.stdout.write("runners  |  acting: core, memory  |  standing by\n")
    for runners in RUNNERS:
        measure(runners)


if __name__ == "__main__":
    main()
