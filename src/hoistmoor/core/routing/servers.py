"""State of each backend server as seen by one host, and server pools."""

from __future__ import annotations

import collections

import attrs

from hoistmoor.core.routing import health
from hoistmoor.core.routing import messages
from hoistmoor.core.table import model

LEAVING_STATE = "leaving"
# Calls shorter than this end before a report that includes them arrives.
REPORT_AGE_S = 1.0
# Load, as a share of the concurrency, above which a host may use only its fair
# share of a server with short calls.
SHORT_CALL_LOAD = 0.85
# Minimum weight of the latest report in the estimate, for short calls.
_MIN_REPORT_WEIGHT = 0.15
_DURATION_WEIGHT = 0.1  # Weight of the latest call in the mean duration.


@attrs.define(eq=False)
class ReadySet:
    """Set of ready backend servers with O(1) add, remove and random draw.

    Attributes:
        members: The servers, in no particular order.
        indexes: Index of each server's name in ``members``.
    """

    members: list[ServerState] = attrs.field(factory=list)
    indexes: dict[str, int] = attrs.field(factory=dict)

    def add(self, server: ServerState) -> None:
        """Adds ``server`` unless it is a member."""
        if server.name not in self.indexes:
            self.indexes[server.name] = len(self.members)
            self.members.append(server)

    def remove(self, server: ServerState) -> None:
        """Removes ``server`` if it is a member.

        The last member is moved to its index.
        """
        index = self.indexes.pop(server.name, None)
        if index is None:
            return
        last = self.members.pop()
        if last is not server:
            self.members[index] = last
            self.indexes[last.name] = index


@attrs.define(eq=False)
class ServerPool:
    """Backend servers that can serve one version or one plain service.

    Attributes:
        key: Key of the version, or name of the service.
        servers: Members by name, ready or not; excludes leaving servers.
        local: Ready members in this host's failure domain.
        remote: Ready members in other failure domains.
    """

    key: str
    servers: dict[str, ServerState] = attrs.field(factory=dict)
    local: ReadySet = attrs.field(factory=ReadySet)
    remote: ReadySet = attrs.field(factory=ReadySet)

    @property
    def is_ready(self) -> bool:
        """Whether any member may get new work."""
        return bool(self.local.members or self.remote.members)

    def ready_set(self, server: ServerState) -> ReadySet:
        """Returns the ready set for the failure domain of ``server``."""
        return self.local if server.is_local else self.remote

    def remove(self, server: ServerState) -> None:
        """Removes ``server`` from the pool."""
        self.servers.pop(server.name, None)
        self.ready_set(server).remove(server)


@attrs.define(eq=False)
class ServerState:
    """One backend server as seen by this host.

    Attributes:
        row: The server's row in the table in force.
        is_local: Whether the server is in this host's failure domain.
        remote_penalty: Load penalty for servers of other failure domains, as a
            share of capacity.
        report: Latest load report, if any.
        is_leaving: Whether any source says that the server is leaving.
        own_calls: Number of calls in flight from this host.
        recent_changes: Starts (+1) and ends (-1) of this host's calls after the
            time of the report, which does not include them.
        correction: Sum of ``recent_changes``.
        mean_duration: Moving average of the duration of a call; 0 before the
            first.
        other_calls: Estimated calls in flight from other hosts.
        fair_share: Number of calls that this host may always have in flight,
            if calls are short.
        load: Estimated calls in flight from all hosts.
        health: Health by recent attempts.
        pools: Pools that the server is a member of.
    """

    row: model.Server
    is_local: bool
    remote_penalty: float = 0.0
    report: messages.LoadReport | None = None
    is_leaving: bool = False
    own_calls: int = 0
    recent_changes: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    correction: int = 0
    mean_duration: float = 0.0
    other_calls: float = 0.0
    fair_share: int = 1
    load: int = 0
    health: health.Health = attrs.field(factory=health.Health)
    pools: tuple[ServerPool, ...] = ()

    @property
    def name(self) -> str:
        """Name of the server."""
        return self.row.server

    @property
    def is_ready(self) -> bool:
        """Whether the server may get new work."""
        if self.is_leaving or self.health.is_resting:
            return False
        if not self.has_short_calls:
            return self.load < self.row.concurrency
        # Reports of short calls are outdated on arrival. When the server is
        # nearly full, each host is limited to its share, which fills the
        # server without a queue.
        threshold = SHORT_CALL_LOAD * self.row.concurrency
        return self.load < threshold or self.own_calls < self.fair_share

    @property
    def has_short_calls(self) -> bool:
        """Whether calls end before a report that includes them arrives."""
        return 0.0 < self.mean_duration < REPORT_AGE_S

    def record_duration(self, seconds: float) -> None:
        """Updates the mean duration of a call."""
        weight = _DURATION_WEIGHT if self.mean_duration else 1.0
        self.mean_duration += weight * (seconds - self.mean_duration)

    def record_change(self, now: float, delta: int) -> None:
        """Counts the start (+1) or end (-1) of a call of this host."""
        self.own_calls = max(0, self.own_calls + delta)
        self.recent_changes.append((now, delta))
        self.correction += delta
        self.update_load()

    def apply_report(self, report: messages.LoadReport) -> None:
        """Replaces the report and drops the changes that it includes."""
        is_first = self.report is None
        self.report = report
        while self.recent_changes and self.recent_changes[0][0] <= report.at:
            self.correction -= self.recent_changes.popleft()[1]
        own_at_report = self.own_calls - self.correction
        others = max(0, report.running + report.queued - own_at_report)
        # A single report of short calls has a high variance, so reports are
        # averaged.
        weight = (
            1.0 if is_first or not self.has_short_calls else self.mean_duration
        )
        self.other_calls += max(_MIN_REPORT_WEIGHT, weight) * (
            others - self.other_calls
        )
        self.update_load()

    def discard_load(self) -> None:
        """Discards an outdated load; the list of loaded versions is kept."""
        self.other_calls = 0.0
        self.update_load()

    def update_load(self) -> None:
        """Updates ``load`` from the calls of this host and of others."""
        self.load = self.own_calls + round(self.other_calls)

    def can_serve(self, key: str) -> bool:
        """Returns whether version ``key`` is loaded; True if unknown."""
        if self.report is None or not self.report.versions:
            return True
        return key in self.report.versions
