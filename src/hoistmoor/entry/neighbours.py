"""What parts of a host ask of the membership, each in its own words."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import replies
from hoistmoor.core import identity
from hoistmoor.core.membership import preference
from hoistmoor.core.membership import view
from hoistmoor.entry import bill_holders
from hoistmoor.entry import share_peers

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    import aiohttp

    from hoistmoor.clients import hosts as hosts_client
    from hoistmoor.entry import membership
    from hoistmoor.utils import tls

_CONTACT_TIMEOUT = 1.0  # Seconds.
HOLDERS = 3  # Peers asked at most to hold one batch.
MOST_USED = 8  # Holders remembered, those of now included.
GIVERS = 5  # Peers asked at most for a share.

_LEARNING_SECONDS = 30.0  # A new host may not know all others sooner.
_MS = 1000.0


@attrs.frozen
class _Contact:
    peer_address: str


class Neighbours:
    """The biller's, the claims' and the freshness' view of the other hosts.

    Attributes:
        members: The membership.
    """

    def __init__(
        self, members: membership.MembershipTask, clock: Callable[[], float]
    ) -> None:
        self.members = members
        self._clock = clock
        self._preferred: tuple[view.HostView, ...] = ()
        self._used: dict[identity.Incarnation, bill_holders.Holder] = {}

    def host_count(self) -> int:
        """Returns how many entry hosts are alive, this one included."""
        return max(1, len(self.members.live_hosts()))

    def holders(self) -> Sequence[bill_holders.Holder]:
        """Returns a few live peers in other failure domains, preferred first.

        Those that were preferred before follow, as they may hold bills still.
        """
        first = [self._holder(host) for host in self._preferred]
        names = {holder.incarnation for holder in first}
        before = [
            holder
            for incarnation, holder in self._used.items()
            if incarnation not in names and self.is_alive(incarnation)
        ]
        return first + before

    def on_hosts(self, live: tuple[view.HostView, ...]) -> None:
        """Takes the live hosts, this one included."""
        own = self.members.own
        self._preferred = preference.preferred_peers(own, live, HOLDERS)

    def _holder(self, host: view.HostView) -> bill_holders.Holder:
        incarnation = identity.Incarnation(host.name, host.incarnation)
        peer = self.members.peer(host.name)
        holder = bill_holders.Holder(incarnation, peer)
        self._used.pop(incarnation, None)
        self._used[incarnation] = holder
        while len(self._used) > MOST_USED:
            self._used.pop(next(iter(self._used)))
        return holder

    def givers(self) -> Sequence[share_peers.Giver]:
        """Returns some of the other live hosts in a random order."""
        own = self.members.own.name
        hosts = [h for h in self.members.live_hosts() if h.name != own]
        return [
            share_peers.Giver(
                host.name, self.members.peer(host.name), host.incarnation
            )
            for host in random.sample(hosts, min(GIVERS, len(hosts)))
        ]

    def is_alive(self, incarnation: identity.Incarnation) -> bool:
        """Returns whether a process is thought to run; doubt counts as yes."""
        host = self.members.host(incarnation.host)
        if host is None:
            return self._is_learning
        if host.incarnation != incarnation.number:
            return host.incarnation < incarnation.number
        return host.state is not view.MemberState.DEAD

    @property
    def _is_learning(self) -> bool:
        started = self.members.own.incarnation / _MS
        return self._clock() - started < _LEARNING_SECONDS

    def eldest(self) -> str:
        """Returns ``ip:port`` of the live host that runs longest."""
        live = self.members.live_hosts()
        if not live:
            return ""
        return min(live, key=lambda host: host.incarnation).http_address

    def addresses(self) -> dict[str, str]:
        """Returns ``ip:port`` by name of the live hosts."""
        return {
            host.name: host.http_address for host in self.members.live_hosts()
        }

    def is_fresh(self, now: float) -> bool:
        """Returns whether new work may be decided by the table in force."""
        return self.members.freshness(now).is_fresh

    def peer_address(self, name: str) -> str | None:
        """Returns the peer address of a host, or None."""
        host = self.members.host(name)
        return host.peer_address if host else None


class PeerFinder:
    """Asks a listed entry host for the address that peers use."""

    def __init__(self, session: aiohttp.ClientSession, link: tls.Link) -> None:
        self._session = session
        self._link = link

    async def find(self, host: hosts_client.ListedHost) -> str:
        """Returns the peer address of a listed host.

        Raises:
            PlatformError: The host does not answer or says no address.
        """
        contact = await replies.fetch(
            self._session,
            self._link.url(host.address, "/peer-address"),
            _Contact,
            _CONTACT_TIMEOUT,
            verify=self._link.verify,
        )
        return contact.peer_address
