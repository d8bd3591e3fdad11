"""Deployment of real processes whose traffic is counted by class."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from typing import TYPE_CHECKING

import aiohttp
import attrs

from benchmarks.capacity import meter as meter_lib
from benchmarks.capacity import processes
from benchmarks.capacity import rows
from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.core import codec
from hoistmoor.core import streams
from hoistmoor.core.table import edits
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READY_TIMEOUT = 60.0


@attrs.define
class Deployment:
    """A running deployment.

    Attributes:
        fleet: All processes.
        session: HTTP session for requests to them.
        client: Client of the log that bypasses the meters.
        platform: The platform stand-in.
        table: The table that was last published.
        entries: The entry hosts.
        log_meter: Meter in front of the platform.
        peer_meters: Meters in front of the peer port of each entry host.
        load_meters: Meters in front of the backend servers.
        revision: Offset of the last edit.
    """

    fleet: processes.Fleet
    session: aiohttp.ClientSession
    client: log.LogClient
    platform: processes.Program
    table: model.Table
    log_meter: meter_lib.Meter
    entries: list[processes.Program] = attrs.field(factory=list)
    peer_meters: list[meter_lib.Meter] = attrs.field(factory=list)
    load_meters: list[meter_lib.Meter] = attrs.field(factory=list)
    revision: int = -1

    async def publish(self, table: model.Table) -> None:
        """Appends the edit that changes the current table to ``table``."""
        old = self.table if self.revision >= 0 else model.Table()
        await self.edit(edits.diff(old, table))
        self.table = table

    async def edit(self, changes: tuple[edits.Change, ...]) -> None:
        """Appends an edit."""
        edit_id = f"bench-{self.revision + 1}-{time.time()}"
        edit = edits.TableEdit(
            edit_id, self.revision, "bench", time.time(), changes
        )
        payload = codec.encode(edit)
        self.revision = await self.client.append(streams.TABLE, payload)

    async def start_entry(self, number: int, direct: bool = False) -> None:
        """Starts an entry host and lists it.

        Args:
            number: Number of the host.
            direct: Whether its traffic bypasses the meters.
        """
        port = _free_port()
        meter = meter_lib.Meter(f"127.0.0.1:{port}", "gossip")
        advertised = await meter.start()
        self.peer_meters.append(meter)
        log_address = self.platform.address
        if not direct:
            log_address = self.log_meter.address
        words = (
            ("--host", f"entry-{number}"),
            ("--failure-domain", f"d{number % rows.DOMAIN_COUNT}"),
            ("--listen", "127.0.0.1:0"),
            ("--peer-listen", f"127.0.0.1:{port}"),
            ("--peer-advertise", f"127.0.0.1:{port}" if direct else advertised),
            ("--log-url", f"http://{log_address}"),
            ("--log-level", "error"),
        )
        entry = await self.fleet.start(
            "hoistmoor-entry", *(word for pair in words for word in pair)
        )
        self.entries.append(entry)
        row = {
            "address": entry.address,
            "failure_domain": f"d{number % rows.DOMAIN_COUNT}",
            "role": "entry",
        }
        url = f"http://{self.platform.address}/hosts/entry-{number}"
        async with self.session.put(url, json=row) as response:
            response.raise_for_status()

    async def wait_until_ready(self) -> None:
        """Waits until all entry hosts know the table and each other."""
        async with asyncio.timeout(READY_TIMEOUT):
            while not all(
                await asyncio.gather(*map(self._is_ready, self.entries))
            ):
                await asyncio.sleep(0.2)

    async def _is_ready(self, entry: processes.Program) -> bool:
        url = f"http://{entry.address}/status"
        async with self.session.get(url) as response:
            status = await response.json()
        alive: int = sum(host["state"] == "alive" for host in status["hosts"])
        is_known = alive >= len(self.entries) and status["state"] == "ready"
        return is_known and int(status["table_revision"]) >= self.revision

    def reset_meters(self) -> None:
        """Resets the counts of all meters."""
        for meter in (self.log_meter, *self.peer_meters, *self.load_meters):
            meter.reset()

    def traffic(self) -> dict[str, meter_lib.Traffic]:
        """Returns the traffic of all entry hosts by class."""
        total: dict[str, meter_lib.Traffic] = {}
        for meter in (self.log_meter, *self.peer_meters, *self.load_meters):
            for name, count in meter.counts.items():
                class_total = total.setdefault(name, meter_lib.Traffic())
                class_total.requests += count.requests
                class_total.sent += count.sent
                class_total.received += count.received
        return total


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


@contextlib.asynccontextmanager
async def run_deployment(
    hosts: int,
    servers: int = 2,
    accounts: int = 10,
    versions: int = 1,
    engine_words: tuple[str, ...] = (),
    direct: bool = False,
    platform_words: tuple[str, ...] = (),
) -> AsyncIterator[Deployment]:
    """Runs entry hosts with one engine and one plain backend server.

    Args:
        hosts: Entry hosts.
        servers: Backend servers in the table; all but one are the same engine
            under different addresses.
        accounts: Client accounts in the table.
        versions: Versions in the table.
        engine_words: Additional flags of the engine stand-in.
        direct: Whether traffic bypasses the meters, to measure processor time
            only.
        platform_words: Additional flags of the platform stand-in.
    """
    async with (
        sessions.make_session(total_timeout=None) as session,
        processes.Fleet() as fleet,
    ):
        platform = await fleet.start(
            *("hoistmoor-standin", "platform", "--listen", "127.0.0.1:0"),
            *platform_words,
        )
        serve = [
            word
            for number in range(versions)
            for word in ("--serve", f"bench-model@{number + 1}=0.9")
        ]
        engine = await fleet.start(
            *("hoistmoor-standin", "engine", "--listen", "127.0.0.1:0"),
            *("--name", "engine-0", "--capacity", "512"),
            *serve,
            *engine_words,
        )
        plain = await fleet.start(
            *("hoistmoor-standin", "service", "--listen", "127.0.0.1:0"),
            *("--name", "plain-0", "--capacity", "512"),
            *("--service-time", "0.001"),
        )
        log_meter = meter_lib.Meter(platform.address)
        await log_meter.start()
        client = log.LogClient(session, f"http://{platform.address}")
        deployment = Deployment(
            fleet, session, client, platform, model.Table(), log_meter
        )
        engines = {"engine-0": engine.address}
        plains = {"plain-0": plain.address}
        for number in range(1 if direct else 0, servers - 1):
            meter = meter_lib.Meter(engine.address, "load")
            engines[f"engine-{number}"] = await meter.start()
            deployment.load_meters.append(meter)
        if not direct:
            meter = meter_lib.Meter(plain.address, "load")
            plains["plain-0"] = await meter.start()
            deployment.load_meters.append(meter)
        table = rows.make_table(engines, plains, accounts, versions)
        await deployment.publish(table)
        try:
            for first in range(0, hosts, 4):
                numbers = range(first, min(first + 4, hosts))
                await asyncio.gather(
                    *(
                        deployment.start_entry(number, direct)
                        for number in numbers
                    )
                )
            await deployment.wait_until_ready()
            yield deployment
        finally:
            for meter in (
                log_meter,
                *deployment.peer_meters,
                *deployment.load_meters,
            ):
                meter.stop()


def format_range(values: list[float]) -> str:
    """Formats the minimum and maximum of ``values``."""
    digits = 3 - math.ceil(math.log10(max(*values, 1e-6)))
    digits = max(0, digits)
    return f"{min(values):.{digits}f}..{max(values):.{digits}f}"
