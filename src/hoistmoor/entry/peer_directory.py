"""Finds other entry hosts for billing, claims, shares and readiness checks."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import service_client
from hoistmoor.core import identity
from hoistmoor.core.membership import preference
from hoistmoor.core.membership import view
from hoistmoor.entry import bill_holders
from hoistmoor.entry import share_exchange

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    import aiohttp

    from hoistmoor.clients import hosts as hosts_client
    from hoistmoor.entry import membership
    from hoistmoor.utils import tls

_PEER_ADDRESS_TIMEOUT_SECONDS = 1.0
MAX_HOLDERS = 3  # Peers that may hold a batch of bills.
MAX_RECENT_HOLDERS = 8  # Includes the preferred holders.
MAX_SHARE_PEERS = 5  # Peers returned to exchange spend shares with.

# For this long after its start, a host may not know all others.
_DISCOVERY_SECONDS = 30.0
_MILLISECONDS_PER_SECOND = 1000.0


@attrs.frozen
class _PeerAddressResponse:
    peer_address: str


class PeerDirectory:
    """Other entry hosts, as billing, claims, shares and readiness see them.

    Attributes:
        members: The membership task.
    """

    def __init__(
        self, members: membership.MembershipTask, clock: Callable[[], float]
    ) -> None:
        self.members = members
        self._clock = clock
        self._preferred_holders: tuple[view.HostView, ...] = ()
        self._recent_holders: dict[
            identity.Incarnation, bill_holders.Holder
        ] = {}

    def host_count(self) -> int:
        """Returns the number of live entry hosts, this one included."""
        return max(1, len(self.members.live_hosts()))

    def holders(self) -> Sequence[bill_holders.Holder]:
        """Returns live peers to hold batches of bills, preferred ones first.

        Preferred peers are in other failure domains; they are remembered as
        recent holders. Formerly preferred ones follow, as they may still hold
        batches of bills.
        """
        preferred = [self._holder(host) for host in self._preferred_holders]
        incarnations = {holder.incarnation for holder in preferred}
        former = [
            holder
            for incarnation, holder in self._recent_holders.items()
            if incarnation not in incarnations and self.is_alive(incarnation)
        ]
        return preferred + former

    def on_hosts(self, live: tuple[view.HostView, ...]) -> None:
        """Chooses the preferred holders from the live hosts.

        ``live`` includes this host.
        """
        own = self.members.own
        self._preferred_holders = preference.preferred_peers(
            own, live, MAX_HOLDERS
        )

    def _holder(self, host: view.HostView) -> bill_holders.Holder:
        incarnation = identity.Incarnation(host.name, host.incarnation)
        peer = self.members.peer(host.name)
        holder = bill_holders.Holder(incarnation, peer)
        self._recent_holders.pop(incarnation, None)
        self._recent_holders[incarnation] = holder
        while len(self._recent_holders) > MAX_RECENT_HOLDERS:
            self._recent_holders.pop(next(iter(self._recent_holders)))
        return holder

    def share_peers(self) -> Sequence[share_exchange.SharePeer]:
        """Returns a random sample of the other live hosts.

        Spend shares are requested from them and handed over to them.
        """
        own = self.members.own.name
        hosts = [h for h in self.members.live_hosts() if h.name != own]
        return [
            share_exchange.SharePeer(
                host.name, self.members.peer(host.name), host.incarnation
            )
            for host in random.sample(hosts, min(MAX_SHARE_PEERS, len(hosts)))
        ]

    def is_alive(self, incarnation: identity.Incarnation) -> bool:
        """Returns whether a process may be running.

        True also for a process newer than the known one and, soon after this
        host's start, for an unknown host. ``HostView.incarnation`` is only the
        number of an ``identity.Incarnation``.
        """
        host = self.members.host(incarnation.host)
        if host is None:
            return self._is_discovering
        if host.incarnation != incarnation.number:
            return host.incarnation < incarnation.number
        return host.state is not view.MemberState.DEAD

    @property
    def _is_discovering(self) -> bool:
        started = self.members.own.incarnation / _MILLISECONDS_PER_SECOND
        return self._clock() - started < _DISCOVERY_SECONDS

    def longest_running_address(self) -> str:
        """Returns ``ip:port`` of the longest-running live host.

        Empty if no host is live.
        """
        live = self.members.live_hosts()
        if not live:
            return ""
        return min(live, key=lambda host: host.incarnation).http_address

    def http_addresses(self) -> dict[str, str]:
        """Returns the ``ip:port`` of each live host by name."""
        return {
            host.name: host.http_address for host in self.members.live_hosts()
        }

    def is_fresh(self, now: float) -> bool:
        """Returns whether the table in force is fresh enough for new work."""
        return self.members.freshness(now).is_fresh

    def peer_address(self, name: str) -> str | None:
        """Returns the peer address of a host, or None if it is unknown."""
        host = self.members.host(name)
        return host.peer_address if host else None


class PeerAddressClient:
    """Asks an entry host on the platform's host list for its peer address."""

    def __init__(self, session: aiohttp.ClientSession, link: tls.Link) -> None:
        self._session = session
        self._link = link

    async def find(self, host: hosts_client.ListedHost) -> str:
        """Returns the peer address of a listed host.

        Raises:
            PlatformError: The host does not respond or sends no address.
        """
        response = await service_client.fetch_json(
            self._session,
            self._link.url(host.address, "/peer-address"),
            _PeerAddressResponse,
            _PEER_ADDRESS_TIMEOUT_SECONDS,
            verify=self._link.verify,
        )
        return response.peer_address
