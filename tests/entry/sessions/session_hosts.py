"""Entry hosts that keep pins for each other, in one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.table import model
from hoistmoor.entry import sessions
from hoistmoor.peers import errors

if TYPE_CHECKING:
    from hoistmoor.core.sessions import pins

MODEL = "thai"
ACCOUNT = "agents"


def table_of(
    revision: int, stages: dict[str, model.Stage], **weights: float
) -> model.ActiveTable:
    """Returns a table with one model; versions named by their weights."""
    rows = [
        model.Version(
            MODEL,
            name,
            "llm",
            stages.get(name, model.Stage.ACTIVE),
            weight,
            1,
            1,
            0.9,
            10,
            1,
        )
        for name, weight in weights.items()
    ]
    grant = model.Grant(ACCOUNT, MODEL, model.ANY_VERSION, 0.9)
    table = model.Table(
        versions={row.key: row for row in rows}, grants={grant.key: grant}
    )
    return model.ActiveTable(revision, table)


@attrs.define
class Network:
    """Hosts by name, and which of them cannot be reached.

    Attributes:
        hosts: The live hosts.
        cut: Names of hosts that answer nobody.
        yields: Turns of the event loop that a call takes.
    """

    hosts: dict[str, sessions.Sessions] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    yields: int = 1

    def add(self, name: str, in_force: model.ActiveTable) -> None:
        """Starts a host, or a new process in place of it."""
        host = sessions.Sessions(
            name, ["secret"], clock=lambda: 1_000.0, store=self
        )
        host.on_table(in_force)
        self.hosts[name] = host
        self.tell()

    def tell(self) -> None:
        """Tells every host which hosts live."""
        live = [
            rendezvous.HomeHost(name, f"domain{name[-1]}")
            for name in sorted(self.hosts)
        ]
        for host in self.hosts.values():
            host.on_hosts(live)

    async def find(self, host: str, key: pins.PinKey) -> pins.Pin | None:
        """A peer's ``find``."""
        return (await self._reach(host)).pins.find(key)

    async def keep(self, host: str, pin: pins.Pin) -> pins.Pin:
        """A peer's ``keep``."""
        return (await self._reach(host)).pins.keep(pin)

    async def _reach(self, host: str) -> sessions.Sessions:
        for _ in range(self.yields):
            await asyncio.sleep(0)
        if host in self.cut or host not in self.hosts:
            raise errors.PeerUnreachableError("cut", "Wait.")
        return self.hosts[host]

    async def ask(self, host: str, header: str) -> sessions.SessionPin:
        """One request of a session at one host."""
        pin = await self.hosts[host].pin_for(ACCOUNT, header, MODEL, "new")
        assert isinstance(pin, sessions.SessionPin)
        return pin
