"""Load of a service's servers from all hosts, as known to this host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.servers import fleet

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hoistmoor.core.relay.servers import server as server_lib

# Seconds after which a report of waiting requests is no evidence any more. A
# burst that has ended must not delay requests longer than that.
WAITING_TTL = 1.0
# Fraction of the slots in use from which room counts as scarce even if no
# server reports waiting requests.
SCARCE_FRACTION = 0.5


@attrs.frozen
class ServiceLoad:
    """Load of the servers of one service.

    Attributes:
        servers: Number of servers that may receive new work.
        slots: Requests that these process concurrently.
        requests: Outstanding requests of all hosts.
        others: Outstanding cost of the requests of other hosts.
        has_waiting: Whether a server has recently reported waiting requests.
        age: Seconds since the newest report of a server or of other hosts.
    """

    servers: int
    slots: int
    requests: int
    others: float
    has_waiting: bool
    age: float = 0.0

    @property
    def is_scarce(self) -> bool:
        """Whether requests may have to wait."""
        is_busy = self.requests >= SCARCE_FRACTION * self.slots
        return self.servers > 0 and (self.has_waiting or is_busy)


def observe(
    servers: Sequence[server_lib.ServerState],
    mean_work: float,
    now: float,
    *,
    has_engine: bool,
) -> ServiceLoad:
    """Returns the load of the servers of one service.

    Args:
        servers: Servers that may receive new work.
        mean_work: Mean work of a request to an engine.
        now: Monotonic time.
        has_engine: Whether the servers are engines, whose outstanding work
            hosts tell one another. The load of others is known from their own
            reports only.
    """
    requests = 0
    others = 0.0
    newest = -math.inf
    for server in servers:
        peers = server.load.current(now)
        if has_engine:
            others += server.total_work(mean_work, now) - server.work
            if now < server.peer_work_until:
                peers = server.peer_work.requests
                newest = max(
                    newest, server.peer_work_until - fleet.PEER_WORK_TTL
                )
        else:
            others += peers
        requests += server.in_flight + peers
        newest = max(newest, server.load.at)
    return ServiceLoad(
        len(servers),
        sum(server.entry.slots for server in servers),
        requests,
        others,
        any(
            server.load.waiting and now - server.load.at < WAITING_TTL
            for server in servers
        ),
        now - newest,
    )
