"""Entry of a backend server and the state that this host keeps about it.

A server id may be reused after a restart. Each start of a server is a separate
incarnation with an identity of its own.
"""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.links import link as link_lib
from hoistmoor.core.relay.servers import brittleness
from hoistmoor.core.relay.servers import departures
from hoistmoor.core.relay.servers import limits as limits_lib
from hoistmoor.core.relay.servers import loads
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import rests
from hoistmoor.core.relay.servers import runs as runs_lib
from hoistmoor.core.relay.servers import shares as shares_lib
from hoistmoor.core.relay.servers import silence as silence_lib
from hoistmoor.core.relay.servers import speed as speed_lib
from hoistmoor.core.routing import health as health_lib

# Smoothing factor of a server's mean work per request: the weight of the newest
# request.
WORK_SMOOTHING = 0.1
# Separates the server id from the start time in an identity.
_START_TIME_SEPARATOR = "@"


def id_of(identity: str) -> str:
    """Returns the server id that an identity contains."""
    return identity.partition(_START_TIME_SEPARATOR)[0]


@attrs.frozen
class ServerEntry:
    """Entry that a backend server writes to the store.

    Attributes:
        server_id: Name of the server; kept or reused across restarts.
        service: The service that it belongs to.
        address: ``ip:port``; may be reused by another server.
        zone: Its failure domain.
        version: Version of its software.
        slots: Requests that it processes concurrently.
        is_leaving: Whether it accepts no new work.
        warm_in: Remaining seconds until it is warmed up.
        models: Models that it has loaded.
        born: Unix time of its start in milliseconds; None if not reported.
        sequence: Number of the entry within the incarnation. It increases with
            each heartbeat and is not part of the entry's content.
        identity: Identifies this incarnation of the server.
    """

    server_id: str
    service: str
    address: str
    zone: str = ""
    version: str = ""
    slots: int = 1
    is_leaving: bool = False
    warm_in: float = 0.0
    models: tuple[str, ...] = ()
    born: int | None = None
    sequence: int = attrs.field(default=0, eq=False)
    identity: str = attrs.field(init=False)

    @identity.default
    def _(self) -> str:
        if self.born is None:
            return self.server_id
        return f"{self.server_id}{_START_TIME_SEPARATOR}{self.born}"

    def started_after(self, identity: str) -> bool:
        """Returns whether this incarnation started after another one."""
        born = identity.partition(_START_TIME_SEPARATOR)[2]
        if self.born is None or not born.isdigit():
            return False
        return self.born > int(born)

    def is_older_than(self, other: ServerEntry) -> bool:
        """Returns whether the server wrote this entry before another one.

        Without a start time this cannot be decided: a lower sequence number
        may belong to a delayed entry or to the first one of a new incarnation.
        """
        if self.born is None or other.born is None:
            return False
        return (self.born, self.sequence) < (other.born, other.sequence)


@attrs.define(eq=False)
class ServerState:
    """State of one incarnation of a backend server, as seen by this host.

    All times are monotonic.

    Attributes:
        entry: Its latest entry.
        health: Results of recent attempts.
        in_flight: Outstanding requests of this host.
        work: Work of these requests for an engine, in prompt tokens.
        mean_work: Mean work of this host's requests to it; 0 before the first.
        load: Load of other hosts, from its latest report.
        peer_work: Outstanding work of other hosts, as reported by them.
        peer_work_until: Time at which ``peer_work`` expires.
        expires_at: Time until which it is kept although its entry is missing,
            possibly due to a store outage; None while it is listed.
        cold_until: Time until which it counts as cold.
        possibly_cold_until: Time until which it may have restarted cold
            without its new entry having been read.
        presumed_ended_until: Time until which it counts as ended, because it
            crashed or another server responds at its address.
        sends: Recent requests of this host to it.
        runs: Requests of this host that may be running on it.
        replaced_predecessor_at: Time at which it replaced an earlier
            incarnation. Older announcements under its identity belong to that
            incarnation.
        has_ended: Whether this host found that the incarnation has ended.
        limit: Rate limit for all hosts together.
        departure: Whether it has announced that it is leaving.
        rest: Rest that it requested from this host.
        speed: Evidence of how fast it is.
        link: Link from this host to it.
        brittle: Whether it falls over when it turns requests away.
        unreadable: Malformed values in its latest reports, by field.
        silence: What it owes to this host, and since when it has been quiet.
    """

    entry: ServerEntry
    health: health_lib.Health = attrs.field(factory=health_lib.Health)
    in_flight: int = 0
    work: float = 0.0
    mean_work: float = 0.0
    load: loads.PeerLoad = attrs.field(factory=loads.PeerLoad)
    peer_work: outstanding.ServerWork = outstanding.NO_WORK
    peer_work_until: float = float("-inf")
    expires_at: float | None = None
    cold_until: float = float("-inf")
    possibly_cold_until: float = float("-inf")
    presumed_ended_until: float = float("-inf")
    sends: shares_lib.RecentSends = attrs.field(factory=shares_lib.RecentSends)
    runs: runs_lib.RunList = attrs.field(factory=runs_lib.RunList)
    replaced_predecessor_at: float = float("-inf")
    has_ended: bool = False
    limit: limits_lib.LimitState = attrs.field(factory=limits_lib.LimitState)
    departure: departures.DepartureState = attrs.field(
        factory=departures.DepartureState
    )
    rest: rests.RestState = attrs.field(factory=rests.RestState)
    speed: speed_lib.ServerSpeed = attrs.field(factory=speed_lib.ServerSpeed)
    link: link_lib.ServerLink = attrs.field(factory=link_lib.ServerLink)
    brittle: brittleness.BrittleState = attrs.field(
        factory=brittleness.BrittleState
    )
    unreadable: dict[str, str] = attrs.field(factory=dict)
    silence: silence_lib.SilenceState = attrs.field(
        factory=silence_lib.SilenceState
    )

    def relisted(self, entry: ServerEntry) -> ServerState:
        """Returns the state after a removed entry has been listed again.

        Only what the server has announced itself is kept, besides the recent
        sends. The remaining state may belong to another incarnation that has
        the same identity because it reports no start time.
        """
        return ServerState(
            entry,
            sends=self.sends,
            limit=self.limit,
            replaced_predecessor_at=self.replaced_predecessor_at,
            departure=self.departure,
            rest=self.rest,
        )

    def is_gone(self, now: float) -> bool:
        """Returns whether it counts as ended."""
        if now < self.presumed_ended_until:
            return True
        return self.expires_at is not None and now >= self.expires_at

    def is_leaving(self, now: float) -> bool:
        """Returns whether it is leaving, by its entry or an announcement."""
        entry = self.entry
        return entry.is_leaving or self.departure.is_active(entry.born, now)

    def reported_occupancy(self, now: float) -> float:
        """Returns its requests, with one more, relative to its slots.

        Requests of other hosts are taken from the server's own report.
        """
        requests = self.in_flight + self.load.current(now)
        return (requests + 1) / max(1, self.entry.slots)

    def occupancy(self, now: float) -> float:
        """Returns its requests, with one more, relative to its slots.

        Requests of other hosts are taken from these hosts' reports where they
        are current, else from the server's own report.
        """
        is_current = now < self.peer_work_until
        others = (
            self.peer_work.requests if is_current else self.load.current(now)
        )
        return (self.in_flight + others + 1) / self.entry.slots

    def total_work(self, default_mean: float, now: float) -> float:
        """Returns the estimated outstanding work of all hosts.

        Args:
            default_mean: Mean work of a request, for a server that this host
                has not used yet.
            now: Monotonic time.
        """
        if now < self.peer_work_until:
            return self.work + self.peer_work.work
        return self.work + (self.mean_work or default_mean) * self.load.current(
            now
        )

    def record_work(self, work: float) -> None:
        """Adds a request's work to the moving average."""
        mean = self.mean_work or work
        self.mean_work = mean + WORK_SMOOTHING * (work - mean)
