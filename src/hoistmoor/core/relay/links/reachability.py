"""Paths from this host to a server: its own link, or another host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.links import forwarders as forwarders_lib
from hoistmoor.core.relay.links import host_links

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import replication
    from hoistmoor.core.relay.servers import server as server_lib

# Failures in a row after which a server is given up, where no other host can
# be asked about it.
MIN_FAILURES = 2


@attrs.frozen
class Reachability:
    """Paths from this host to the servers.

    Attributes:
        links: This host's own links.
        forwarders: Other hosts that may forward its requests.
    """

    links: host_links.HostLinks
    forwarders: forwarders_lib.Forwarders

    def wait_while_unreachable(
        self, server: server_lib.ServerState, now: float
    ) -> float:
        """Returns infinity while no path to a server is known, else 0."""
        if self.links.is_usable(server, now):
            return 0.0
        if server.link.is_unreached_by_others(now):
            return math.inf
        if self.forwarders.has_any(now):
            return 0.0
        is_certain = (
            self.links.lost_since is not None
            or server.link.failures >= MIN_FAILURES
        )
        return math.inf if is_certain else 0.0

    def preferred(
        self, servers: list[server_lib.ServerState], now: float
    ) -> list[server_lib.ServerState]:
        """Returns the servers that are known to be within reach.

        While all own links are lost, no server is within reach directly, and
        the answers to forwarded requests tell which ones are at all.
        """
        if self.links.lost_since is not None:
            return servers
        return [
            server
            for server in servers
            if not server.link.failures
            or not server.link.is_closed(now)
            or server.link.is_reached_by_others(now)
        ]

    def forwarder_for(
        self, server: server_lib.ServerState, now: float
    ) -> replication.Host | None:
        """Returns the host to send a request through; None to send directly."""
        if self.links.is_usable(server, now):
            return None
        if self.links.lost_since is not None:
            return self.forwarders.pick(now)
        return self.forwarders.pick_for(server.link, now)
