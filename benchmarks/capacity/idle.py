"""Measures what an idle entry host spends on control traffic.

    python -m benchmarks.capacity.idle            all parts
    python -m benchmarks.capacity.idle hosts      one part

Parts: ``hosts``, ``servers``, ``accounts``, ``edits``, ``stewards``. Each size
runs real processes behind forwarders that count bytes. Figures are means per
host; processor time is the minimum and maximum of ``ROUNDS`` rounds.
"""

from __future__ import annotations

import asyncio
import statistics
import sys

import attrs

from benchmarks.capacity import deployment as deployment_lib
from benchmarks.capacity import processes
from hoistmoor.core.table import edits

HOST_COUNTS = (2, 4, 8, 16, 32)
SERVER_COUNTS = (2, 10, 100, 300, 1000)
ACCOUNT_COUNTS = (10, 100, 300, 1000)
EDIT_RATES = (0, 6, 60, 300)
ROUNDS = 3
ROUND_SECONDS = 6.0
_SETTLE_SECONDS = 5.0  # Until the gossip after the start has ended.
_LEASE_SECONDS = 10.0  # Until one steward acts.
_MIB = 1 << 20
print_line = processes.print_line


async def measure(
    deployment: deployment_lib.Deployment, name: str, edits_a_minute: int = 0
) -> None:
    """Prints what a host spends in the given deployment."""
    await asyncio.sleep(_SETTLE_SECONDS)
    core_percents: list[float] = []
    hosts = len(deployment.entries)
    deployment.reset_meters()
    for _ in range(ROUNDS):
        cpu_before = [entry.usage().seconds for entry in deployment.entries]
        await run_round(deployment, edits_a_minute)
        cpu_seconds = [
            entry.usage().seconds - start
            for entry, start in zip(deployment.entries, cpu_before, strict=True)
        ]
        core_percents.append(statistics.mean(cpu_seconds) / ROUND_SECONDS * 100)
    resident = [entry.usage().resident / _MIB for entry in deployment.entries]
    print_line(
        f"{name}: {deployment_lib.format_range(core_percents)}% of a core a "
        "host, "
        f"{statistics.mean(resident):.1f} MiB resident"
    )
    seconds = ROUNDS * ROUND_SECONDS * hosts
    total_rate = 0.0
    for kind, count in sorted(deployment.traffic().items()):
        class_bytes = count.sent + count.received
        total_rate += class_bytes / seconds
        print_line(
            f"    {kind:22} {count.requests / seconds:6.2f} requests/s "
            f"{count.sent / seconds:8.0f} B/s out "
            f"{count.received / seconds:8.0f} B/s in"
        )
    print_line(f"    together {total_rate / 1000:.2f} KB/s")


async def run_round(
    deployment: deployment_lib.Deployment, edits_a_minute: int
) -> None:
    """Waits for the length of a round, with edits at a constant rate."""
    if not edits_a_minute:
        await asyncio.sleep(ROUND_SECONDS)
        return
    count = round(ROUND_SECONDS * edits_a_minute / 60)
    for number in range(max(1, count)):
        server = deployment.table.servers["plain-0"]
        row = attrs.evolve(server, concurrency=100 + number)
        await deployment.edit((edits.RowSet("servers", row.key, row),))
        await asyncio.sleep(ROUND_SECONDS / max(1, count))


async def measure_hosts() -> None:
    """Measures by the number of entry hosts."""
    for count in HOST_COUNTS:
        async with deployment_lib.run_deployment(count) as deployment:
            await measure(deployment, f"hosts {count}")


async def measure_servers() -> None:
    """Measures by the number of backend servers in the table."""
    for count in SERVER_COUNTS:
        async with deployment_lib.run_deployment(
            2, servers=count
        ) as deployment:
            await measure(deployment, f"servers {count}")


async def measure_accounts() -> None:
    """Measures by the number of client accounts in the table."""
    for count in ACCOUNT_COUNTS:
        async with deployment_lib.run_deployment(
            2, accounts=count
        ) as deployment:
            await measure(deployment, f"accounts {count}")


async def measure_edits() -> None:
    """Measures by edits of one row a minute.

    The table has 300 servers and 100 accounts.
    """
    async with deployment_lib.run_deployment(2, 300, 100) as deployment:
        for count in EDIT_RATES:
            await measure(deployment, f"edits {count} a minute", count)


async def measure_stewards() -> None:
    """Measures stewards by the number of servers.

    Figures are the mean of the acting steward and one on standby.
    """
    for count in SERVER_COUNTS:
        async with deployment_lib.run_deployment(
            0, servers=count
        ) as deployment:
            for number in range(2):
                steward = await deployment.fleet.start(
                    *("hoistmoor-steward", "--host", f"entry-{number}"),
                    *("--failure-domain", f"d{number}"),
                    *("--listen", "127.0.0.1:0", "--log-level", "error"),
                    *("--log-url", f"http://{deployment.log_meter.address}"),
                    has_address=False,
                )
                deployment.entries.append(steward)
            await asyncio.sleep(_LEASE_SECONDS)
            await measure(deployment, f"stewards, {count} servers")


_PARTS = {
    "hosts": measure_hosts,
    "servers": measure_servers,
    "accounts": measure_accounts,
    "edits": measure_edits,
    "stewards": measure_stewards,
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    for name in sys.argv[1:] or _PARTS:
        asyncio.run(_PARTS[name]())


if __name__ == "__main__":
    main()
