"""Reads the platform's host list for the membership task."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from hoistmoor.clients import hosts as hosts_client
from hoistmoor.core import errors
from hoistmoor.core.membership import messages
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from hoistmoor.core.membership import shuffling

MIN_INTERVAL_SECONDS = 3.0  # Minimum interval between reads of the list.
# The list grows with the deployment, so each host reads it less often to keep
# the cost constant. Hosts read it at different times and gossip the changes.
ROWS_PER_SECOND = 12.0
MAX_CONTACTS = 3  # Unknown hosts to look up after each read of the list.

_LOG = logs.PartLogger("membership")

FetchHosts = Callable[[], Awaitable[tuple[hosts_client.ListedHost, ...]]]
FindPeer = Callable[[hosts_client.ListedHost], Awaitable[str]]


class HostListReader:
    """Converts the platform's host list to membership messages.

    Attributes:
        poll_interval: Seconds to wait before the next read.
    """

    def __init__(
        self,
        fetch_hosts: FetchHosts,
        find_peer: FindPeer,
        shuffler: shuffling.Shuffler,
    ) -> None:
        self.poll_interval = MIN_INTERVAL_SECONDS
        self._fetch_hosts = fetch_hosts
        self._find_peer = find_peer
        self._shuffler = shuffler

    async def read(
        self, is_known: Callable[[str], bool]
    ) -> messages.HostsListed | None:
        """Reads the list; returns None if it is unavailable.

        Args:
            is_known: Tells whether the peer address of an entry host is known,
                by the name of the host.
        """
        try:
            listed = await self._fetch_hosts()
        except errors.HoistmoorError as error:
            _LOG.warning("Cannot read the host list: %s", error)
            return None
        self.poll_interval = max(
            MIN_INTERVAL_SECONDS, len(listed) / ROWS_PER_SECOND
        )
        entries = {
            host.name: host
            for host in listed
            if host.role is hosts_client.Role.ENTRY
        }
        unknown = [name for name in entries if not is_known(name)]
        chosen = self._shuffler.shuffled(unknown)[:MAX_CONTACTS]
        return messages.HostsListed(
            entries=frozenset(entries),
            contacts=await self._look_up([entries[name] for name in chosen]),
            servers=tuple(
                _to_listed_server(host)
                for host in listed
                if host.role is hosts_client.Role.BACKEND
            ),
        )

    async def _look_up(
        self, chosen: list[hosts_client.ListedHost]
    ) -> tuple[messages.Contact, ...]:
        contacts = []
        for host in chosen:
            try:
                address = await self._find_peer(host)
            except errors.HoistmoorError as error:
                _LOG.info("Cannot look up host %s: %s", host.name, error)
                continue
            contacts.append(messages.Contact(host.name, address))
        return tuple(contacts)


def _to_listed_server(host: hosts_client.ListedHost) -> messages.ListedServer:
    is_leaving = host.state is hosts_client.ListedState.LEAVING
    return messages.ListedServer(host.address, host.incarnation, is_leaving)
