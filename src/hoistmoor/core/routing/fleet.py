"""State of all backend servers and membership of their pools."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import servers
from hoistmoor.core.table import limits
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

REPORT_TTL_S = 15.0  # Age at which the load of a report is discarded.
# Bounds of the rest of a server that declined a call for lack of capacity.
MIN_CAPACITY_REST_S = 0.01
MAX_CAPACITY_REST_S = 1.0
_AVERAGE_WEIGHT = 0.02  # Weight of the latest attempt in the average duration.


@attrs.define(eq=False)
class Fleet:
    """All backend servers of the table, grouped into pools.

    Attributes:
        local_domain: This host's failure domain.
        hosts: Number of live entry hosts.
        by_name: Servers by name.
        by_address: Servers by address.
        pools: Pools by key of the version or name of the plain service.
        average_seconds_per_unit: Moving average of the seconds per unit, by key
            of the pool. A unit is a token of a version or a call to a plain
            service.
        rests: Heap of (end of rest, server name). A rest is the time for which
            a server gets no new calls, as it was ejected or lacked capacity.
        keys_by_service: Keys of the pools by service.
    """

    local_domain: str
    hosts: int = 1
    by_name: dict[str, servers.ServerState] = attrs.field(factory=dict)
    by_address: dict[str, servers.ServerState] = attrs.field(factory=dict)
    pools: dict[str, servers.ServerPool] = attrs.field(factory=dict)
    average_seconds_per_unit: dict[str, float] = attrs.field(factory=dict)
    rests: list[tuple[float, str]] = attrs.field(factory=list)
    keys_by_service: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def on_table(self, table: model.Table) -> None:
        """Rebuilds the pools.

        Keeps the state of servers whose name and address are unchanged.
        """
        self.keys_by_service = _keys_by_service(table)
        known = self.by_name
        self.by_name = {}
        self.pools = {
            key: servers.ServerPool(key)
            for keys in self.keys_by_service.values()
            for key in keys
        }
        bias = limits.value(table, "local_domain_bias")
        for row in table.servers.values():
            server = self._reuse_state(row, known)
            server.remote_penalty = 0.0 if server.is_local else bias
            server.fair_share = max(1, row.concurrency // self.hosts)
            self.by_name[row.server] = server
        self.by_address = {s.row.address: s for s in self.by_name.values()}
        for server in self.by_name.values():
            self._update_pools(server)
        self._enforce_ejection_limit(self.pools.values())

    def _reuse_state(
        self, row: model.Server, known: dict[str, servers.ServerState]
    ) -> servers.ServerState:
        is_near = row.failure_domain == self.local_domain
        server = known.get(row.server)
        if server is None or server.row.address != row.address:
            return servers.ServerState(row, is_near)
        server.row = row
        server.is_local = is_near
        server.pools = ()
        return server

    def _update_pools(
        self, server: servers.ServerState
    ) -> tuple[servers.ServerPool, ...]:
        """Updates the pools of ``server`` and returns the previous ones."""
        previous = server.pools
        for pool in previous:
            pool.remove(server)
        keys = self.keys_by_service.get(server.row.service, ())
        if server.is_leaving:
            keys = ()
        server.pools = tuple(
            self.pools[key] for key in keys if server.can_serve(key)
        )
        for pool in server.pools:
            pool.servers[server.name] = server
        self.refresh(server)
        return previous

    def refresh(self, server: servers.ServerState) -> None:
        """Adds ``server`` to the ready sets of its pools or removes it."""
        change = (
            servers.ReadySet.add if server.is_ready else servers.ReadySet.remove
        )
        for pool in server.pools:
            change(pool.ready_set(server), server)

    def on_load(self, report: messages.LoadReport) -> None:
        """Applies a load report unless a newer one has been applied."""
        server = self.by_name.get(report.server)
        if server is None or _is_older(report, server.report):
            return
        previous = server.report
        server.apply_report(report)
        was_leaving = server.is_leaving
        if previous and report.incarnation > previous.incarnation:
            server.is_leaving = False
        if report.state == servers.LEAVING_STATE:
            server.is_leaving = True
        is_same = previous is not None and previous.versions == report.versions
        if is_same and was_leaving == server.is_leaving:
            self.refresh(server)
        else:
            self._enforce_ejection_limit(self._update_pools(server))

    def set_leaving(self, address: str, is_leaving: bool) -> None:
        """Sets whether the server at ``address`` is excluded from new work."""
        server = self.by_address.get(address)
        if server is not None and server.is_leaving != is_leaving:
            server.is_leaving = is_leaving
            self._enforce_ejection_limit(self._update_pools(server))

    def on_started(self, name: str, now: float) -> None:
        """Counts a call dispatched by this host."""
        server = self.by_name.get(name)
        if server is not None:
            server.record_change(now, 1)
            self.refresh(server)

    def set_host_count(self, hosts: int) -> None:
        """Sets the number of live entry hosts."""
        self.hosts = max(1, hosts)
        for server in self.by_name.values():
            share = server.row.concurrency // self.hosts
            server.fair_share = max(1, share)

    def on_finished(
        self,
        name: str,
        version: str,
        result: messages.AttemptResult,
        now: float,
    ) -> None:
        """Counts the end of a call and starts a rest if necessary."""
        server = self.by_name.get(name)
        if server is None:
            return
        server.record_change(now, -1)
        if result.declined:
            self._rest_at_capacity(server, now)
        elif not result.cancelled:
            key = version or server.row.service
            relative_duration = self._relative_duration(key, result)
            server.health.record(result.ok, relative_duration)
            if result.ok:
                server.record_duration(result.seconds)
            self._eject_if_due(server, now)
        self.refresh(server)

    def _rest_at_capacity(
        self, server: servers.ServerState, now: float
    ) -> None:
        """Starts a rest of about the time until one call of the server ends."""
        wait = server.mean_duration / max(1, server.row.concurrency)
        server.health.at_capacity_until = now + min(
            MAX_CAPACITY_REST_S, max(MIN_CAPACITY_REST_S, wait)
        )
        heapq.heappush(
            self.rests, (server.health.at_capacity_until, server.name)
        )

    def _relative_duration(
        self, key: str, result: messages.AttemptResult
    ) -> float:
        """Returns the duration of a call as a multiple of the average one."""
        seconds_per_unit = result.seconds / max(1, result.tokens)
        average = self.average_seconds_per_unit.get(key, seconds_per_unit)
        if result.ok:
            # Caps the sample, so that a slow server does not raise the average
            # that it is compared with.
            capped = min(seconds_per_unit, 2.0 * average)
            self.average_seconds_per_unit[key] = average + _AVERAGE_WEIGHT * (
                capped - average
            )
        return seconds_per_unit / max(1e-9, average)

    def _eject_if_due(self, server: servers.ServerState, now: float) -> None:
        if server.health.is_ejected or not server.health.is_outlier():
            return
        if all(_can_eject_one_more(pool) for pool in server.pools):
            server.health.eject(now)
            heapq.heappush(
                self.rests, (server.health.ejected_until, server.name)
            )

    def _enforce_ejection_limit(
        self, pools: Iterable[servers.ServerPool]
    ) -> None:
        """Readmits servers until at most half of each given pool is ejected.

        A pool may exceed the limit after it has lost members.
        """
        # Without rests no server is ejected: ``rests`` has an entry for each.
        if not self.rests:
            return
        for pool in pools:
            while _count_ejected(pool) > len(pool.servers) // 2:
                ejected = min(
                    (s for s in pool.servers.values() if s.health.is_ejected),
                    key=lambda s: s.health.ejected_until,
                )
                ejected.health.readmit()
                self.refresh(ejected)

    def end_rests(self, now: float) -> None:
        """Ends the rests that are over by ``now``."""
        while self.rests and self.rests[0][0] <= now:
            server = self.by_name.get(heapq.heappop(self.rests)[1])
            if server is not None:
                server.health.end_rests(now)
                self.refresh(server)

    def expire_reports(self, pool: servers.ServerPool, now: float) -> None:
        """Discards the reported loads of servers that stopped reporting."""
        for server in _without_recent_report(pool, now):
            server.discard_load()
            self.refresh(server)


def _without_recent_report(
    pool: servers.ServerPool, now: float
) -> Iterator[servers.ServerState]:
    for server in pool.servers.values():
        if server.report and server.report.at < now - REPORT_TTL_S:
            yield server


def _is_older(
    report: messages.LoadReport, than: messages.LoadReport | None
) -> bool:
    if than is None:
        return False
    return (report.incarnation, report.at) < (than.incarnation, than.at)


def _count_ejected(pool: servers.ServerPool) -> int:
    return sum(s.health.is_ejected for s in pool.servers.values())


def _can_eject_one_more(pool: servers.ServerPool) -> bool:
    return _count_ejected(pool) + 1 <= len(pool.servers) // 2


def _keys_by_service(table: model.Table) -> dict[str, tuple[str, ...]]:
    keys: dict[str, tuple[str, ...]] = {}
    for name, service in table.services.items():
        if service.kind is model.ServiceKind.PLAIN:
            keys[name] = (name,)
    for key in sorted(table.versions):
        service_name = table.versions[key].service
        keys[service_name] = (*keys.get(service_name, ()), key)
    return keys
