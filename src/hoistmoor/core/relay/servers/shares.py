"""A bound that all hosts keep together on what one server gets.

Each host knows only what it sends itself, so a bound that each kept alone
would be exceeded as many times as there are hosts. Words between hosts would
come too late: a server that looks idle to one host does so to all.

Each server has a few hosts, the same by rendezvous hashing wherever the list
of hosts is the same. Only these send to it, each a fixed number in a window,
so that the sum is bounded with no word between the hosts. Where lists lack
some hosts, others count themselves among the chosen: the bound grows by what
the lists lack, no more. A host that is not listed sends nothing.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable

_SEED = 61  # Of the order of the hosts for a server.
# Servers whose parts are kept; they are found anew after that many.
_KEPT = 4096
# Newest sends to a server that are remembered: a part that is larger counts
# over a window that is shorter in proportion.
MOST_SENDS = 256


@attrs.frozen
class Part:
    """What one host may send to a server in a window.

    Attributes:
        own: Requests of this host; 0 if it is not one of the chosen.
        all_hosts: Requests of all chosen hosts together.
    """

    own: int
    all_hosts: int


NO_PART = Part(0, 0)


class HostShares:
    """This host's part of what all hosts may send to each server.

    Attributes:
        own: Name of this host.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self._hosts: frozenset[str] = frozenset()
        self._parts: dict[tuple[str, int], Part] = {}

    def take_hosts(self, names: Iterable[str]) -> None:
        """Takes the names of all hosts that are listed."""
        hosts = frozenset(names)
        if hosts != self._hosts:
            self._hosts = hosts
            self._parts.clear()

    def part_of(self, key: str, requests: int) -> Part:
        """Returns this host's part.

        Args:
            key: Stands for the server; hosts with the same key and the same
                list choose the same hosts.
            requests: What all hosts together may send in a window.
        """
        known = self._parts.get((key, requests))
        if known is None:
            known = self._find(key, requests)
            if len(self._parts) >= _KEPT:
                self._parts.clear()
            self._parts[key, requests] = known
        return known

    def equal_part(self, amount: float) -> float:
        """Returns what is left for each host where all get as much."""
        if self.own not in self._hosts:
            return 0.0
        return amount / len(self._hosts)

    def _find(self, key: str, requests: int) -> Part:
        if self.own not in self._hosts or requests < 1:
            return NO_PART
        count = min(len(self._hosts), requests)
        each = requests // count
        chosen = heapq.nsmallest(
            count,
            self._hosts,
            key=lambda host: hashing.unit(f"{key} {host}", _SEED),
        )
        own = each if self.own in chosen else 0
        return Part(own, each * count)


@attrs.define
class RecentSends:
    """Times at which this host sent requests to one server, lately."""

    _times: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MOST_SENDS)
    )

    def note(self, now: float) -> None:
        """Notes a request that is sent."""
        self._times.append(now)

    def wait(self, requests: int, window: float, now: float) -> float:
        """Returns the seconds until one more fits; 0 if it does now.

        Args:
            requests: How many may be sent within a window; at least 1.
            window: Seconds.
            now: Steady time.
        """
        if requests > MOST_SENDS:
            window *= MOST_SENDS / requests
            requests = MOST_SENDS
        if len(self._times) < requests:
            return 0.0
        return max(0.0, self._times[-requests] + window - now)
