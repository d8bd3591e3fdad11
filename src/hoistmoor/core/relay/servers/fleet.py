"""Listed backend servers and selection of those that may receive new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.links import forwarders as forwarders_lib
from hoistmoor.core.relay.links import host_links
from hoistmoor.core.relay.links import reachability as reachability_lib
from hoistmoor.core.relay.servers import departure_gossip
from hoistmoor.core.relay.servers import eligibility as eligibility_lib
from hoistmoor.core.relay.servers import headroom as headroom_lib
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import rests
from hoistmoor.core.relay.servers import serials as serials_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.servers import shares as shares_lib
from hoistmoor.core.relay.servers import warmup as warmup_lib

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Iterator

# Seconds after which the work reported by other hosts is ignored.
PEER_WORK_TTL = 2.0
# Seconds for which a server is kept if its entry disappeared during a store
# outage. The store lists live servers again within about two seconds.
EXPIRY_GRACE_PERIOD = 2.0
# Seconds without new work for a server that rejected a request as full.
FULL_REST_SECONDS = 0.25
# Seconds without new work for a server that accepts no connection, doubled on
# each further failure up to the maximum. A crashed server has no work and
# therefore looks like the least loaded one to every host.
UNREACHABLE_REST_SECONDS = 1.0
MAX_UNREACHABLE_REST_SECONDS = 8.0
# Removed servers whose last entries are kept, so that a delayed heartbeat does
# not list them again. Entries are read a few seconds late at most, and no more
# servers than this are removed within that time.
MAX_REMOVED = 2000
# Seconds without new work for a server whose address now belongs to another
# one. It has exited, and its entry is removed after three missed heartbeats of
# 1.2 s.
PRESUMED_ENDED_SECONDS = 4.0
# Largest fraction of a service's servers that may be ejected as outliers.
MAX_RESTING_FRACTION = 0.5


def _is_same_incarnation(
    known: server_lib.ServerEntry, entry: server_lib.ServerEntry
) -> bool:
    """Returns whether two entries belong to one incarnation of a server.

    An incarnation keeps its address, which also tells incarnations apart that
    report no start time.
    """
    return (known.identity, known.service, known.address) == (
        entry.identity,
        entry.service,
        entry.address,
    )


def _state_after(
    previous: server_lib.ServerState | None,
    entry: server_lib.ServerEntry,
    now: float,
) -> server_lib.ServerState:
    """Returns the state of a newly listed incarnation.

    Args:
        previous: The incarnation last listed under the server id; None if
            there was none.
        entry: The new entry.
        now: Monotonic time.
    """
    if previous is None:
        return server_lib.ServerState(entry)
    if _is_same_incarnation(previous.entry, entry):
        return previous.relisted(entry)
    return server_lib.ServerState(entry, replaced_predecessor_at=now)


def _discard_link_failures(state: server_lib.ServerState) -> None:
    """Ends what a server is held back for though only the link failed."""
    state.possibly_cold_until = float("-inf")
    state.health.end_unreachable_rest(state.link.rested_until)
    state.link.rested_until = 0.0


class Fleet:
    """All listed backend servers.

    Attributes:
        servers: Servers by id.
        eligibility: Eligibility checks.
        warmups: Warm-up policies of the services.
        shares: This host's share of the requests that all hosts together may
            send to one server.
        departures: Leaving servers, for exchange with other hosts.
        longest_rest: Maximum rest in seconds that a server may request.
        links: This host's own links to the servers.
        forwarders: Other hosts that may forward its requests.
        reachability: Paths from this host to the servers.
    """

    def __init__(
        self,
        host_name: str = "",
        serials: serials_lib.Serials | None = None,
        zone: str = "",
    ) -> None:
        """Creates an empty fleet.

        Args:
            host_name: Name of this host.
            serials: Source of change serials; None to use a private one.
            zone: Failure domain of this host.
        """
        self.servers: dict[str, server_lib.ServerState] = {}
        self.warmups = warmup_lib.WarmupPolicies()
        self.shares = shares_lib.HostShares(host_name)
        self.longest_rest = rests.MAX_REST_SECONDS
        self.departures = departure_gossip.DepartureGossip(
            serials or serials_lib.Serials()
        )
        self._headroom = headroom_lib.Headroom(self.warmups, self.shares)
        self.links = host_links.HostLinks(self.servers.values)
        self.forwarders = forwarders_lib.Forwarders(host_name, zone)
        self.reachability = reachability_lib.Reachability(
            self.links, self.forwarders
        )
        self.eligibility = eligibility_lib.Eligibility(
            self._headroom, self.reachability
        )
        self._by_service: dict[str, dict[str, server_lib.ServerState]] = {}
        # Last known state of removed servers, oldest first.
        self._removed: dict[str, server_lib.ServerState] = {}

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose servers get no new work."""
        return self.eligibility.evacuated

    def __iter__(self) -> Iterator[server_lib.ServerState]:
        """Yields all servers."""
        return iter(tuple(self.servers.values()))

    def is_outdated(self, entry: server_lib.ServerEntry) -> bool:
        """Returns whether an entry was resurrected by an outdated store copy.

        Within one incarnation, an entry whose sequence number does not exceed
        the newest known one is outdated: the server has been removed or has
        written another entry since. A live server writes a higher number with
        its next heartbeat.
        """
        listed = self.servers.get(entry.server_id)
        if listed is not None and listed.entry == entry:
            return False
        newest = listed or self._removed.get(entry.server_id)
        if newest is None or not _is_same_incarnation(newest.entry, entry):
            return False
        return entry.sequence <= newest.entry.sequence

    def put(self, entry: server_lib.ServerEntry, now: float = 0.0) -> bool:
        """Stores an entry; returns whether that changed anything.

        A new incarnation of a server starts from a clean state. Entries of
        older incarnations are ignored, however late they are read.

        Args:
            entry: The entry.
            now: Monotonic time. The remaining warm-up time in the entry is
                counted from here; the entry was written earlier, so the server
                is certainly warm by then.
        """
        known = self.servers.get(entry.server_id)
        newest = known or self._removed.get(entry.server_id)
        if newest is not None and entry.is_older_than(newest.entry):
            return False
        if known is None or not _is_same_incarnation(known.entry, entry):
            self._replace(known, entry, now)
            self._record_cold(entry, now)
            return True
        changed = known.entry != entry or known.expires_at is not None
        known.entry = entry
        known.expires_at = None
        self._record_cold(entry, now)
        return changed

    def _record_cold(self, entry: server_lib.ServerEntry, now: float) -> None:
        if entry.warm_in > 0.0:
            state = self.servers[entry.server_id]
            state.cold_until = max(state.cold_until, now + entry.warm_in)

    def find(self, identity: str) -> server_lib.ServerState | None:
        """Returns the server with an identity, or None if it is not listed."""
        found = self.servers.get(server_lib.id_of(identity))
        is_it = found is not None and found.entry.identity == identity
        return found if is_it else None

    def record_departure(self, identity: str, at: float) -> bool:
        """Records that a server is leaving; returns whether that was unknown.

        The announcement may arrive before the server's entry is read.
        Announcements of incarnations that have been replaced are ignored.

        Args:
            identity: Identity of the incarnation.
            at: Monotonic time of the response that announced the departure.
        """
        server_id = server_lib.id_of(identity)
        newest = self.servers.get(server_id) or self._removed.get(server_id)
        if newest is not None and newest.entry.started_after(identity):
            return False
        server = self.find(identity)
        if server is not None and at < server.replaced_predecessor_at:
            return False
        is_news = self.departures.record(identity, at)
        return (server.departure.record(at) if server else False) or is_news

    def evacuate(self, zones: frozenset[str], now: float) -> None:
        """Sets the failure domains that get no new work from now on.

        When an evacuation ends, the servers of that failure domain count as
        cold for a full warm-up period, because their own report of being cold
        only arrives with the next heartbeat.
        """
        reopened = self.eligibility.evacuated - zones
        self.eligibility.evacuated = zones
        for server in self:
            warmup = self.warmups.policy_for(server.entry.service)
            if warmup is not None and server.entry.zone in reopened:
                server.cold_until = max(
                    server.cold_until, now + warmup.duration
                )

    def record_unreachable(
        self, state: server_lib.ServerState, now: float, draw: float
    ) -> None:
        """Records that a server accepted no connection.

        It may restart cold some time before its new entry is read. The
        duration is randomised so that hosts do not all retry it together.

        Args:
            state: The server.
            now: Monotonic time.
            draw: Random number, 0 to 1.
        """
        warmup = self.warmups.policy_for(state.entry.service)
        if warmup is not None:
            state.possibly_cold_until = now + warmup.duration * (1.0 + draw)

    def record_connected(
        self, state: server_lib.ServerState, now: float
    ) -> host_links.LinksRegained | None:
        """Records a new connection to a server.

        Returns:
            Whether this host had lost its links to all servers until now.
        """
        if state.link.failures and not state.link.was_refused:
            _discard_link_failures(state)
        regained = self.links.record_connected(state, now)
        for server in regained.reopened if regained else ():
            _discard_link_failures(server)
        return regained

    def record_brittle(
        self, state: server_lib.ServerState, tolerance: float, now: float
    ) -> bool:
        """Records that a server announced that it is brittle.

        Its service's other servers are, too; this host may not use them for a
        while and thus not hear of it.

        Args:
            state: The server.
            tolerance: Requests that it may turn away in a second.
            now: Monotonic time.

        Returns:
            Whether that is news.
        """
        for server in self._servers_of(state.entry.service):
            if server is not state:
                server.brittle.record_by_other(tolerance, now)
        return state.brittle.record(tolerance, now)

    def brittle_quota(self, service: str, now: float) -> int | None:
        """Returns the requests that this host may have at brittle servers.

        None if a server may be used that is not brittle.
        """
        usable = self.eligible(
            service, now, (eligibility_lib.IneligibilityReason.FULL,)
        )
        if not usable or not all(
            server.brittle.is_active(now) for server in usable
        ):
            return None
        return sum(self._headroom.brittle_quota(server) for server in usable)

    def set_memory_slots(self, service: str, requests: float) -> None:
        """Sets how many requests an engine's memory holds on average."""
        self._headroom.memory_slots[service] = requests

    def record_reached(
        self, state: server_lib.ServerState, forwarder: str, now: float
    ) -> bool:
        """Records that another host reached a server that this one did not.

        Args:
            state: The server.
            forwarder: Name of the other host.
            now: Monotonic time.

        Returns:
            Whether that was not known before.
        """
        _discard_link_failures(state)
        return state.link.record_reached(forwarder, now)

    def next_eligibility(
        self, service: str, now: float
    ) -> eligibility_lib.NextEligibility | None:
        """Returns when the first server of a service becomes eligible.

        Returns None if one is eligible now; if no server was selected
        nevertheless, the cause lies elsewhere.
        """
        return self.eligibility.next_eligibility(self._servers_of(service), now)

    def _replace(
        self,
        known: server_lib.ServerState | None,
        entry: server_lib.ServerEntry,
        now: float,
    ) -> None:
        if known is not None:
            self.remove(entry.server_id)
        previous = self._removed.pop(entry.server_id, None)
        state = _state_after(previous, entry, now)
        if previous is not None and state.departure is not previous.departure:
            self.departures.forget(previous.entry.identity)
        said_at = self.departures.announced_at(entry.identity)
        if said_at is not None:
            state.departure.record(said_at)
        self.servers[entry.server_id] = state
        pool = self._by_service.setdefault(entry.service, {})
        pool[entry.server_id] = state

    def _unlist(self, state: server_lib.ServerState) -> None:
        server_id = state.entry.server_id
        del self.servers[server_id]
        del self._by_service[state.entry.service][server_id]

    def remove(self, server_id: str) -> bool:
        """Removes a server; returns whether it was listed."""
        state = self.servers.get(server_id)
        if state is None:
            return False
        self._unlist(state)
        self._removed.pop(server_id, None)
        self._removed[server_id] = state
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        return True

    def schedule_expiry(self, server_id: str, until: float) -> None:
        """Records that an entry is missing, possibly due to a store outage.

        Args:
            server_id: The server.
            until: Monotonic time from which the server counts as gone.
        """
        state = self.servers.get(server_id)
        if state is not None and state.expires_at is None:
            state.expires_at = until

    def own_work(self) -> outstanding.WorkByServer:
        """Returns this host's outstanding work at engines, by identity."""
        return {
            server.entry.identity: outstanding.ServerWork(
                round(server.work), server.in_flight
            )
            for server in self.servers.values()
            if server.work > 0.0
        }

    def set_peer_work(self, work: outstanding.WorkByServer, now: float) -> None:
        """Sets the outstanding work of all other hosts, by identity."""
        for server in self.servers.values():
            server.peer_work = work.get(
                server.entry.identity, outstanding.NO_WORK
            )
            server.peer_work_until = now + PEER_WORK_TTL

    def remove_expired(self, now: float) -> list[str]:
        """Removes servers whose grace period has ended; returns their ids."""
        expired = [
            server.entry.server_id
            for server in self
            if server.expires_at is not None and now >= server.expires_at
        ]
        for server_id in expired:
            self.remove(server_id)
        return expired

    def eligible(
        self,
        service: str,
        now: float,
        ignored: Container[eligibility_lib.IneligibilityReason] = (),
    ) -> list[server_lib.ServerState]:
        """Returns the servers of a service that are eligible for work.

        Args:
            service: The service.
            now: Monotonic time.
            ignored: Reasons for ineligibility that are not taken into account.
        """
        may_get = self.eligibility.is_eligible
        return [
            server
            for server in self._servers_of(service)
            if may_get(server, now, ignored)
        ]

    def ready(
        self,
        eligible: Iterable[server_lib.ServerState],
        versions: Container[str],
        excluded: frozenset[str],
        now: float,
        draw: float,
    ) -> list[server_lib.ServerState]:
        """Returns the candidates for new work among the eligible servers.

        Outliers and full servers are left out while enough others remain, and
        those that do not respond while any other remains.

        Args:
            eligible: Eligible servers.
            versions: Versions that may be selected.
            excluded: Identities of servers that must not be selected.
            now: Monotonic time.
            draw: Random number of the request, 0 to 1. While a server ramps up
                after a rest, only requests with a small number may select it.
        """
        pool = [
            server
            for server in eligible
            if server.entry.version in versions
            and server.entry.identity not in excluded
        ]
        # As long as other servers remain, a server that may have restarted cold
        # is only retried by hosts with a quota for cold servers, and a server
        # that ramps up after a rest only gets a fraction of the requests.
        preferred = [
            server
            for server in pool
            if (
                now >= server.possibly_cold_until
                or self._headroom.allows_cold_send(server, now)
            )
            and draw <= server.rest.ramp_up_fraction(now)
        ]
        pool = preferred or pool
        pool = self.reachability.preferred(pool, now) or pool
        pool = [
            each for each in pool if not each.silence.is_suspected(now)
        ] or pool
        if excluded:
            # One attempt has failed already; another such server costs more.
            pool = [
                each for each in pool if each.silence.is_responding(now)
            ] or pool
        for server in pool:
            server.health.end_rests(now)
        healthy = [server for server in pool if not server.health.is_resting]
        return (
            healthy
            if len(healthy) >= len(pool) * MAX_RESTING_FRACTION
            else pool
        )

    def versions(
        self,
        service: str,
        now: float,
        ignored: Container[eligibility_lib.IneligibilityReason] = (),
    ) -> set[str]:
        """Returns the versions of the eligible servers; see ``eligible``."""
        usable = self.eligible(service, now, ignored)
        return {server.entry.version for server in usable}

    def listed_versions(self, service: str) -> frozenset[str]:
        """Returns the versions of all servers of a service."""
        return frozenset(
            server.entry.version for server in self._servers_of(service)
        )

    def _servers_of(self, service: str) -> Iterable[server_lib.ServerState]:
        return self._by_service.get(service, {}).values()
