"""How many requests this host may send to a server that is cold.

A server that has just started bears a few requests a second and crashes well
above, whoever sends them. It has no work under way, so it looks the best to
all hosts, and they learn late what the others send.

The load that it answers: 20 servers of a failure domain that come back
together before 84 or 360 hosts, which ask for 300 runs a second. Left to the
hosts, a server got 22 requests in its first second where 18 are allowed.

Each start of a server has a few hosts, the same by rendezvous hashing
wherever the list of hosts is the same. Only these send to it while it is
cold, each a fixed number in a window, so that the sum is bounded with no word
between the hosts. A host that does not know the others sends nothing to it.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hoistmoor.core.relay.beliefs import configuration

# Seconds over which a host counts what it has sent to a cold server. The bound
# is for any second; a request may take a quarter of one more than the next.
WINDOW = 1.25
# Part of the bound that the hosts' shares add up to. Hosts whose lists differ
# have other shares, and two windows of a host may fall into one second where
# its requests are held up.
SHARED = 0.5
_SEED = 61  # Of the order of the hosts for a server.
# Servers whose shares are kept; they are found anew after that many.
_KEPT = 4096


@attrs.frozen
class Excess:
    """What operators allow beyond the rate that a service states.

    Attributes:
        factor: Times that rate.
        requests: Requests in a second on top.
    """

    factor: float = 1.0
    requests: float = 0.0


@attrs.frozen
class Warmup:
    """How the servers of one service warm up.

    Attributes:
        duration: Seconds for which one is cold after its start.
        allowed: Requests that a cold one may get in any second, from all
            hosts.
    """

    duration: float
    allowed: float


class WarmupShares:
    """This host's share of what cold servers may get.

    Attributes:
        own: Name of this host.
        excess: What operators allow beyond the services' rates.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.excess = Excess()
        self._hosts: frozenset[str] = frozenset()
        self._services: Mapping[str, configuration.Service] = {}
        self._shares: dict[str, int] = {}

    def take_hosts(self, names: Iterable[str]) -> None:
        """Takes the names of all hosts that are listed."""
        hosts = frozenset(names)
        if hosts != self._hosts:
            self._hosts = hosts
            self._shares.clear()

    def take_services(
        self, services: Mapping[str, configuration.Service]
    ) -> None:
        """Takes what the operators say of the services."""
        self._services = services
        self._shares.clear()

    def take_excess(self, excess: Excess) -> None:
        """Takes what operators allow beyond the services' rates."""
        self.excess = excess
        self._shares.clear()

    def warmup_of(self, service: str) -> Warmup | None:
        """Returns how a service's servers warm up; None if they need not."""
        found = self._services.get(service)
        if found is None or not found.warmup_duration:
            return None
        rate = found.warmup_rate * self.excess.factor
        return Warmup(found.warmup_duration, rate + self.excess.requests)

    def share_of(self, service: str, identity: str) -> int:
        """Returns the requests that this host may send in a window.

        Args:
            service: Service of the server.
            identity: Identity of the server.
        """
        known = self._shares.get(identity)
        if known is None:
            warmup = self.warmup_of(service)
            known = self._share(warmup, identity) if warmup else 0
            if len(self._shares) >= _KEPT:
                self._shares.clear()
            self._shares[identity] = known
        return known

    def _share(self, warmup: Warmup, identity: str) -> int:
        shared = int(SHARED * warmup.allowed)
        if self.own not in self._hosts or not shared:
            return 0
        count = min(len(self._hosts), shared)
        chosen = heapq.nsmallest(
            count,
            self._hosts,
            key=lambda host: hashing.unit(f"{identity} {host}", _SEED),
        )
        return shared // count if self.own in chosen else 0


@attrs.define
class RecentSends:
    """Times at which this host sent requests to one server, lately."""

    _times: collections.deque[float] = attrs.field(factory=collections.deque)

    def note(self, now: float) -> None:
        """Notes a request that is sent."""
        self._times.append(now)
        self._forget(now)

    def count(self, now: float) -> int:
        """Returns how many were sent within the window that ends now."""
        self._forget(now)
        return len(self._times)

    def _forget(self, now: float) -> None:
        while self._times and now - self._times[0] >= WINDOW:
            self._times.popleft()
