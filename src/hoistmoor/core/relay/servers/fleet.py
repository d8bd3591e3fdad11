"""All backend servers that are listed, and which of them may get work now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.servers import access as access_lib
from hoistmoor.core.relay.servers import departure_words
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import rests
from hoistmoor.core.relay.servers import room as room_lib
from hoistmoor.core.relay.servers import serials as serials_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.servers import shares as shares_lib
from hoistmoor.core.relay.servers import warmup as warmup_lib

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Iterator

# Seconds after which the other hosts' own word of their work counts no more.
WORK_LIFE = 2.0
# Seconds that a server whose entry lapsed while the store was away is kept:
# the store lists those that live again within about two seconds.
LAPSE_GRACE = 2.0
FULL_REST = 0.25  # Seconds without new work for a server that had no room.
# Seconds without new work for a server that took no connection, and doubled
# each time that it takes none after them. A server that died has no work, so
# that it looks the least busy to all hosts.
UNREACHABLE_REST = 1.0
LONGEST_UNREACHABLE_REST = 8.0
# Servers that went whose last entries are kept, so that a heartbeat which is
# read late does not list them again. Entries are read some seconds late at
# most, and in that time no more than these go.
MOST_REMOVED = 2000
# Seconds without work for a server at whose address another one answers. It
# has ended, and its entry goes after three heartbeats of 1.2 s.
ABSENT = 4.0
MAX_RESTING = 0.5  # Part of a service's servers that may rest as outliers.


def _is_same_server(
    known: server_lib.ServerEntry, entry: server_lib.ServerEntry
) -> bool:
    """Returns whether two entries are of one start of a server.

    A start keeps its address, also where it tells no time of its birth.
    """
    return (known.identity, known.service, known.address) == (
        entry.identity,
        entry.service,
        entry.address,
    )


def _following(
    before: server_lib.ServerState | None,
    entry: server_lib.ServerEntry,
    now: float,
) -> server_lib.ServerState:
    """Returns the state of a start that is listed.

    Args:
        before: The start that was last listed by its name; None for none.
        entry: Its entry.
        now: Steady time.
    """
    if before is None:
        return server_lib.ServerState(entry)
    if _is_same_server(before.entry, entry):
        return before.listed_again(entry)
    return server_lib.ServerState(entry, followed_at=now)


class Fleet:
    """All backend servers that are listed.

    Attributes:
        servers: By id.
        access: Whether a server may get a request now.
        warmups: How servers warm up.
        shares: This host's part of what all hosts may send to one server.
        departures: Starts of servers that leave, as other hosts are told.
        longest_rest: Seconds that a server may ask this host to leave it
            alone.
    """

    def __init__(
        self, own: str = "", serials: serials_lib.Serials | None = None
    ) -> None:
        """Makes an empty fleet.

        Args:
            own: Name of this host.
            serials: Number what other hosts are told once; None for its own.
        """
        self.servers: dict[str, server_lib.ServerState] = {}
        self.warmups = warmup_lib.Warmups()
        self.shares = shares_lib.HostShares(own)
        self.longest_rest = rests.LONGEST
        self.departures = departure_words.DepartureWords(
            serials or serials_lib.Serials()
        )
        self._room = room_lib.Room(self.warmups, self.shares)
        self.access = access_lib.Access(self._room)
        self._by_service: dict[str, dict[str, server_lib.ServerState]] = {}
        # Servers that went, as they were last known, oldest first.
        self._removed: dict[str, server_lib.ServerState] = {}

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose servers get no new work."""
        return self.access.evacuated

    def __iter__(self) -> Iterator[server_lib.ServerState]:
        """Yields all servers."""
        return iter(tuple(self.servers.values()))

    def is_returned(self, entry: server_lib.ServerEntry) -> bool:
        """Returns whether an older copy of the store brought an entry back.

        The server has left since, or has said more. Of one start the lower
        number, or the same one, tells nothing new; a server that lives writes a
        higher one with its next heartbeat.
        """
        listed = self.servers.get(entry.server_id)
        if listed is not None and listed.entry == entry:
            return False
        newest = listed or self._removed.get(entry.server_id)
        if newest is None or not _is_same_server(newest.entry, entry):
            return False
        return entry.sequence <= newest.entry.sequence

    def put(self, entry: server_lib.ServerEntry, now: float = 0.0) -> bool:
        """Takes an entry; returns whether it changes what to do.

        Another start of a server is a new server, of which nothing is known
        but its entry. What an older start wrote changes nothing, however late
        it is read.

        Args:
            entry: The entry.
            now: Steady time; an entry that says that the server is cold was
                written before, so the server is warm by the time it says.
        """
        known = self.servers.get(entry.server_id)
        newest = known or self._removed.get(entry.server_id)
        if newest is not None and entry.is_older_than(newest.entry):
            return False
        if known is None or not _is_same_server(known.entry, entry):
            self._replace(known, entry, now)
            self._note_cold(entry, now)
            return True
        changed = known.entry != entry or known.lapsed_until is not None
        known.entry = entry
        known.lapsed_until = None
        self._note_cold(entry, now)
        return changed

    def _note_cold(self, entry: server_lib.ServerEntry, now: float) -> None:
        if entry.warm_in > 0.0:
            state = self.servers[entry.server_id]
            state.cold_until = max(state.cold_until, now + entry.warm_in)

    def find(self, identity: str) -> server_lib.ServerState | None:
        """Returns the server with an identity, if its start is known."""
        found = self.servers.get(server_lib.id_of(identity))
        is_it = found is not None and found.entry.identity == identity
        return found if is_it else None

    def note_departure(self, identity: str, at: float) -> bool:
        """Notes that a start of a server leaves; returns whether it is news.

        Its entry may be read later than that. What is said of a start that
        another one has followed is no news.

        Args:
            identity: Stands for the start.
            at: Steady time of the answer that said so.
        """
        server_id = server_lib.id_of(identity)
        newest = self.servers.get(server_id) or self._removed.get(server_id)
        if newest is not None and newest.entry.is_after(identity):
            return False
        server = self.find(identity)
        if server is not None and at < server.followed_at:
            return False
        is_news = self.departures.note(identity, at)
        return (server.departure.note(at) if server else False) or is_news

    def evacuate(self, zones: frozenset[str], now: float) -> None:
        """Takes which failure domains get no new work from now on.

        Where that ends, servers count as cold until they certainly are not:
        their own word of it comes a heartbeat later.
        """
        ended = self.access.evacuated - zones
        self.access.evacuated = zones
        for each in self:
            warmup = self.warmups.of(each.entry.service)
            if warmup is not None and each.entry.zone in ended:
                each.cold_until = max(each.cold_until, now + warmup.duration)

    def doubt(
        self, state: server_lib.ServerState, now: float, draw: float
    ) -> None:
        """Notes that a server took no connection.

        It may come back cold some time before that is read. The hosts' doubts
        end at different times, so that they do not all try it together.

        Args:
            state: The server.
            now: Steady time.
            draw: Random number, 0 to 1.
        """
        warmup = self.warmups.of(state.entry.service)
        if warmup is not None:
            state.doubted_until = now + warmup.duration * (1.0 + draw)

    def outlook(self, service: str, now: float) -> access_lib.Outlook | None:
        """Returns when a service's first server may get a request.

        None where one may get it now: then something else keeps requests from
        it, if anything does.
        """
        return self.access.outlook(self._servers_of(service), now)

    def _replace(
        self,
        known: server_lib.ServerState | None,
        entry: server_lib.ServerEntry,
        now: float,
    ) -> None:
        if known is not None:
            self.remove(entry.server_id)
        before = self._removed.pop(entry.server_id, None)
        state = _following(before, entry, now)
        if before is not None and state.departure is not before.departure:
            self.departures.forget(before.entry.identity)
        said_at = self.departures.said_at(entry.identity)
        if said_at is not None:
            state.departure.note(said_at)
        self.servers[entry.server_id] = state
        pool = self._by_service.setdefault(entry.service, {})
        pool[entry.server_id] = state

    def _forget(self, state: server_lib.ServerState) -> None:
        server_id = state.entry.server_id
        del self.servers[server_id]
        del self._by_service[state.entry.service][server_id]

    def remove(self, server_id: str) -> bool:
        """Forgets a server; returns whether it was known."""
        state = self.servers.get(server_id)
        if state is None:
            return False
        self._forget(state)
        self._removed.pop(server_id, None)
        self._removed[server_id] = state
        if len(self._removed) > MOST_REMOVED:
            del self._removed[next(iter(self._removed))]
        return True

    def lapse(self, server_id: str, until: float) -> None:
        """Notes that an entry is missing, maybe because the store was away.

        Args:
            server_id: The server.
            until: Steady time from which it is taken as gone.
        """
        state = self.servers.get(server_id)
        if state is not None and state.lapsed_until is None:
            state.lapsed_until = until

    def own_work(self) -> outstanding.WorkByServer:
        """Returns this host's work by engine's identity, if it has any."""
        return {
            each.entry.identity: outstanding.ServerWork(
                round(each.work), each.in_flight
            )
            for each in self.servers.values()
            if each.work > 0.0
        }

    def take_others_work(
        self, work: outstanding.WorkByServer, now: float
    ) -> None:
        """Takes the work of all other hosts, by server's identity."""
        for each in self.servers.values():
            each.told = work.get(each.entry.identity, outstanding.NOTHING)
            each.told_until = now + WORK_LIFE

    def drop_lapsed(self, now: float) -> list[str]:
        """Forgets servers missing for too long; returns their ids."""
        gone = [
            each.entry.server_id
            for each in self
            if each.lapsed_until is not None and now >= each.lapsed_until
        ]
        for server_id in gone:
            self.remove(server_id)
        return gone

    def usable(
        self,
        service: str,
        now: float,
        besides: Container[access_lib.Bar] = (),
    ) -> list[server_lib.ServerState]:
        """Returns the servers of a service that nothing keeps work from.

        Args:
            service: The service.
            now: Steady time.
            besides: What does not count that keeps work from servers.
        """
        may_get = self.access.may_get
        return [
            each
            for each in self._servers_of(service)
            if may_get(each, now, besides)
        ]

    def ready(
        self,
        usable: Iterable[server_lib.ServerState],
        versions: Container[str],
        excluded: Container[str],
        now: float,
        draw: float,
    ) -> list[server_lib.ServerState]:
        """Returns those of the usable servers that may get new work.

        Outliers and full servers are left out while enough others remain.

        Args:
            usable: Servers that nothing keeps work from.
            versions: Versions that they may have.
            excluded: Identities of servers that must not be chosen.
            now: Steady time.
            draw: Random number of the request, 0 to 1; servers that come back
                from a rest are for those with a small one.
        """
        pool = [
            each
            for each in usable
            if each.entry.version in versions
            and each.entry.identity not in excluded
        ]
        # While others are left, a server that may come back cold is tried by
        # those hosts alone that may send to cold ones, and one that comes back
        # from a rest by a part of the requests.
        tried = [
            each
            for each in pool
            if (now >= each.doubted_until or self._room.has_for_cold(each, now))
            and draw <= each.rest.part_back(now)
        ]
        pool = tried or pool
        for each in pool:
            each.health.wake(now)
        sound = [each for each in pool if not each.health.is_resting]
        return sound if len(sound) >= len(pool) * MAX_RESTING else pool

    def versions(
        self,
        service: str,
        now: float,
        besides: Container[access_lib.Bar] = (),
    ) -> set[str]:
        """Returns the versions of those; see ``usable``."""
        usable = self.usable(service, now, besides)
        return {each.entry.version for each in usable}

    def _servers_of(self, service: str) -> Iterable[server_lib.ServerState]:
        return self._by_service.get(service, {}).values()
