"""Backend servers that are leaving, which means they accept no new work.

A server is reported as leaving by the platform's host list, by the server
itself or by an update from a peer; any one of them suffices. Only a later
incarnation at the same address clears the report. An old report is dropped
once the host list confirms that the server is gone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.membership import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoistmoor.core.membership import view_hashes


@attrs.frozen
class LeavingServer:
    """A backend server that accepts no new work.

    Attributes:
        address: ``ip:port`` of the backend server.
        incarnation: The incarnation that is leaving.
        first_known_at: When this was first reported.
    """

    address: str
    incarnation: int
    first_known_at: float


class LeavingServers:
    """The leaving backend servers, from all three sources."""

    def __init__(
        self, hashes: view_hashes.PartHashes, forget_after: float
    ) -> None:
        self._hashes = hashes
        self._forget_after = forget_after
        self._leaving: dict[str, LeavingServer] = {}
        self._live: dict[str, int] = {}  # Highest live incarnations.
        self._listed: frozenset[str] | None = None

    def __iter__(self) -> Iterator[LeavingServer]:
        """Yields the servers that are leaving."""
        return iter(tuple(self._leaving.values()))

    def get(self, address: str) -> LeavingServer | None:
        """Returns the server at ``address``, if it is leaving."""
        return self._leaving.get(address)

    def is_leaving(self, address: str, incarnation: int | None) -> bool:
        """Returns whether this incarnation, or any one if None, is leaving."""
        server = self._leaving.get(address)
        if server is None:
            return False
        return incarnation is None or incarnation <= server.incarnation

    def apply(self, update: messages.ServerNews, now: float) -> bool:
        """Applies an update; returns whether it changed anything."""
        if self._is_superseded(update):
            return False
        if self._is_expired(update.address, update.age):
            return False
        known = self._leaving.get(update.address)
        if known is not None and update.incarnation <= known.incarnation:
            return False
        self._store(
            LeavingServer(update.address, update.incarnation, now - update.age)
        )
        return True

    def record_live(self, address: str, incarnation: int) -> bool:
        """Records a live incarnation.

        Returns:
            Whether this cleared the report of an earlier incarnation.
        """
        if incarnation > self._live.get(address, -1):
            self._live[address] = incarnation
        known = self._leaving.get(address)
        if known is None or incarnation <= known.incarnation:
            return False
        self._remove(known)
        return True

    def reconcile(self, addresses: frozenset[str], now: float) -> None:
        """Reconciles the reports with the servers on the host list.

        Drops the old reports on servers that the list no longer names.
        """
        self._listed = addresses
        for server in self:
            if self._is_expired(server.address, now - server.first_known_at):
                self._remove(server)
        kept = addresses | self._leaving.keys()
        self._live = {
            address: incarnation
            for address, incarnation in self._live.items()
            if address in kept
        }

    def _is_superseded(self, update: messages.ServerNews) -> bool:
        return update.incarnation < self._live.get(update.address, 0)

    def _is_expired(self, address: str, age: float) -> bool:
        if age <= self._forget_after or self._listed is None:
            return False
        return address not in self._listed

    def _store(self, server: LeavingServer) -> None:
        known = self._leaving.get(server.address)
        if known is not None:
            self._toggle_hash(known)
        self._leaving[server.address] = server
        self._toggle_hash(server)

    def _remove(self, server: LeavingServer) -> None:
        del self._leaving[server.address]
        self._toggle_hash(server)

    def _toggle_hash(self, server: LeavingServer) -> None:
        fact = f"{server.address} {server.incarnation}"
        self._hashes.toggle(server.address, fact)


def to_update(leaving: LeavingServer, now: float) -> messages.ServerNews:
    """Returns the update for peers."""
    age = max(0, int(now - leaving.first_known_at))
    return messages.ServerNews(leaving.address, leaving.incarnation, age)
