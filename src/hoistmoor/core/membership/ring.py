"""Selects the peers that a host pings.

The hosts form a ring, ordered by the hashes of their names. Each host pings
those at distances 1, 2, 4, ... on the ring. Each host is therefore pinged by
about log2(n) of n hosts, and keeps about as many connections. At least one of
the peers is in another failure domain and one in another region, if there are
any.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from hoistmoor.core.membership import view

FULL_MESH_PEERS = 10  # Up to this number of peers, a host pings all of them.


def neighbours(
    own: view.HostView, others: Sequence[view.HostView]
) -> tuple[str, ...]:
    """Returns the names of the peers that ``own`` pings in turn."""
    ring = sorted(others, key=lambda host: _distance(own.name, host.name))
    if len(ring) <= FULL_MESH_PEERS:
        return tuple(host.name for host in ring)
    chosen = [ring[step - 1] for step in _powers_of_two(len(ring))]
    for label in (_failure_domain, _region):
        _include_other_label(label(own), label, chosen, ring)
    return tuple(host.name for host in chosen)


def _powers_of_two(limit: int) -> list[int]:
    return [1 << power for power in range(limit.bit_length())]


@functools.lru_cache(maxsize=4096)
def _position(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def _distance(start: str, name: str) -> int:
    return (_position(name) - _position(start)) % (1 << 64)


def _failure_domain(host: view.HostView) -> str:
    return host.failure_domain


def _region(host: view.HostView) -> str:
    return host.region


def _include_other_label(
    own_label: str,
    label: Callable[[view.HostView], str],
    chosen: list[view.HostView],
    ring: list[view.HostView],
) -> None:
    """Adds the next host with another label, unless one is chosen already."""
    if any(label(host) != own_label for host in chosen):
        return
    other = next((host for host in ring if label(host) != own_label), None)
    if other is not None:
        chosen.append(other)
