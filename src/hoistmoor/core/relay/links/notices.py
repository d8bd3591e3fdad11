"""What servers have announced to hosts that forward requests to them.

Answers hosts without links to the servers, whose requests reach these through
a few other hosts: each server tells its rest, departure or limit to the host
that it sees, while another one decides. The host that forwards keeps to what it
was told, and says so, so that the other one learns it.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib


class Notice(enum.StrEnum):
    """An announcement of a server that restricts what it may be sent."""

    REST = "rest"
    LEAVING = "leaving"
    LIMIT = "limit"
    BRITTLE = "brittle"


# Notices against any request. Of the others, a host that knows of them decides
# itself whether a request is within its share.
_PROHIBITIONS = frozenset({Notice.REST, Notice.LEAVING})


def active(server: server_lib.ServerState, now: float) -> frozenset[Notice]:
    """Returns the notices of a server that this host knows of."""
    conditions = {
        Notice.REST: server.rest.remaining(now) > 0.0,
        Notice.LEAVING: server.departure.is_active(server.entry.born, now),
        Notice.LIMIT: server.limit.rate is not None,
        Notice.BRITTLE: server.brittle.is_active(now),
    }
    return frozenset(each for each, holds in conditions.items() if holds)


def prohibits_forwarding(
    server: server_lib.ServerState, known: frozenset[Notice], now: float
) -> bool:
    """Returns whether a server has announced what bars a request.

    Args:
        server: The server.
        known: Notices that the host which asks knows of.
        now: Monotonic time.
    """
    announced = active(server, now)
    return bool(announced & _PROHIBITIONS or announced - known)
