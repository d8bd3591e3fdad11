"""Measures the operators' commands against hosts and records.

    python -m benchmarks.capacity.console            all parts
    python -m benchmarks.capacity.console bill       one part

Parts: ``status`` and ``publish`` by the number of entry hosts, which this
process plays, each with a ``/status`` that lists all others unless it is asked
for its own part, which has a row of limits for each of ``ACCOUNTS``; ``bill``
by the number of bills on the log. Each figure is of a whole process, start
included.
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

HOSTS = (9, 36, 90, 360)
SERVERS = 100
ACCOUNTS = 100  # Client accounts whose limits a host shows.
BILLS = (2_500, 10_000, 20_000, 40_000)
BATCH = 100
ROUNDS = 3
_MIB = 1 << 20
_HUGE = 10**9  # A revision that no publisher waits for.
say = processes.say


def status_body(count: int) -> dict[str, Any]:
    """Returns what an entry says that knows ``count`` hosts."""
    listed = [
        {
            "host": host.name,
            "incarnation": host.incarnation,
            "state": "alive",
            "address": host.http_address,
            "failure_domain": host.failure_domain,
            "table_revision": _HUGE,
        }
        for host in parts.make_views(count)
    ]
    return {
        "host": "entry-000",
        "incarnation": 1,
        "state": "ready",
        "table_revision": _HUGE,
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
                for number in range(ACCOUNTS)
            ),
            (),
        ),
    }


class Platform:
    """The platform and all entry hosts, in this process.

    Attributes:
        address: Where it listens.
        status_bytes: Bytes of all ``/status`` answers given.
        answers: How many.
    """

    def __init__(self, hosts: int) -> None:
        self.address = ""
        self.status_bytes = 0
        self.answers = 0
        self._hosts = hosts
        self._body = status_body(hosts)
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listens."""
        application = web.Application(client_max_size=1 << 24)
        book = fault_registry.FaultRegistry()
        log_standin.LogStandin(book).add_routes(application)
        listed = hosts_standin.HostListStandin(book)
        listed.add_routes(application)
        application.router.add_get("/status", self._status)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        ip, port = self._runner.addresses[0]
        self.address = f"{ip}:{port}"
        listed.replace_rows(
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
        """Ends."""
        assert self._runner is not None
        await self._runner.cleanup()

    async def _status(self, request: web.Request) -> web.Response:
        body = self._body
        if request.query.get("part") == "own":
            body = {name: body[name] for name in body if name != "hosts"}
        reply = responses.json_response(body)
        assert isinstance(reply.body, bytes)
        self.status_bytes += len(reply.body)
        self.answers += 1
        return reply


async def time_command(name: str, *words: str) -> None:
    """Prints what ``ROUNDS`` runs of a command use."""
    seconds, wall, peak = [], [], 0
    for _ in range(ROUNDS):
        used, took, most = await processes.run_command(*words)
        seconds.append(used)
        wall.append(took)
        peak = max(peak, most)
    say(
        f"{name}: {deployment_lib.spread(seconds)} s of processor time, "
        f"{deployment_lib.spread(wall)} s in all, peak {peak / _MIB:.0f} MiB"
    )


async def by_hosts(name: str, *words: str) -> None:
    """Runs a command before more and more hosts."""
    for count in HOSTS:
        platform = Platform(count)
        await platform.start()
        url = ("--log-url", f"http://{platform.address}")
        await time_command(f"{name}: {count} hosts", *words, *url)
        each = platform.status_bytes / max(1, platform.answers)
        say(
            f"    {platform.answers / ROUNDS:.0f} answers a run, "
            f"{each / 1000:.1f} KB each, "
            f"{platform.status_bytes / ROUNDS / 1e6:.2f} MB a run"
        )
        await platform.stop()


async def status() -> None:
    """``hoistmoor status`` by hosts."""
    await by_hosts("status", "hoistmoor", "status")


async def publish() -> None:
    """``hoistmoor table publish`` of a new table, by hosts."""
    table = parts.big_table(SERVERS)
    with tempfile.TemporaryDirectory() as directory:
        for name, text in sheets.render_sheets(table).items():
            (pathlib.Path(directory) / name).write_text(text)
        await by_hosts(
            "publish",
            *("hoistmoor", "table", "publish", directory, "--author", "bench"),
            "--overwrite",
        )


async def bill() -> None:
    """``hoistmoor bill`` by bills on the log."""
    for count in BILLS:
        platform = Platform(1)
        await platform.start()
        async with sessions.make_session() as session:
            client = log.LogClient(session, f"http://{platform.address}")
            for first in range(0, count, BATCH):
                batch = bills.BillBatch(
                    f"entry-{first // BATCH % 360}",
                    7,
                    f"b{first}",
                    tuple(_bill(first + n) for n in range(BATCH)),
                )
                await client.append(streams.BILLS, codec.encode(batch))
        url = ("--log-url", f"http://{platform.address}")
        await time_command(f"bill: {count} bills", "hoistmoor", "bill", *url)
        await platform.stop()


def _bill(serial: int) -> bills.Bill:
    host = f"entry-{serial // BATCH % 360}"
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


_PARTS = {"status": status, "publish": publish, "bill": bill}


def main() -> None:
    """Runs the named parts, or all."""
    for name in sys.argv[1:] or _PARTS:
        uvloop.run(_PARTS[name]())


if __name__ == "__main__":
    main()
