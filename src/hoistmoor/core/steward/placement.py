"""Assigns model versions to the backend servers that should load them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import math
from typing import TYPE_CHECKING

import attrs
import xxhash

from hoistmoor.core.table import model

if TYPE_CHECKING:
    from hoistmoor.core.steward import rollouts

MAX_FAILED_READS = 3  # Consecutive failures after which replicas are moved.


@attrs.frozen
class EngineCondition:
    """The last state read from an engine.

    Attributes:
        fencing: Highest fencing token that the engine has received.
        wanted: Versions of the last order that the engine accepted.
        loaded: Versions that serve requests.
        loading: Versions being loaded.
        leaving: Whether the engine accepts no new requests.
        failed_reads: Consecutive failed reads since that state was read.
    """

    fencing: int = -1
    wanted: frozenset[str] = frozenset()
    loaded: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    leaving: bool = False
    failed_reads: int = 0

    @property
    def present(self) -> frozenset[str]:
        """Versions loaded or being loaded."""
        return self.loaded | self.loading

    @property
    def is_changing(self) -> bool:
        """Whether an order is still being executed."""
        return bool(self.loading) or self.wanted != self.loaded

    @property
    def is_usable(self) -> bool:
        """Whether replicas on the engine count as available."""
        return not self.leaving and self.failed_reads < MAX_FAILED_READS


Conditions = Mapping[str, EngineCondition]


def wanted_replicas(version: model.Version, view: rollouts.RolloutView) -> int:
    """Returns the number of engines that should load ``version``.

    A candidate gets one replica as soon as its rollout starts, before it
    serves any request, and further replicas in proportion to its share.
    """
    if version.stage is model.Stage.WITHDRAWN or view.is_withdrawn(version):
        return 0
    if version.stage is not model.Stage.CANDIDATE:
        return version.replicas
    if not view.is_open(version):
        return 0
    return max(1, math.ceil(version.replicas * view.share(version)))


def usable_servers(
    servers: Sequence[model.Server],
    view: rollouts.RolloutView,
    conditions: Conditions,
) -> list[model.Server]:
    """Returns the backend servers that can be assigned replicas.

    Args:
        servers: Backend servers of one pool.
        view: Rollouts, withdrawals and drains.
        conditions: Last state read from each engine, by backend server.
    """
    return [
        server
        for server in servers
        if not view.is_draining(server.server)
        and server.server in conditions
        and conditions[server.server].is_usable
    ]


def assign(
    versions: Sequence[model.Version],
    servers: Sequence[model.Server],
    view: rollouts.RolloutView,
    conditions: Conditions,
) -> dict[str, frozenset[str]]:
    """Returns the versions that each backend server of a pool should load.

    The criteria for a replica are, in this order: spread over the failure
    domains, stay where it is loaded, and prefer backend servers with few
    versions.

    Args:
        versions: Versions of the pool.
        servers: Usable backend servers of the pool.
        view: Rollouts and withdrawals.
        conditions: Last state read from each engine, by backend server.
    """
    assigned: dict[str, set[str]] = {row.server: set() for row in servers}
    for version in versions:
        queues = _domain_queues(version.key, servers, assigned, conditions)
        for _ in range(min(wanted_replicas(version, view), len(servers))):
            assigned[_take_best(queues)].add(version.key)
    return {name: frozenset(keys) for name, keys in assigned.items()}


@attrs.define
class _DomainQueue:
    """Backend servers of a failure domain, best first, and the number taken."""

    ranked: list[tuple[bool, int, int, str]]
    taken: int = 0

    def cost(self) -> tuple[int, bool, int, int, str]:
        return (self.taken, *self.ranked[self.taken])


def _domain_queues(
    version: str,
    servers: Sequence[model.Server],
    assigned: Mapping[str, set[str]],
    conditions: Conditions,
) -> list[_DomainQueue]:
    grouped: dict[str, list[tuple[bool, int, int, str]]] = {}
    for row in servers:
        name = row.server
        rank = (
            version not in conditions[name].present,
            len(assigned[name]),
            xxhash.xxh64_intdigest(f"{version}/{name}".encode()),
            name,
        )
        grouped.setdefault(row.failure_domain, []).append(rank)
    return [_DomainQueue(sorted(ranks)) for ranks in grouped.values()]


def _take_best(queues: list[_DomainQueue]) -> str:
    open_queues = [queue for queue in queues if queue.taken < len(queue.ranked)]
    best = min(open_queues, key=_DomainQueue.cost)
    name = best.ranked[best.taken][-1]
    best.taken += 1
    return name
