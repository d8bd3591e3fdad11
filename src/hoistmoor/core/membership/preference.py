"""A stable order in which a host prefers its peers.

Rendezvous hashing distributes the preferences evenly over the hosts and keeps
them stable as hosts join and leave, so that each host needs connections to
only a few peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoistmoor.core.membership import view


def preferred_peers(
    own: view.HostView, others: Iterable[view.HostView], count: int
) -> tuple[view.HostView, ...]:
    """Returns the ``count`` preferred hosts in other failure domains.

    Args:
        own: The host whose preferences are returned.
        others: The candidates. ``own`` and the hosts in its failure domain are
            ignored.
        count: Maximum number of hosts to return.
    """

    def weight(host: view.HostView) -> int:
        return xxhash.xxh3_64_intdigest(f"{own.name}/{host.name}".encode())

    candidates = [
        host for host in others if host.failure_domain != own.failure_domain
    ]
    return tuple(sorted(candidates, key=weight, reverse=True)[:count])
