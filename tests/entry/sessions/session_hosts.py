"""Entry hosts in one process that store session pins for each other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.sessions import rendezvous
from hoistmoor.core.table import model
from hoistmoor.entry import session_affinity
from hoistmoor.peers import errors

if TYPE_CHECKING:
    from hoistmoor.core.sessions import pins

MODEL = "thai"
ACCOUNT = "agents"


def table_of(
    revision: int, stages: dict[str, model.Stage], **weights: float
) -> model.ActiveTable:
    """Returns a table with one model and a version per weight."""
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
    """A network of hosts, some of which may be unreachable.

    Attributes:
        hosts: Live hosts by name.
        unreachable: Names of unreachable hosts.
        loop_iterations: Number of event loop iterations that a call takes.
    """

    hosts: dict[str, session_affinity.SessionAffinity] = attrs.field(
        factory=dict
    )
    unreachable: set[str] = attrs.field(factory=set)
    loop_iterations: int = 1

    def add(self, name: str, in_force: model.ActiveTable) -> None:
        """Starts a host, or restarts it with no pins."""
        host = session_affinity.SessionAffinity(
            name, ["secret"], clock=lambda: 1_000.0, store=self
        )
        host.on_table(in_force)
        self.hosts[name] = host
        self.update_hosts()

    def update_hosts(self) -> None:
        """Updates the live hosts at every host."""
        live = [
            rendezvous.HomeHost(name, f"domain{name[-1]}")
            for name in sorted(self.hosts)
        ]
        for host in self.hosts.values():
            host.on_hosts(live)

    async def find(self, host: str, key: pins.PinKey) -> pins.Pin | None:
        """Implements ``PinStore.find``."""
        return (await self._connect(host)).pins.find(key)

    async def keep(self, host: str, pin: pins.Pin) -> pins.Pin:
        """Implements ``PinStore.keep``."""
        return (await self._connect(host)).pins.keep(pin)

    async def _connect(self, host: str) -> session_affinity.SessionAffinity:
        for _ in range(self.loop_iterations):
            await asyncio.sleep(0)
        if host in self.unreachable or host not in self.hosts:
            raise errors.PeerUnreachableError("host is down", "Wait.")
        return self.hosts[host]

    async def request_pin(
        self, host: str, header: str
    ) -> session_affinity.SessionPin:
        """Returns the pin of a session's request at one host."""
        pin = await self.hosts[host].resolve_pin(ACCOUNT, header, MODEL, "new")
        assert isinstance(pin, session_affinity.SessionPin)
        return pin
