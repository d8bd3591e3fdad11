"""This host's shares of the accounts' spend limits.

An amount moves from granted to reserved when a request is admitted, and to
spent when the request ends. Only grants that were read back from the log can be
reserved.
"""

from __future__ import annotations

import math

import attrs

from hoistmoor.core.limits import records

CHUNK_SECONDS = 600.0  # Seconds of local demand that one ask covers.
# Below this many seconds of demand, more is requested.
LOW_WATER_SECONDS = 120.0
IDLE_SECONDS = 600.0  # Time after which an unneeded amount is returned.
FLOOR_DIVISOR = 8  # All floors together are the limit divided by this.
# Before a host knows the other hosts, it assumes at least this many of them, so
# that the first shares of all hosts together stay within the floors.
MIN_ASSUMED_HOSTS = 360
ASK_TIMEOUT = 30.0  # Seconds until an ask that was not read back is dropped.
# Initial and maximum delay after an ask that was granted nothing, in seconds.
MIN_ASK_BACKOFF = 5.0
MAX_ASK_BACKOFF = 60.0
# Minimum seconds between two asks for one account over all hosts.
ASK_INTERVAL = 0.02
# Minimum seconds between two repeats of ungranted asks over all hosts.
ASK_RETRY_INTERVAL = 5.0
STARVED_RETURN_SECONDS = 30.0  # Minimum time between returns for starved hosts.
_DEMAND_HALF_LIFE = 120.0  # Half-life of the smoothed demand, in seconds.


@attrs.define
class Share:
    """This host's share of one account's spend limit on one day.

    Attributes:
        granted: Micros granted and read back, less the returned ones.
        reserved: Micros reserved for running requests.
        spent: Micros spent.
        demand: Smoothed local demand in micros per second.
        demand_at: Time of the last update of ``demand``.
        pending: Serial of the ask that was not read back yet; 0 for none.
        asked_at: Time of the last ask.
        next_ask_at: Earliest time of the next ask.
        refusals: Number of consecutive asks that were granted nothing.
        returned_at: Time of the last return, or of the first grant.
        refused_seen: Refused asks over all hosts at the last return.
        overdrawn: Micros spent beyond the reserved amounts.
        taken: Micros of ``granted`` that were received from peers.
        given: Micros transferred to peers, already deducted from ``granted``.
    """

    granted: int = 0
    reserved: int = 0
    spent: int = 0
    demand: float = 0.0
    demand_at: float = 0.0
    pending: int = 0
    asked_at: float = 0.0
    next_ask_at: float = 0.0
    refusals: int = 0
    returned_at: float = 0.0
    refused_seen: int = 0
    overdrawn: int = 0
    taken: int = 0
    given: int = 0

    @property
    def left(self) -> int:
        """Micros that are neither spent nor reserved."""
        return self.granted - self.reserved - self.spent

    def record_demand(self, cost: int, now: float) -> None:
        """Adds the cost of a request to the demand."""
        self.decay(now)
        self.demand += cost * math.log(2) / _DEMAND_HALF_LIFE

    def decay(self, now: float) -> None:
        """Decays the demand up to ``now``."""
        elapsed = max(0.0, now - self.demand_at)
        self.demand *= 0.5 ** (elapsed / _DEMAND_HALF_LIFE)
        self.demand_at = max(now, self.demand_at)


@attrs.frozen
class LimitTerms:
    """State of an account's limit over all hosts, as known to this host.

    Attributes:
        account: Client account.
        limit: Spend limit by the table in force.
        revision: Revision of that table.
        granted: Micros granted to all hosts so far, by the fold.
        refused: Number of asks over all hosts that were granted nothing.
        hosts: Number of live entry hosts.
        is_settled: Whether this host has had time to learn of the others.
    """

    account: str
    limit: int
    revision: int
    granted: int
    refused: int
    hosts: int
    is_settled: bool = True

    @property
    def remaining(self) -> int:
        """Micros that are not granted to any host."""
        return max(0, self.limit - self.granted)

    @property
    def floor(self) -> int:
        """Micros that each host keeps in order to serve during a log outage."""
        hosts = self.hosts
        if not self.is_settled:
            hosts = max(hosts, MIN_ASSUMED_HOSTS)
        return self.limit // (FLOOR_DIVISOR * hosts)

    @property
    def min_append(self) -> int:
        """Minimum micros that justify an append without a waiting request."""
        return max(1, self.floor // 4)


class LocalShares:
    """Shares held by one incarnation of one host.

    Attributes:
        shares: Shares by account and day.
    """

    def __init__(self) -> None:
        self.shares: dict[tuple[str, int], Share] = {}

    def share(self, account: str, day: int) -> Share:
        """Returns an account's share for a day, creating it if missing."""
        key = account, day
        if key not in self.shares:
            previous = self.shares.get((account, day - 1))
            demand = previous.demand if previous else 0.0
            midnight = float(day * records.SECONDS_PER_DAY)
            self.shares[key] = Share(demand=demand, demand_at=midnight)
        return self.shares[key]

    def reserve(
        self,
        cost: int,
        day: int,
        now: float,
        terms: LimitTerms,
        retained_fraction: float = 0.0,
    ) -> bool:
        """Reserves ``cost`` if the share covers it, and returns whether it did.

        Args:
            cost: Micros to reserve.
            day: UTC day that the cost counts for.
            now: Seconds since the epoch.
            terms: Known state of the limit.
            retained_fraction: Fraction of the share that must remain available.
        """
        share = self.share(terms.account, day)
        retained = int(share.granted * retained_fraction)
        if cost + retained > spendable(share, terms):
            return False
        share.record_demand(cost, now)
        share.reserved += cost
        return True

    def settle(self, account: str, day: int, reserved: int, cost: int) -> None:
        """Replaces a reservation by the actual cost of the request."""
        share = self.share(account, day)
        share.reserved -= reserved
        share.spent += cost
        share.overdrawn += max(0, cost - reserved)

    def credit(
        self, account: str, day: int, serial: int, amount: int, now: float
    ) -> None:
        """Applies the result of an ask of this incarnation."""
        share = self.share(account, day)
        if not share.granted:
            share.returned_at = now
        share.granted += amount
        if share.pending == serial:
            share.pending = 0
        share.refusals = 0 if amount else share.refusals + 1
        if not amount:
            wait = MIN_ASK_BACKOFF * 2.0 ** min(share.refusals - 1, 10)
            share.next_ask_at = now + min(wait, MAX_ASK_BACKOFF)

    def clear_pending(self, account: str, day: int, serial: int) -> None:
        """Clears a pending ask that the log did not store."""
        share = self.share(account, day)
        if share.pending == serial:
            share.pending = 0

    def drop_before(self, day: int) -> None:
        """Drops the shares of earlier days that have no reservations."""
        expired = [
            key
            for key, share in self.shares.items()
            if key[1] < day and not share.reserved
        ]
        for key in expired:
            del self.shares[key]


def spendable(share: Share, terms: LimitTerms) -> int:
    """Returns the micros that may be reserved now.

    After the limit is lowered below the total granted, each host scales its
    share down to its fraction of the new limit.
    """
    if terms.granted <= terms.limit:
        return share.left
    scaled = share.granted * terms.limit // terms.granted
    return scaled - share.reserved - share.spent


def plan_ask(share: Share, terms: LimitTerms, now: float, cost: int = 0) -> int:
    """Returns the micros to request now; 0 for none.

    The chunk is sized by local demand and shrinks with the remaining limit, so
    that hosts without demand do not hold the last of it.

    Args:
        share: This host's share.
        terms: Known state of the limit.
        now: Seconds since the epoch.
        cost: Micros needed by waiting requests.
    """
    if not _may_ask(share, terms, now):
        return 0
    share.decay(now)
    need = max(0, cost - spendable(share, terms))
    wanted = max(terms.floor, int(share.demand * CHUNK_SECONDS)) - share.left
    chunk = min(wanted, terms.remaining // (2 * terms.hosts))
    if need:
        return max(need, chunk)
    low = max(terms.floor // 2, int(share.demand * LOW_WATER_SECONDS))
    return chunk if share.left <= low and chunk >= terms.min_append else 0


def is_exhausted(share: Share, terms: LimitTerms, now: float) -> bool:
    """Returns whether another ask would be useless for now.

    After an ask that was granted nothing, the host waits until it reads a
    return from the log. It repeats the ask at a low rate, so that hosts with a
    surplus know of the demand.
    """
    if not share.refusals:
        return False
    if now < share.next_ask_at:
        return True
    repeat = max(MAX_ASK_BACKOFF, terms.hosts * ASK_RETRY_INTERVAL)
    return terms.remaining < terms.min_append and now - share.asked_at < repeat


def _may_ask(share: Share, terms: LimitTerms, now: float) -> bool:
    if terms.limit <= 0 or is_exhausted(share, terms, now):
        return False
    if share.pending and now - share.asked_at < ASK_TIMEOUT:
        return False
    return now - share.asked_at >= terms.hosts * ASK_INTERVAL


def plan_return(share: Share, terms: LimitTerms, now: float) -> int:
    """Returns the micros to return now; 0 for none.

    A host keeps ten minutes of its demand, but at least its floor. Once another
    host was refused a share, it keeps only two minutes of its demand.
    """
    share.decay(now)
    starved = terms.refused > share.refused_seen
    period = STARVED_RETURN_SECONDS if starved else IDLE_SECONDS
    if share.pending or share.refusals or now - share.returned_at < period:
        return 0
    target = int(share.demand * LOW_WATER_SECONDS)
    if not starved:
        target = max(terms.floor, int(share.demand * CHUNK_SECONDS))
    surplus = share.left - target
    return surplus if surplus >= terms.min_append else 0
