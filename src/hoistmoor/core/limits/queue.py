"""Admission queue with priorities, deadlines and slots.

It serves the pools of the entry hosts, where a request holds one slot, and the
services of the relays, where it holds as many as its work.

Every offered request gets exactly one final effect: ``Start`` or ``Refuse``.
A request that cannot start in time is refused as soon as that is known instead
of at its deadline.
"""

from __future__ import annotations

import bisect
import heapq
import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import refusals
from hoistmoor.core.limits import retries
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Mapping

PriorityClass = model.Priority | int

MAX_WAITING = 10_000  # Requests in one queue.
# Fraction of the slots that a priority class leaves free for higher classes.
HEADROOM: dict[PriorityClass, float] = {
    model.Priority.URGENT: 0.0,
    model.Priority.NORMAL: 0.1,
    model.Priority.DEFERRABLE: 0.2,
}
PRIORITY_ORDER = tuple(HEADROOM)  # Priority classes, highest first.
_SMOOTHING = 0.1  # Weight of the newest service time in the moving average.
_MAX_STALE = 64  # Removed entries tolerated before the heap is rebuilt.


@attrs.frozen
class Entry:
    """A request that asks for a slot.

    Attributes:
        serial: Unique id of the request.
        priority: Priority class.
        deadline: Time by which it must be answered, in seconds of the caller's
            clock.
        cost: Slots that it holds.
        rank: Order among the requests of its class, lowest first; equal ranks
            start in order of arrival.
        start_by: Latest time at which it may start; None for the deadline less
            the usual service time.
    """

    serial: int
    priority: PriorityClass
    deadline: float
    cost: float = 1.0
    rank: tuple[float, ...] = ()
    start_by: float | None = None


@attrs.frozen
class Start:
    """The request holds a slot until ``finish`` is called."""

    serial: int


@attrs.frozen
class Refuse:
    """The request is refused without a slot.

    Attributes:
        serial: Id of the request.
        reason: OVERLOADED or DEADLINE_EXCEEDED.
        retry_after: Seconds after which the caller may retry.
    """

    serial: int
    reason: refusals.Reason
    retry_after: int


Effect = Start | Refuse


class AdmissionQueue:
    """Priority queue of requests that wait for a slot of a pool.

    Attributes:
        slots: Maximum number of slots in use.
        max_waiting: Maximum number of waiting requests.
        rounding: Fraction of a request's cost that must be free for it to
            start.
        running: Number of slots in use, by priority class.
        service_times: Moving average of the seconds that a request holds its
            slot, by priority class.
        waiting: Waiting requests, by serial.
        waiting_counts: Number of waiting requests, by priority class.
        waiting_costs: Slots that waiting requests need, by priority class.
    """

    def __init__(
        self,
        slots: float,
        max_waiting: int = MAX_WAITING,
        headroom: Mapping[PriorityClass, float] = HEADROOM,
    ) -> None:
        """Creates an empty queue.

        Args:
            slots: Maximum number of slots in use.
            max_waiting: Maximum number of waiting requests.
            headroom: Fraction of the slots that a priority class leaves free
                for higher classes; the classes in order, highest first.
        """
        self.slots = slots
        self.max_waiting = max_waiting
        self.rounding = 1.0
        self.running: dict[PriorityClass, float] = dict.fromkeys(headroom, 0)
        self.service_times = dict.fromkeys(headroom, 0.0)
        self.waiting: dict[int, Entry] = {}
        self.waiting_counts = dict.fromkeys(headroom, 0)
        self.waiting_costs = dict.fromkeys(headroom, 0.0)
        self._order = tuple(headroom)
        self._headroom = headroom
        self._limits: Mapping[PriorityClass, float] | None = None
        # Rank, position and serial of each waiting request, in order.
        self._queues: dict[
            PriorityClass, list[tuple[tuple[float, ...], int, int]]
        ] = {priority: [] for priority in headroom}
        self._positions: dict[int, int] = {}
        self._next_position = 0
        self._expiries: list[tuple[float, int]] = []

    @property
    def in_use(self) -> float:
        """Number of slots in use."""
        return sum(self.running.values())

    @property
    def waiting_cost(self) -> float:
        """Slots that all waiting requests need."""
        return sum(self.waiting_costs.values())

    def offer(self, entry: Entry, now: float) -> tuple[Effect, ...]:
        """Starts, queues or refuses a new request.

        Returns:
            Effects on this request and on others. The request waits if none
            of them is for it.
        """
        effects = self._expire(now)
        if entry.deadline <= now:
            refusal = Refuse(entry.serial, refusals.Reason.DEADLINE_EXCEEDED, 1)
            return (*effects, refusal)
        ahead = self._ahead_of(entry)
        if not ahead and self._has_slot(entry.priority, entry.cost):
            return (*effects, self._start(entry))
        # The first in line may always wait until its latest start.
        own_cost = entry.cost if entry.start_by is None else 0.0
        wait = self._expected_wait(entry.priority, ahead + own_cost)
        if now + wait > self._latest_start(entry):
            return (*effects, self._overloaded(entry, wait))
        evicted = self._make_room(entry)
        if evicted is None:
            return (*effects, self._overloaded(entry, wait))
        self._enqueue(entry)
        return (*effects, *evicted)

    def finish(
        self,
        priority: PriorityClass,
        seconds: float | None,
        now: float,
        cost: float = 1.0,
    ) -> tuple[Effect, ...]:
        """Frees the slots of a finished request.

        Args:
            priority: Priority class of the request.
            seconds: Time that the request held the slot. None for a failed
                request, which does not count towards the service time.
            now: Current time.
            cost: Slots that it held.
        """
        self.running[priority] = max(0.0, self.running[priority] - cost)
        if seconds is not None:
            self._record_service_time(priority, seconds)
        return self.tick(now)

    def change_cost(self, priority: PriorityClass, change: float) -> None:
        """Changes how many slots a running request holds."""
        self.running[priority] = max(0.0, self.running[priority] + change)

    def cancel(self, serial: int) -> bool:
        """Removes a waiting request, and returns whether it was waiting."""
        entry = self.waiting.get(serial)
        if entry is None:
            return False
        self._remove(entry)
        return True

    def set_slots(self, slots: float, now: float) -> tuple[Effect, ...]:
        """Changes the number of slots; requests keep the slots they hold."""
        self.slots = slots
        return self.tick(now)

    def set_limits(self, limits: Mapping[PriorityClass, float]) -> None:
        """Sets how many slots may be in use when a class starts a request.

        Replaces the headroom. The caller sees to the next ``tick``.

        Args:
            limits: Slots by priority class; none may exceed that of a higher
                class.
        """
        self._limits = limits
        self.slots = max(limits.values())

    def tick(self, now: float) -> tuple[Effect, ...]:
        """Refuses expired requests and fills the free slots."""
        return (*self._expire(now), *self._fill_slots())

    def next_expiry(self) -> float | None:
        """Returns the time of the next required ``tick`` call, if any."""
        while self._expiries and self._expiries[0][1] not in self.waiting:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def _record_service_time(
        self, priority: PriorityClass, seconds: float
    ) -> None:
        average = self.service_times[priority]
        weight = _SMOOTHING if average else 1.0
        self.service_times[priority] = average + weight * (seconds - average)

    def _ahead_of(self, entry: Entry) -> float:
        """Returns the slots needed by the requests that start before it."""
        ahead = self._cost_above(entry.priority)
        queued = self._queues[entry.priority]
        if not queued:
            return ahead
        position = bisect.bisect(queued, (entry.rank, self._next_position, 0))
        fraction = position / len(queued)
        return ahead + fraction * self.waiting_costs[entry.priority]

    def _cost_above(self, priority: PriorityClass) -> float:
        higher = self._order[: self._order.index(priority)]
        return sum(self.waiting_costs[other] for other in higher)

    def _usable_slots(self, priority: PriorityClass) -> float:
        if self._limits is not None:
            return self._limits[priority]
        reserved = math.ceil(self.slots * self._headroom[priority])
        return max(1, self.slots - reserved) if self.slots else 0

    def _has_slot(self, priority: PriorityClass, cost: float = 1.0) -> bool:
        needed = self.rounding * cost
        return self.in_use + needed <= self._usable_slots(priority)

    def _expected_wait(self, priority: PriorityClass, ahead: float) -> float:
        slots = self._usable_slots(priority)
        if not slots:
            return math.inf
        return ahead * self.mean_service_time(priority) / slots

    def mean_service_time(self, priority: PriorityClass) -> float:
        """Returns the mean seconds that running requests hold their slots.

        Args:
            priority: Class whose requests count if none is running.
        """
        in_use = self.in_use
        if not in_use:
            return self.service_times[priority]
        total = sum(
            self.running[other] * self.service_times[other]
            for other in self._order
        )
        return total / in_use

    def _latest_start(self, entry: Entry) -> float:
        if entry.start_by is not None:
            return entry.start_by
        return entry.deadline - self.service_times[entry.priority]

    def _start(self, entry: Entry) -> Start:
        self.running[entry.priority] += entry.cost
        return Start(entry.serial)

    def _overloaded(self, entry: Entry, wait: float) -> Refuse:
        return Refuse(
            entry.serial,
            refusals.Reason.OVERLOADED,
            retries.jittered_wait(wait, entry.serial),
        )

    def _make_room(self, entry: Entry) -> tuple[Effect, ...] | None:
        """Makes room for ``entry``, at the cost of a lower-priority request.

        Returns:
            The effects of the eviction, or None if there is no room.
        """
        if len(self.waiting) < self.max_waiting:
            return ()
        lower_classes = self._order[self._order.index(entry.priority) + 1 :]
        for priority in reversed(lower_classes):
            if self.waiting_counts[priority]:
                victim = self.waiting[self._queues[priority][-1][-1]]
                self._remove(victim)
                return (self._overloaded(victim, self._wait_for(priority)),)
        return None

    def _wait_for(self, priority: PriorityClass) -> float:
        """Returns the expected wait behind all requests of a class."""
        ahead = self._cost_above(priority) + self.waiting_costs[priority]
        return self._expected_wait(priority, ahead)

    def _enqueue(self, entry: Entry) -> None:
        self.waiting[entry.serial] = entry
        self.waiting_counts[entry.priority] += 1
        self.waiting_costs[entry.priority] += entry.cost
        self._positions[entry.serial] = self._next_position
        bisect.insort(self._queues[entry.priority], self._key_of(entry))
        self._next_position += 1
        expiry = (self._latest_start(entry), entry.serial)
        heapq.heappush(self._expiries, expiry)
        if len(self._expiries) > 2 * len(self.waiting) + _MAX_STALE:
            self._expiries = [
                item for item in self._expiries if item[1] in self.waiting
            ]
            heapq.heapify(self._expiries)

    def _key_of(self, entry: Entry) -> tuple[tuple[float, ...], int, int]:
        return entry.rank, self._positions[entry.serial], entry.serial

    def _remove(self, entry: Entry) -> None:
        queued = self._queues[entry.priority]
        del queued[bisect.bisect_left(queued, self._key_of(entry))]
        del self.waiting[entry.serial]
        del self._positions[entry.serial]
        self.waiting_counts[entry.priority] -= 1
        self.waiting_costs[entry.priority] = (
            self.waiting_costs[entry.priority] - entry.cost if queued else 0.0
        )

    def _expire(self, now: float) -> tuple[Effect, ...]:
        effects: list[Effect] = []
        while True:
            expiry = self.next_expiry()
            if expiry is None or expiry > now:
                return tuple(effects)
            _, serial = heapq.heappop(self._expiries)
            entry = self.waiting[serial]
            wait = self._wait_for(entry.priority)
            self._remove(entry)
            retry_after = retries.jittered_wait(wait, serial)
            effects.append(
                Refuse(serial, refusals.Reason.DEADLINE_EXCEEDED, retry_after)
            )

    def _fill_slots(self) -> tuple[Effect, ...]:
        effects: list[Effect] = []
        for priority in self._order:
            queued = self._queues[priority]
            while queued:
                entry = self.waiting[queued[0][-1]]
                if not self._has_slot(priority, entry.cost):
                    # A lower class must not overtake with a smaller request.
                    return tuple(effects)
                self._remove(entry)
                effects.append(self._start(entry))
        return tuple(effects)
