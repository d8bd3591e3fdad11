"""Splits a bound on the requests to one server among all hosts.

Each host only knows its own requests. If every host enforced the bound alone,
the total could exceed it by a factor of the number of hosts. Messages between
hosts would arrive too late, because a server that looks idle to one host looks
idle to all of them.

Therefore a few hosts are selected for each server by rendezvous hashing, which
gives the same result wherever the list of hosts is the same. Only these hosts
send to the server, each a fixed number of requests per window, so the total is
bounded without coordination. A host whose list lacks some of the others may
select itself in addition, so the bound is exceeded only in proportion to what
the lists lack. A host that is not on its own list sends nothing.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable

_HASH_SEED = 61  # Seed of the order in which hosts are selected for a server.
# Quotas that are cached. The cache is cleared when it is full.
_MAX_CACHED_QUOTAS = 4096
# Recent sends to a server that are stored. A larger quota is enforced over a
# proportionally shorter window.
MAX_SENDS = 256


@attrs.frozen
class Quota:
    """Quota of requests to a server in one window.

    Attributes:
        own: Requests that this host may send; 0 if it is not selected.
        total: Requests that all selected hosts together may send.
    """

    own: int
    total: int


NO_QUOTA = Quota(0, 0)


class HostShares:
    """This host's share of the requests that all hosts may send to a server.

    Attributes:
        host_name: Name of this host.
    """

    def __init__(self, host_name: str) -> None:
        self.host_name = host_name
        self._hosts: frozenset[str] = frozenset()
        self._quotas: dict[tuple[str, int], Quota] = {}

    def set_hosts(self, names: Iterable[str]) -> None:
        """Sets the names of all listed hosts."""
        hosts = frozenset(names)
        if hosts != self._hosts:
            self._hosts = hosts
            self._quotas.clear()

    def quota_for(self, key: str, requests: int) -> Quota:
        """Returns the quota of this host.

        Args:
            key: Identifies the server; hosts with equal lists select the same
                hosts for the same key.
            requests: Requests that all hosts together may send in a window.
        """
        known = self._quotas.get((key, requests))
        if known is None:
            known = self._compute_quota(key, requests)
            if len(self._quotas) >= _MAX_CACHED_QUOTAS:
                self._quotas.clear()
            self._quotas[key, requests] = known
        return known

    def is_selected(self, key: str) -> bool:
        """Returns whether this host is the one that all select for a key."""
        return self.quota_for(key, 1).own > 0

    def equal_share(self, amount: float) -> float:
        """Returns this host's share of an amount split evenly among hosts."""
        if self.host_name not in self._hosts:
            return 0.0
        return amount / len(self._hosts)

    def _compute_quota(self, key: str, requests: int) -> Quota:
        if self.host_name not in self._hosts or requests < 1:
            return NO_QUOTA
        count = min(len(self._hosts), requests)
        per_host = requests // count
        selected = heapq.nsmallest(
            count,
            self._hosts,
            key=lambda host: hashing.uniform(f"{key} {host}", _HASH_SEED),
        )
        own = per_host if self.host_name in selected else 0
        return Quota(own, per_host * count)


@attrs.define
class RecentSends:
    """Times of this host's recent requests to one server."""

    _times: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SENDS)
    )

    def record(self, now: float) -> None:
        """Records a request that is sent."""
        self._times.append(now)

    def wait(self, requests: int, window: float, now: float) -> float:
        """Returns the seconds until another request fits; 0 if it fits now.

        Args:
            requests: Requests allowed within a window; at least 1.
            window: Length of the window in seconds.
            now: Monotonic time.
        """
        if requests > MAX_SENDS:
            window *= MAX_SENDS / requests
            requests = MAX_SENDS
        if len(self._times) < requests:
            return 0.0
        return max(0.0, self._times[-requests] + window - now)
