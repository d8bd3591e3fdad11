"""One start of a backend server, and what this host knows of it."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.servers import departures
from hoistmoor.core.relay.servers import limits as limits_lib
from hoistmoor.core.relay.servers import loads
from hoistmoor.core.relay.servers import outstanding
from hoistmoor.core.relay.servers import rests
from hoistmoor.core.relay.servers import runs as runs_lib
from hoistmoor.core.relay.servers import shares as shares_lib
from hoistmoor.core.routing import health as health_lib

WORK_STEP = 0.1  # Weight of the newest request in a server's mean work.


_BORN = "@"  # Between a server's id and its start, in its identity.


def id_of(identity: str) -> str:
    """Returns the id of the server with an identity."""
    return identity.partition(_BORN)[0]


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
        return f"{self.server_id}{_BORN}{self.born}"

    def is_after(self, identity: str) -> bool:
        """Returns whether its start came after another one of the server."""
        born = identity.partition(_BORN)[2]
        if self.born is None or not born.isdigit():
            return False
        return self.born > int(born)

    def is_older_than(self, other: ServerEntry) -> bool:
        """Returns whether the server wrote it before another entry.

        Without the time of its start nothing is certain: a number that falls
        back may be a late entry or the first one of a new start.
        """
        if self.born is None or other.born is None:
            return False
        return (self.born, self.sequence) < (other.born, other.sequence)


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
        load: What it last told of its load.
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
        runs: This host's requests that it may be at.
        followed_at: Steady time at which it followed another start that was
            known; what was said by its name before was said by that one.
        has_ended: Whether this start of it is over, as this host found.
        limit: What it takes from all hosts together.
        departure: Whether it has said that it leaves.
        rest: Rest that it has asked of this host.
        unreadable: What it last said that cannot be read, by the word that
            it should be.
    """

    entry: ServerEntry
    health: health_lib.Health = attrs.field(factory=health_lib.Health)
    in_flight: int = 0
    work: float = 0.0
    mean_work: float = 0.0
    load: loads.LoadBelief = attrs.field(factory=loads.LoadBelief)
    told: outstanding.ServerWork = outstanding.NOTHING
    told_until: float = float("-inf")
    lapsed_until: float | None = None
    cold_until: float = float("-inf")
    doubted_until: float = float("-inf")
    absent_until: float = float("-inf")
    sends: shares_lib.RecentSends = attrs.field(factory=shares_lib.RecentSends)
    runs: runs_lib.RunList = attrs.field(factory=runs_lib.RunList)
    followed_at: float = float("-inf")
    has_ended: bool = False
    limit: limits_lib.LimitBelief = attrs.field(factory=limits_lib.LimitBelief)
    departure: departures.DepartureBelief = attrs.field(
        factory=departures.DepartureBelief
    )
    rest: rests.RestBelief = attrs.field(factory=rests.RestBelief)
    unreadable: dict[str, str] = attrs.field(factory=dict)

    def listed_again(self, entry: ServerEntry) -> ServerState:
        """Returns the same start whose entry had gone and has come back.

        What it has said of itself holds on. The rest may be of a start that
        tells no birth and has the name of this one.
        """
        return ServerState(
            entry,
            sends=self.sends,
            limit=self.limit,
            followed_at=self.followed_at,
            departure=self.departure,
            rest=self.rest,
        )

    def is_gone(self, now: float) -> bool:
        """Returns whether it has ended, as far as is known."""
        if now < self.absent_until:
            return True
        return self.lapsed_until is not None and now >= self.lapsed_until

    def leaves(self, now: float) -> bool:
        """Returns whether it is about to end, by the store or its own word."""
        entry = self.entry
        return entry.is_leaving or self.departure.holds(entry.born, now)

    def fullness(self, now: float) -> float:
        """Returns its requests as a multiple of its slots."""
        requests = self.in_flight + self.load.others_now(now)
        return (requests + 1) / max(1, self.entry.slots)

    def crowding(self, now: float) -> float:
        """Returns the requests that one more makes, in shares of its slots."""
        is_told = now < self.told_until
        others = self.told.requests if is_told else self.load.others_now(now)
        return (self.in_flight + others + 1) / self.entry.slots

    def waiting_work(self, usual: float, now: float) -> float:
        """Returns the work that it has before it.

        Args:
            usual: Work of a request, for a server not used yet.
            now: Steady time.
        """
        if now < self.told_until:
            return self.work + self.told.work
        return self.work + (self.mean_work or usual) * self.load.others_now(now)

    def note_work(self, work: float) -> None:
        """Takes a request's work into the mean."""
        known = self.mean_work or work
        self.mean_work = known + WORK_STEP * (work - known)
