"""Queue of one service at one host, for its part of the servers' room.

A host's part is its fraction of the demand of all hosts: the cost that would be
outstanding if nothing had to wait or was refused. While the demand fits into
the room, all requests start at once. Otherwise the parts add up to the room
without an agreement between the hosts, and what a silent host had falls to the
others.
"""

from __future__ import annotations

from collections.abc import Mapping
import math

import attrs

from hoistmoor.core import refusals
from hoistmoor.core.limits import queue as queue_lib
from hoistmoor.core.relay.waiting import returns
from hoistmoor.core.relay.waiting import room as room_lib

# Fraction of its target for which a request may wait for room. A refusal after
# that leaves the caller too little time to be served elsewhere.
WAIT_FRACTION = 0.125
# Excess of the outstanding cost over the room, as a fraction, at which nothing
# starts. Parts grow and shrink in between, because with many hosts a part is
# less than one request, and rounding alone would miss the room.
STOP_EXCESS = 0.2
# Recently refused cost of more urgent classes, relative to a request's own,
# from which no room is expected for it.
OUTRANKED_COST = 0.25
# Class of callers that return when told, ahead of all others, and the room that
# they may use, relative to the host's part.
RETURNING = -1
RETURNING_FACTOR = 2.0
# Seconds for which requests hold room, until the first one has finished.
UNKNOWN_SERVICE_TIME = 1.0
# Weight of the newest grant in the fractions of the classes.
GRANT_SMOOTHING = 0.1
# Seconds between two draws that round a host's part to whole requests. Other
# hosts' totals change about as often.
ROUNDING_INTERVAL = 0.25


@attrs.frozen
class Demand:
    """Room and demand of one service, as known to this host.

    Attributes:
        limits: Cost that all hosts may have outstanding, by priority class.
        others: Outstanding cost of other hosts.
        others_waiting: Cost that waits or was refused at other hosts.
        is_scarce: Whether requests may have to wait at all.
        age: Seconds since the newest report about the load.
    """

    limits: Mapping[int, float]
    others: float
    others_waiting: float
    is_scarce: bool
    age: float = 0.0

    @property
    def of_others(self) -> float:
        """Demand of other hosts."""
        return self.others + self.others_waiting


@attrs.frozen
class WaitingRequest:
    """A request that asks for room.

    Attributes:
        serial: Unique id at this host.
        priority: Priority class; 0 is the most urgent.
        cost: Work for an engine; 1 for other servers.
        arrived: Time at which this attempt of the caller arrived.
        first_arrived: Time at which its first attempt arrived, as far as its
            deadline tells.
        target: Target latency of its route in seconds.
        deadline: Time at which its final response is due.
        excess: Seconds of service of its client account above its share.
        is_expected: Whether its caller returns when told after a refusal.
    """

    serial: int
    priority: int
    cost: float
    arrived: float
    first_arrived: float
    target: float
    deadline: float
    excess: float = 0.0
    is_expected: bool = False

    @property
    def queue_class(self) -> int:
        """Class in the queue."""
        return RETURNING if self.is_expected else self.priority


@attrs.frozen
class Granted:
    """The request may be sent; it holds room until ``finish``."""

    serial: int


@attrs.frozen
class Denied:
    """The request is refused without having been sent.

    Attributes:
        serial: Id of the request.
        retry_after: Seconds after which the caller should retry.
        detail: What decided, for people.
    """

    serial: int
    retry_after: float
    detail: str


Effect = Granted | Denied


class HostQueue:
    """Queue of one service at one host."""

    def __init__(self) -> None:
        self.queue = queue_lib.AdmissionQueue(
            math.inf,
            headroom=dict.fromkeys((RETURNING, *room_lib.PRIORITIES), 0.0),
        )
        self._returns = returns.ReturnSchedule()
        self._requests: dict[int, WaitingRequest] = {}
        self._demand = Demand({}, 0.0, 0.0, is_scarce=False)
        self._rounded_at = -math.inf
        # Refused cost, decaying as the requests would have ended.
        self._refused = dict.fromkeys(room_lib.PRIORITIES, 0.0)
        self._refused_at = -math.inf
        # Fraction of the recently granted requests, by priority class.
        self._granted = dict.fromkeys(room_lib.PRIORITIES, 0.0)

    def offer(
        self,
        request: WaitingRequest,
        demand: Demand,
        expected_delay: float,
        now: float,
        draw: float,
    ) -> tuple[Effect, ...]:
        """Grants, queues or denies a new request.

        Args:
            request: The request.
            demand: Room and demand without this request.
            expected_delay: Expected seconds from the start of a request of its
                class until its response.
            now: Monotonic time.
            draw: Random number from 0 to 1.

        Returns:
            Effects on this request and on others. The request waits if none
            of them is for it.
        """
        effects = self.update(demand, now, draw, request.cost)
        self._requests[request.serial] = request
        is_late = now + expected_delay > request.arrived + request.target
        entry = queue_lib.Entry(
            request.serial,
            request.queue_class,
            request.deadline,
            request.cost,
            (request.excess, float(is_late), request.first_arrived),
            request.arrived + WAIT_FRACTION * request.target,
        )
        offered = self.queue.offer(entry, now)
        return (*effects, *self._convert(offered, now, draw))

    def update(
        self, demand: Demand, now: float, draw: float, new_cost: float = 0.0
    ) -> tuple[Effect, ...]:
        """Applies the demand of other hosts.

        Args:
            demand: Room and demand.
            now: Monotonic time.
            draw: Random number from 0 to 1.
            new_cost: Cost of a request that is about to be offered.
        """
        self._demand = demand
        own = self.queue.in_use + self.waiting_cost(now) + new_cost
        total = own + demand.of_others
        outstanding = self.queue.in_use + demand.others
        parts: dict[queue_lib.PriorityClass, float] = {
            priority: _part(limit, own / total, total, outstanding)
            if demand.is_scarce
            else math.inf
            for priority, limit in demand.limits.items()
        }
        # Without the excess, of which the callers told to return are no cause.
        limit = max(demand.limits.values())
        parts[RETURNING] = (
            RETURNING_FACTOR * limit * own / total
            if demand.is_scarce and total > limit
            else math.inf
        )
        self.queue.set_limits(parts)
        if now - self._rounded_at >= ROUNDING_INTERVAL:
            self._rounded_at = now
            self.queue.rounding = draw
        return self._convert(self.queue.tick(now), now, draw)

    def finish(
        self, serial: int, seconds: float | None, now: float, draw: float
    ) -> tuple[Effect, ...]:
        """Frees the room of a request.

        Args:
            serial: Id of the request.
            seconds: Time for which it held the room; None if it failed.
            now: Monotonic time.
            draw: Random number from 0 to 1.
        """
        request = self._requests.pop(serial)
        effects = self.queue.finish(
            request.queue_class, seconds, now, request.cost
        )
        return self._convert(effects, now, draw)

    def set_cost(self, serial: int, cost: float) -> None:
        """Changes the cost of a request that holds room."""
        request = self._requests[serial]
        self.queue.change_cost(request.queue_class, cost - request.cost)
        self._requests[serial] = attrs.evolve(request, cost=cost)

    def cancel(self, serial: int) -> bool:
        """Removes a waiting request, and returns whether it was waiting."""
        was_waiting = self.queue.cancel(serial)
        if was_waiting:
            del self._requests[serial]
        return was_waiting

    def waiting_cost(self, now: float) -> float:
        """Returns the cost that waits or was refused for lack of room."""
        refused = sum(self._refused.values()) * self._refused_factor(now)
        return self.queue.waiting_cost + refused

    def _refused_factor(self, now: float) -> float:
        held_for = self._service_time(room_lib.PRIORITIES[0])
        return math.exp((self._refused_at - now) / held_for)

    def _service_time(self, priority: int) -> float:
        known = self.queue.mean_service_time(priority)
        return known or UNKNOWN_SERVICE_TIME

    def _record_refused(self, request: WaitingRequest, now: float) -> None:
        factor = self._refused_factor(now)
        for priority in self._refused:
            self._refused[priority] *= factor
        self._refused[request.priority] += request.cost
        self._refused_at = now

    def _is_outranked(self, request: WaitingRequest) -> bool:
        """Returns whether more urgent requests have just been refused."""
        more_urgent = sum(
            cost
            for priority, cost in self._refused.items()
            if priority < request.priority
        )
        return more_urgent >= OUTRANKED_COST * request.cost

    def _convert(
        self, effects: tuple[queue_lib.Effect, ...], now: float, draw: float
    ) -> tuple[Effect, ...]:
        return tuple(
            self._grant(effect.serial)
            if isinstance(effect, queue_lib.Start)
            else self._deny(effect, now, draw)
            for effect in effects
        )

    def _granted_fraction(self, priority: int) -> float:
        """Returns the fraction of a class in the recent grants."""
        total = sum(self._granted.values())
        return self._granted[priority] / total if total else 1.0

    def _grant(self, serial: int) -> Granted:
        granted = self._granted
        for priority in granted:
            granted[priority] *= 1.0 - GRANT_SMOOTHING
        granted[self._requests[serial].priority] += GRANT_SMOOTHING
        return Granted(serial)

    def _deny(
        self, effect: queue_lib.Refuse, now: float, draw: float
    ) -> Denied:
        request = self._requests.pop(effect.serial)
        priority = request.priority
        limit = self._demand.limits.get(priority, math.inf)
        self._record_refused(request, now)
        own = self.queue.in_use + self.waiting_cost(now)
        held_for = self._service_time(priority)
        total = own + self._demand.of_others
        # The part of the room that requests of this class get at this host.
        part = limit * own / total * self._granted_fraction(priority)
        excess = max(0.0, total / limit - 1.0)
        has_room = part > 0.0 and not self._is_outranked(request)
        delay = self._returns.assign(
            priority,
            held_for * request.cost / part if has_room else math.inf,
            max(held_for * excess, WAIT_FRACTION * request.target),
            request.deadline - now,
            request.deadline - request.first_arrived,
            now,
            draw,
        )
        is_expired = effect.reason is refusals.Reason.DEADLINE_EXCEEDED
        detail = (
            f"{'no room came free' if is_expired else 'no room'}: needs"
            f" {request.cost:.0f} of {limit:.0f}, this host has"
            f" {self.queue.in_use:.0f} outstanding and"
            f" {self.waiting_cost(now):.0f} waiting or refused, others"
            f" {self._demand.others:.0f} and {self._demand.others_waiting:.0f}"
            f" (known {self._demand.age:.1f}s ago)"
        )
        return Denied(effect.serial, delay, detail)


def _part(
    limit: float, own_fraction: float, demand: float, outstanding: float
) -> float:
    """Returns a host's part of the room.

    Args:
        limit: Room of all hosts.
        own_fraction: This host's fraction of the demand.
        demand: Demand of all hosts.
        outstanding: Outstanding cost of all hosts.
    """
    if demand <= limit:
        return math.inf
    excess = outstanding / limit - 1.0
    return max(0.0, 1.0 - excess / STOP_EXCESS) * limit * own_fraction
