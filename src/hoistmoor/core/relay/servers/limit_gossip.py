"""Gossip between hosts about the rate limits of backend servers.

Limits are sent with every message. Receivers ignore those that are older than
what they already know, so senders need not track what each receiver has seen.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.servers import server as server_lib

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core.relay.servers import fleet as fleet_lib
    from hoistmoor.core.relay.servers import limits

# Limits in a message, newest first: 50 bytes each, three times a second in both
# directions. A host that is not told learns the limit from its own first
# response.
MAX_PER_MESSAGE = 32

GossipedLimits = dict[str, "limits.GossipedLimit"]


@attrs.frozen
class LimitChange:
    """A change of a server's rate limit.

    Attributes:
        server: The server.
        before: The previous limit; None if there was none.
    """

    server: server_lib.ServerState
    before: float | None


def limits_to_gossip(fleet: fleet_lib.Fleet, now: float) -> GossipedLimits:
    """Returns the limits that this host sends, by server identity."""
    gossiped = {
        server.entry.identity: limit
        for server in fleet
        if (limit := server.limit.to_gossip(now)) is not None
    }
    if len(gossiped) <= MAX_PER_MESSAGE:
        return gossiped
    newest = heapq.nsmallest(
        MAX_PER_MESSAGE, gossiped.items(), key=lambda item: item[1].age
    )
    return dict(newest)


def merge(
    fleet: fleet_lib.Fleet,
    gossiped: Mapping[str, limits.GossipedLimit],
    now: float,
) -> list[LimitChange]:
    """Merges the limits sent by another host; returns the changes.

    Args:
        fleet: The servers.
        gossiped: Limits by server identity.
        now: Monotonic time to which the ages in ``gossiped`` refer.
    """
    changes = []
    for identity, limit in gossiped.items():
        server = fleet.find(identity)
        if server is None:
            continue
        before = server.limit.rate
        if server.limit.merge(limit, now):
            changes.append(LimitChange(server, before))
    return changes
