"""Backend servers as their entries, their answers and our own work show them.

Reported load is old when it arrives and many hosts read the same report, so
the work that this host itself has under way is added to what others have.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import warmup as warmup_lib
from hoistmoor.core.routing import health as health_lib

if TYPE_CHECKING:
    from collections.abc import Container, Iterator

LOAD_LIFE = 3.0  # Seconds after which a reported load counts no more.
# Seconds after which the other hosts' own word of their work counts no more.
WORK_LIFE = 2.0
# Seconds that a server whose entry lapsed while the store was away is kept:
# the store lists those that live again within about two seconds.
LAPSE_GRACE = 2.0
FULL_REST = 0.25  # Seconds without new work for a server that had no room.
WORK_STEP = 0.1  # Weight of the newest request in a server's mean work.
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


@attrs.frozen
class ServerEntry:
    """What a backend server tells of itself in the store.

    Attributes:
        server_id: Its name; another start of it may have the same.
        service: The service that it belongs to.
        address: ``ip:port``; may be used again by another server.
        zone: Its failure domain.
        version: Version of its software.
        slots: Requests that it works on at once.
        is_leaving: Whether it takes no new work.
        warm_in: Seconds for which it stays slow after its start.
        models: Models that it has loaded.
        born: Unix time of its start, in milliseconds; None if it tells none.
        sequence: Number of the entry, from its start on. It changes with
            each heartbeat and tells nothing else.
        identity: Stands for this start of the server and no other.
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
        return f"{self.server_id}@{self.born}"

    def is_older_than(self, other: ServerEntry) -> bool:
        """Returns whether the server wrote it before another entry.

        Without the time of its start nothing is certain: a number that falls
        back may be a late entry or the first one of a new start.
        """
        if self.born is None or other.born is None:
            return False
        return (self.born, self.sequence) < (other.born, other.sequence)


@attrs.frozen
class LoadReport:
    """Load that a server told with an answer.

    Attributes:
        running: Requests that it worked on.
        waiting: Requests in its queue.
        slots: Requests that it works on at once.
    """

    running: int
    waiting: int
    slots: int


@attrs.define(eq=False)
class ServerState:
    """One backend server and what this host knows of it.

    Attributes:
        entry: As last told.
        health: How its attempts have gone.
        in_flight: Requests of this host that it has.
        work: Work of these for an engine, in prompt tokens.
        mean_work: Usual work of a request that it got from this host; 0
            before the first.
        others: Requests of other hosts that it had when it last told.
        others_at: When it last told.
        told: What other hosts have under way at it, as these told.
        told_until: Until when that counts.
        lapsed_until: Until when it is kept though its entry went away in
            doubt; None while it is listed.
        cold_until: Until when it is cold, as far as is known.
        doubted_until: Until when it may come back as a new start, of which
            nothing was read yet.
        absent_until: Until when it is taken for ended, as another server
            answers at its address.
        sends: Requests that this host sent to it lately.
    """

    entry: ServerEntry
    health: health_lib.Health = attrs.field(factory=health_lib.Health)
    in_flight: int = 0
    work: float = 0.0
    mean_work: float = 0.0
    others: int = 0
    others_at: float = float("-inf")
    told: outstanding.ServerWork = outstanding.NOTHING
    told_until: float = float("-inf")
    lapsed_until: float | None = None
    cold_until: float = float("-inf")
    doubted_until: float = float("-inf")
    absent_until: float = float("-inf")
    sends: warmup_lib.RecentSends = attrs.field(factory=warmup_lib.RecentSends)

    def is_gone(self, now: float) -> bool:
        """Returns whether it must get no new work."""
        is_over = self.lapsed_until is not None and now >= self.lapsed_until
        return self.entry.is_leaving or is_over or now < self.absent_until

    def others_now(self, now: float) -> int:
        """Returns the requests of other hosts that it probably has."""
        return self.others if now - self.others_at < LOAD_LIFE else 0

    def load(self, now: float) -> float:
        """Returns its requests as a multiple of its slots."""
        requests = self.in_flight + self.others_now(now)
        return (requests + 1) / max(1, self.entry.slots)

    def crowding(self, now: float) -> float:
        """Returns the requests that one more makes, in shares of its slots."""
        is_told = now < self.told_until
        others = self.told.requests if is_told else self.others_now(now)
        return (self.in_flight + others + 1) / self.entry.slots

    def waiting_work(self, usual: float, now: float) -> float:
        """Returns the work that it has before it.

        Args:
            usual: Work of a request, for a server not used yet.
            now: Steady time.
        """
        if now < self.told_until:
            return self.work + self.told.work
        return self.work + (self.mean_work or usual) * self.others_now(now)

    def note_work(self, work: float) -> None:
        """Takes a request's work into the mean."""
        known = self.mean_work or work
        self.mean_work = known + WORK_STEP * (work - known)

    def take_report(self, report: LoadReport, now: float) -> None:
        """Notes a load report that came with an answer to this host."""
        work = report.running + report.waiting
        self.others = max(0, work - self.in_flight)
        self.others_at = now


def _is_same_server(known: ServerEntry, entry: ServerEntry) -> bool:
    return (known.identity, known.service) == (entry.identity, entry.service)


class Fleet:
    """All backend servers that are listed.

    Attributes:
        servers: By id.
        evacuated: Failure domains whose servers get no new work.
        warmups: This host's share of what cold servers may get.
    """

    def __init__(self, own: str = "") -> None:
        """Makes an empty fleet.

        Args:
            own: Name of this host.
        """
        self.servers: dict[str, ServerState] = {}
        self.warmups = warmup_lib.WarmupShares(own)
        self.evacuated: frozenset[str] = frozenset()
        self._by_service: dict[str, dict[str, ServerState]] = {}
        # Last entries of servers that went, oldest first.
        self._removed: dict[str, ServerEntry] = {}

    def __iter__(self) -> Iterator[ServerState]:
        """Yields all servers."""
        return iter(tuple(self.servers.values()))

    def put(self, entry: ServerEntry, now: float = 0.0) -> bool:
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
        newest = known.entry if known else self._removed.get(entry.server_id)
        if newest is not None and entry.is_older_than(newest):
            return False
        if known is None or not _is_same_server(known.entry, entry):
            self._replace(known, entry)
            self._note_cold(entry, now)
            return True
        changed = known.entry != entry or known.lapsed_until is not None
        known.entry = entry
        known.lapsed_until = None
        self._note_cold(entry, now)
        return changed

    def _note_cold(self, entry: ServerEntry, now: float) -> None:
        if entry.warm_in > 0.0:
            state = self.servers[entry.server_id]
            state.cold_until = max(state.cold_until, now + entry.warm_in)

    def evacuate(self, zones: frozenset[str], now: float) -> None:
        """Takes which failure domains get no new work from now on.

        Where that ends, servers count as cold until they certainly are not:
        their own word of it comes a heartbeat later.
        """
        ended = self.evacuated - zones
        self.evacuated = zones
        for each in self:
            warmup = self.warmups.warmup_of(each.entry.service)
            if warmup is not None and each.entry.zone in ended:
                each.cold_until = max(each.cold_until, now + warmup.duration)

    def doubt(self, state: ServerState, now: float, draw: float) -> None:
        """Notes that a server took no connection.

        It may come back cold some time before that is read. The hosts' doubts
        end at different times, so that they do not all try it together.

        Args:
            state: The server.
            now: Steady time.
            draw: Random number, 0 to 1.
        """
        warmup = self.warmups.warmup_of(state.entry.service)
        if warmup is not None:
            state.doubted_until = now + warmup.duration * (1.0 + draw)

    def _has_share(self, state: ServerState, now: float) -> bool:
        """Returns whether this host may send one more to a cold server."""
        entry = state.entry
        if self.warmups.warmup_of(entry.service) is None:
            return True  # It is slow for a while, and may be used as any.
        share = self.warmups.share_of(entry.service, entry.identity)
        return state.sends.count(now) < share

    def _replace(self, known: ServerState | None, entry: ServerEntry) -> None:
        if known is not None:
            self._forget(known)
        state = ServerState(entry)
        self.servers[entry.server_id] = state
        pool = self._by_service.setdefault(entry.service, {})
        pool[entry.server_id] = state

    def _forget(self, state: ServerState) -> None:
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
        self._removed[server_id] = state.entry
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

    def ready(
        self,
        service: str,
        versions: Container[str],
        excluded: Container[str],
        now: float,
    ) -> list[ServerState]:
        """Returns the servers that may get new work.

        Outliers and full servers are left out while enough others remain.

        Args:
            service: Their service.
            versions: Versions that they may have.
            excluded: Identities of servers that must not be chosen.
            now: Steady time.
        """
        pool = [
            each
            for each in self._usable(service, now)
            if each.entry.version in versions
            and each.entry.identity not in excluded
        ]
        # While others are left, a server that may come back cold is tried by
        # those hosts alone that may send to cold ones.
        tried = [
            each
            for each in pool
            if now >= each.doubted_until or self._has_share(each, now)
        ]
        pool = tried or pool
        for each in pool:
            each.health.wake(now)
        sound = [each for each in pool if not each.health.is_resting]
        return sound if len(sound) >= len(pool) * MAX_RESTING else pool

    def versions(self, service: str, now: float) -> set[str]:
        """Returns the versions of a service's servers that may get work."""
        return {each.entry.version for each in self._usable(service, now)}

    def _usable(self, service: str, now: float) -> Iterator[ServerState]:
        """Yields the servers of a service that may get new work at all."""
        for each in self._by_service.get(service, {}).values():
            if each.is_gone(now) or each.entry.zone in self.evacuated:
                continue
            if now < each.cold_until and not self._has_share(each, now):
                continue
            yield each
