"""Runs stewards and stand-ins as processes, with a table for them."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

import attrs
import system_processes

from hoistmoor.clients import engines
from hoistmoor.clients import log
from hoistmoor.core import codec
from hoistmoor.core import streams
from hoistmoor.core.table import edits
from hoistmoor.core.table import model
from hoistmoor.steward import stream

if TYPE_CHECKING:
    import aiohttp

    from hoistmoor.core.steward import fold as fold_lib

PLATFORM = "platform"
OLD = "m@1"
NEW = "m@2"
_QUICK = pathlib.Path(__file__).parent / "quick_steward.py"


@attrs.frozen
class Rig:
    """The processes of a test; call ``start`` first.

    Attributes:
        processes: The stewards and engines by name, and the platform stand-in.
    """

    processes: system_processes.Processes

    async def start(self) -> None:
        """Starts the platform stand-in."""
        await self.processes.start(PLATFORM, "hoistmoor-standin", "platform")

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session for requests to the processes."""
        return self.processes.session

    @property
    def url(self) -> str:
        """Base URL of the platform stand-in."""
        return self.processes.programs[PLATFORM].url

    @property
    def log(self) -> log.LogClient:
        """Client of the log."""
        return log.LogClient(self.session, self.url)

    async def start_engine(self, name: str, *flags: str) -> str:
        """Starts an engine with the old version; returns its address."""
        program = await self.processes.start(
            name, "hoistmoor-standin", "engine", "--serve", OLD,
            "--load-time", "0.05", *flags,
        )  # fmt: skip
        return program.address

    async def start_steward(self, host: str) -> system_processes.Program:
        """Starts a steward with a short lease."""
        return await self.processes.launch(
            host, sys.executable, str(_QUICK), "--host", host,
            "--failure-domain", "d0", "--listen", "127.0.0.1:0",
            "--log-url", self.url, "--log-level", "error",
        )  # fmt: skip

    async def publish(self, table: model.Table) -> None:
        """Appends an initial table to the log."""
        changes = edits.diff(model.Table(), table)
        edit = edits.TableEdit("first", -1, "test", 0.0, changes)
        await self.log.append(streams.TABLE, codec.encode(edit))

    async def fold(self) -> fold_lib.StewardFold:
        """Returns the state of the stream, as read by a new reader."""
        reader = stream.StewardStream(self.log)
        await reader.catch_up()
        return reader.fold

    async def holder(self) -> str:
        """Returns the host that holds the lease, or an empty string."""
        lease = (await self.fold()).state.lease
        return lease.holder.host if lease and not lease.released else ""

    async def engine(self, address: str) -> engines.EngineState:
        """Returns the state of an engine."""
        return await engines.EngineClient(self.session).fetch_state(address)


def make_table(*addresses: str) -> model.Table:
    """Returns a table of one pool; every second engine checks fencing."""
    rows = [
        model.Server(f"s{n}", "llm", address, f"d{n}", 8, n % 2 == 0)
        for n, address in enumerate(addresses)
    ]
    versions = [
        model.Version("m", "1", "llm", model.Stage.ACTIVE, 1, 1, 1, 0.8, 0, 2),
        model.Version(
            "m", "2", "llm", model.Stage.CANDIDATE, 1, 1, 1, 0.8, 40, 2
        ),
    ]
    service = model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())
    return model.Table(
        versions={row.key: row for row in versions},
        services={service.key: service},
        servers={row.key: row for row in rows},
    )
