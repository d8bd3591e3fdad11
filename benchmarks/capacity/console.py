"""Measures the operators' commands against hosts and records.

    python -m benchmarks.capacity.console            all parts
    python -m benchmarks.capacity.console bill       one part

Parts: ``status`` and ``publish`` by the number of entry hosts, ``bill`` by the
number of bills on the log. This process simulates the hosts: ``/status`` of
each lists all others, except for ``part=own``, and has a row of limits for each
of ``ACCOUNT_COUNT`` accounts. Figures are for a whole process, including its
start.
"""

from __future__ import annotations

import pathlib
import sys
import tempfile
import time
from typing import Any

from aiohttp import web
import uvloop

from benchmarks.capacity import deployment as deployment_lib
from benchmarks.capacity import parts
from benchmarks.capacity import processes
from hoistmoor.clients import hosts as hosts_client
from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.core import codec
from hoistmoor.core import streams
from hoistmoor.core.billing import bills
from hoistmoor.core.table import sheets
from hoistmoor.entry import limits_status
from hoistmoor.entry import responses
from hoistmoor.standins import fault_registry
from hoistmoor.standins import hosts as hosts_standin
from hoistmoor.standins import log as log_standin

HOST_COUNTS = (9, 36, 90, 360)
SERVER_COUNT = 100
ACCOUNT_COUNT = 100  # Client accounts in the status of a host.
BILL_COUNTS = (2_500, 10_000, 20_000, 40_000)
BILLS_PER_BATCH = 100
ROUNDS = 3
_MIB = 1 << 20
_NEWEST_REVISION = 10**9  # Newer than any revision that a publisher waits for.
print_line = processes.print_line


def make_status_body(count: int) -> dict[str, Any]:
    """Returns the status of an entry host that knows ``count`` hosts."""
    listed = [
        {
            "host": host.name,
            "incarnation": host.incarnation,
            "state": "alive",
            "address": host.http_address,
            "failure_domain": host.failure_domain,
            "table_revision": _NEWEST_REVISION,
        }
        for host in parts.make_views(count)
    ]
    return {
        "host": "entry-000",
        "incarnation": 1,
        "state": "ready",
        "table_revision": _NEWEST_REVISION,
        "in_flight": 1,
        "hosts": listed,
        "leaving_servers": [],
        "limits": limits_status.LimitsStatus(
            1,
            count,
            True,
            tuple(
                limits_status.AccountStatus(
                    *(f"account-{number}", 1, 1 / count, 10**9),
                    *(10**9 // 8, 10**6, 4521, 10**5, 0, 0, 0),
                )
                for number in range(ACCOUNT_COUNT)
            ),
            (),
        ),
    }


class PlatformServer:
    """Serves the platform and all entry hosts in this process.

    Attributes:
        address: ``ip:port`` of the HTTP interface.
        status_bytes: Bytes of all ``/status`` responses.
        response_count: Number of ``/status`` responses.
    """

    def __init__(self, hosts: int) -> None:
        self.address = ""
        self.status_bytes = 0
        self.response_count = 0
        self._hosts = hosts
        self._body = make_status_body(hosts)
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Starts to listen and lists the hosts."""
        application = web.Application(client_max_size=1 << 24)
        registry = fault_registry.FaultRegistry()
        log_standin.LogStandin(registry).add_routes(application)
        host_list = hosts_standin.HostListStandin(registry)
        host_list.add_routes(application)
        application.router.add_get("/status", self._status)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        ip, port = self._runner.addresses[0]
        self.address = f"{ip}:{port}"
        host_list.replace_rows(
            {
                host.name: hosts_client.ListedHost(
                    host.name,
                    self.address,
                    host.failure_domain,
                    hosts_client.Role.ENTRY,
                    hosts_client.ListedState.LIVE,
                    1,
                )
                for host in parts.make_views(self._hosts)
            },
            time.time() - 60.0,
        )

    async def stop(self) -> None:
        """Stops listening."""
        assert self._runner is not None
        await self._runner.cleanup()

    async def _status(self, request: web.Request) -> web.Response:
        body = self._body
        if request.query.get("part") == "own":
            body = {name: body[name] for name in body if name != "hosts"}
        response = responses.json_response(body)
        assert isinstance(response.body, bytes)
        self.status_bytes += len(response.body)
        self.response_count += 1
        return response


async def measure_command(name: str, *arguments: str) -> None:
    """Prints the resources that ``ROUNDS`` runs of a command use."""
    cpu_seconds, wall_seconds, peak_bytes = [], [], 0
    for _ in range(ROUNDS):
        cpu, elapsed, memory = await processes.run_command(*arguments)
        cpu_seconds.append(cpu)
        wall_seconds.append(elapsed)
        peak_bytes = max(peak_bytes, memory)
    print_line(
        f"{name}: {deployment_lib.format_range(cpu_seconds)} s of processor "
        "time, "
        f"{deployment_lib.format_range(wall_seconds)} s in all, "
        f"peak {peak_bytes / _MIB:.0f} MiB"
    )


async def measure_by_hosts(name: str, *arguments: str) -> None:
    """Measures a command by the number of hosts."""
    for count in HOST_COUNTS:
        platform = PlatformServer(count)
        await platform.start()
        url = ("--log-url", f"http://{platform.address}")
        await measure_command(f"{name}: {count} hosts", *arguments, *url)
        mean_bytes = platform.status_bytes / max(1, platform.response_count)
        print_line(
            f"    {platform.response_count / ROUNDS:.0f} answers a run, "
            f"{mean_bytes / 1000:.1f} KB each, "
            f"{platform.status_bytes / ROUNDS / 1e6:.2f} MB a run"
        )
        await platform.stop()


async def measure_status() -> None:
    """Measures ``hoistmoor status`` by hosts."""
    await measure_by_hosts("status", "hoistmoor", "status")


async def measure_publish() -> None:
    """Measures ``hoistmoor table publish`` of a new table, by hosts."""
    table = parts.make_table(SERVER_COUNT)
    with tempfile.TemporaryDirectory() as directory:
        for name, text in sheets.render_sheets(table).items():
            (pathlib.Path(directory) / name).write_text(text)
        await measure_by_hosts(
            "publish",
            *("hoistmoor", "table", "publish", directory, "--author", "bench"),
            "--overwrite",
        )


async def measure_bill() -> None:
    """Measures ``hoistmoor bill`` by bills on the log."""
    for count in BILL_COUNTS:
        platform = PlatformServer(1)
        await platform.start()
        async with sessions.make_session() as session:
            client = log.LogClient(session, f"http://{platform.address}")
            for first in range(0, count, BILLS_PER_BATCH):
                batch = bills.BillBatch(
                    f"entry-{first // BILLS_PER_BATCH % 360}",
                    7,
                    f"b{first}",
                    tuple(
                        _make_bill(first + n) for n in range(BILLS_PER_BATCH)
                    ),
                )
                await client.append(streams.BILLS, codec.encode(batch))
        url = ("--log-url", f"http://{platform.address}")
        await measure_command(f"bill: {count} bills", "hoistmoor", "bill", *url)
        await platform.stop()


def _make_bill(serial: int) -> bills.Bill:
    host = f"entry-{serial // BILLS_PER_BATCH % 360}"
    return bills.Bill(
        f"account-{serial % 100}",
        f"{host}.18c1f2a3b4c.{serial:x}",
        "bench-model@1",
        812,
        230,
        4521,
        1,
        time.time(),
        17,
    )


_PARTS = {
    "status": measure_status,
    "publish": measure_publish,
    "bill": measure_bill,
}


def main() -> None:
    """Runs the parts named on the command line, or all."""
    for name in sys.argv[1:] or _PARTS:
        uvloop.run(_PARTS[name]())


if __name__ == "__main__":
    main()
