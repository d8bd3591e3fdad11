"""Plans the orders that move engines towards their target state in safe steps.

The planner is level-triggered: it compares the reported state of the engines
with the target state and does not remember orders. It is therefore irrelevant
who sent the last order, whether its reply was lost, or whether an order of a
superseded steward arrived late: the next pass reads the outcome and corrects
it. After a takeover, engines that check fencing tokens also receive the new
token if their versions are unchanged, so that they reject orders of the former
active steward that are still in flight.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from hoistmoor.core.steward import placement
from hoistmoor.core.steward import rollouts
from hoistmoor.core.table import model

SERVERS_PER_CHANGE = 5  # One in this many servers of a pool may change at once.
UNLOAD_DELAY_SECONDS = 60.0  # Time for requests on an unwanted replica to end.


@attrs.frozen
class PlannedOrder:
    """An order to one engine.

    Attributes:
        server: Row of the backend server in the table.
        wanted: Versions to have loaded; all others are unloaded.
        loads: Versions among them that have to be fetched from the weight
            store.
    """

    server: model.Server
    wanted: frozenset[str]
    loads: frozenset[str]


@attrs.define
class Planner:
    """Plans the orders of all pools.

    Attributes:
        unload_delay: Seconds between a replica becoming unwanted and being
            unloaded, so that its requests can end.
        unwanted_since: Time at which each unwanted replica was first
            observed, by backend server and version. If it is lost, unloading
            is only delayed.
    """

    unload_delay: float = UNLOAD_DELAY_SECONDS
    unwanted_since: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def plan(
        self,
        table: model.Table,
        view: rollouts.RolloutView,
        conditions: placement.Conditions,
        fencing: int,
        now: float,
    ) -> tuple[PlannedOrder, ...]:
        """Returns the orders to send now.

        Args:
            table: The table in force.
            view: Rollouts, withdrawals and drains.
            conditions: Last state read from each engine, by backend server.
            fencing: Fencing token of the active steward.
            now: Local time, in seconds.
        """
        orders: list[PlannedOrder] = []
        for service in table.services.values():
            if service.kind is model.ServiceKind.ENGINE:
                pool = _Pool.build(service.service, table, view, conditions)
                orders += self._plan_pool(pool, now)
        ordered = {order.server.server for order in orders}
        return (*orders, *_fencing_updates(table, conditions, fencing, ordered))

    def _plan_pool(self, pool: _Pool, now: float) -> list[PlannedOrder]:
        removable = self._removable(pool, now)
        orders = []
        for server in pool.servers:
            condition = pool.conditions[server.server]
            kept = condition.present - removable[server.server]
            wanted = pool.targets[server.server] | kept
            if wanted != condition.wanted:
                loads = wanted - condition.present
                orders.append(PlannedOrder(server, wanted, loads))
        orders.sort(key=pool.scarcity_key)
        return pool.limit_changes(orders)

    def _removable(self, pool: _Pool, now: float) -> dict[str, set[str]]:
        """Returns the versions that may be unloaded now, by backend server."""
        loaded = dict(pool.loaded)
        removable: dict[str, set[str]] = {}
        for server in pool.servers:
            name = server.server
            present = pool.conditions[name].present
            surplus = present - pool.targets[name]
            removable[name] = set()
            for version in sorted(surplus):
                if not self._is_unload_delay_over(name, version, now):
                    continue
                if not pool.can_unload(name, version, loaded):
                    continue
                removable[name].add(version)
                if version in pool.conditions[name].loaded:
                    loaded[version] -= 1
            self._discard_obsolete_times(name, surplus)
        return removable

    def _is_unload_delay_over(
        self, server: str, version: str, now: float
    ) -> bool:
        since = self.unwanted_since.setdefault((server, version), now)
        return now - since >= self.unload_delay

    def _discard_obsolete_times(
        self, server: str, surplus: frozenset[str]
    ) -> None:
        """Removes the times of replicas that are wanted again or unloaded."""
        for key in [
            key
            for key in self.unwanted_since
            if key[0] == server and key[1] not in surplus
        ]:
            del self.unwanted_since[key]


def _fencing_updates(
    table: model.Table,
    conditions: placement.Conditions,
    fencing: int,
    ordered: set[str],
) -> Iterator[PlannedOrder]:
    """Yields orders that only update the fencing token of an engine."""
    for name, condition in conditions.items():
        row = table.servers.get(name)
        if row is None or not row.checks_fencing or name in ordered:
            continue
        if condition.fencing < fencing and not condition.failed_reads:
            yield PlannedOrder(row, condition.wanted, frozenset())


@attrs.frozen
class _Pool:
    """Target and reported state of one engine service."""

    servers: Sequence[model.Server]
    conditions: placement.Conditions
    targets: dict[str, frozenset[str]]
    replicas: dict[str, int]
    loaded: dict[str, int]

    @classmethod
    def build(
        cls,
        service: str,
        table: model.Table,
        view: rollouts.RolloutView,
        conditions: placement.Conditions,
    ) -> _Pool:
        rows = table.servers_by_service.get(service, ())
        servers = placement.usable_servers(rows, view, conditions)
        versions = [
            table.versions[key]
            for key in sorted(table.versions)
            if table.versions[key].service == service
        ]
        replicas = {
            version.key: min(
                placement.wanted_replicas(version, view), len(servers)
            )
            for version in versions
        }
        targets = placement.assign(versions, servers, view, conditions)
        loaded = _count_replicas(servers, conditions)
        return cls(servers, conditions, targets, replicas, loaded)

    def can_unload(
        self, server: str, version: str, loaded: dict[str, int]
    ) -> bool:
        """Returns whether enough other replicas of ``version`` are loaded."""
        if version not in self.conditions[server].loaded:
            return True
        return loaded[version] > self.replicas.get(version, 0)

    def limit_changes(self, orders: list[PlannedOrder]) -> list[PlannedOrder]:
        """Returns the orders within the limit on concurrent changes.

        Orders to backend servers that are already changing do not count.
        """
        changing = {
            row.server
            for row in self.servers
            if self.conditions[row.server].is_changing
        }
        remaining = max(1, len(self.servers) // SERVERS_PER_CHANGE) - len(
            changing
        )
        allowed = []
        for order in orders:
            if order.server.server not in changing:
                remaining -= 1
                if remaining < 0:
                    continue
            allowed.append(order)
        return allowed

    def scarcity_key(self, order: PlannedOrder) -> tuple[int, str]:
        """Returns a sort key that puts versions with few replicas first."""
        scarcest = min(
            (self.loaded.get(version, 0) for version in order.loads),
            default=len(self.servers),
        )
        return scarcest, order.server.server


def _count_replicas(
    servers: Sequence[model.Server], conditions: placement.Conditions
) -> dict[str, int]:
    """Returns the number of usable servers that have each version loaded."""
    loaded: dict[str, int] = {}
    for server in servers:
        for version in conditions[server.server].loaded:
            loaded[version] = loaded.get(version, 0) + 1
    return loaded
