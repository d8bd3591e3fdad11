"""Admission queue of one pool, with priorities, deadlines and slots.

Every offered request gets exactly one final effect: ``Start`` or ``Refuse``.
A request that cannot start in time is refused as soon as that is known instead
of at its deadline.
"""

from __future__ import annotations

import collections
import heapq
import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import refusals
from hoistmoor.core.limits import retries
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_WAITING = 10_000  # Requests in one queue.
# Fraction of the slots that a priority class leaves free for higher classes.
HEADROOM = {
    model.Priority.URGENT: 0.0,
    model.Priority.NORMAL: 0.1,
    model.Priority.DEFERRABLE: 0.2,
}
ORDER = tuple(HEADROOM)  # Priority classes, highest first.
_SMOOTHING = 0.1  # Weight of the newest service time in the moving average.
_MAX_STALE = 64  # Removed entries tolerated before a container is rebuilt.


@attrs.frozen
class Entry:
    """A request that asks for a slot.

    Attributes:
        serial: Unique id of the request.
        priority: Priority class.
        deadline: Time by which it must be answered, in seconds since the epoch.
    """

    serial: int
    priority: model.Priority
    deadline: float


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
        slots: Maximum number of requests that hold a slot at once.
        max_waiting: Maximum number of waiting requests.
        running: Number of slots in use, by priority class.
        service_times: Moving average of the seconds that a request holds its
            slot, by priority class.
        waiting: Waiting requests, by serial.
        waiting_counts: Number of waiting requests, by priority class.
    """

    def __init__(self, slots: int, max_waiting: int = MAX_WAITING) -> None:
        self.slots = slots
        self.max_waiting = max_waiting
        self.running = dict.fromkeys(ORDER, 0)
        self.service_times = dict.fromkeys(ORDER, 0.0)
        self.waiting: dict[int, Entry] = {}
        self.counts = dict.fromkeys(ORDER, 0)
        self._lines: dict[model.Priority, collections.deque[Entry]] = {
            priority: collections.deque() for priority in ORDER
        }
        self._expiries: list[tuple[float, int]] = []

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return sum(self.running.values())

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
        ahead = self._ahead_of(entry.priority)
        if not ahead and self._has_slot(entry.priority):
            return (*effects, self._start(entry))
        wait = self._expected_wait(entry.priority, ahead + 1)
        if now + wait > self._latest_start(entry):
            return (*effects, self._overloaded(entry, wait))
        evicted = self._make_room(entry)
        if evicted is None:
            return (*effects, self._overloaded(entry, wait))
        self._enqueue(entry)
        return (*effects, *evicted)

    def finish(
        self, priority: model.Priority, seconds: float | None, now: float
    ) -> tuple[Effect, ...]:
        """Frees the slot of a finished request.

        Args:
            priority: Priority class of the request.
            seconds: Time that the request held the slot. None for a failed
                request, which does not count towards the service time.
            now: Seconds since the epoch.
        """
        self.running[priority] -= 1
        if seconds is not None:
            self._record_service_time(priority, seconds)
        return self.tick(now)

    def cancel(self, serial: int) -> bool:
        """Removes a waiting request, and returns whether it was waiting."""
        entry = self.waiting.get(serial)
        if entry is None:
            return False
        self._forget(entry)
        return True

    def set_slots(self, slots: int, now: float) -> tuple[Effect, ...]:
        """Changes the number of slots; requests keep the slots they hold."""
        self.slots = slots
        return self.tick(now)

    def tick(self, now: float) -> tuple[Effect, ...]:
        """Refuses expired requests and fills the free slots."""
        return (*self._expire(now), *self._fill())

    def next_expiry(self) -> float | None:
        """Returns the time of the next required ``tick`` call, if any."""
        while self._expiries and self._expiries[0][1] not in self.waiting:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def _record_service_time(
        self, priority: model.Priority, seconds: float
    ) -> None:
        average = self.service_times[priority]
        weight = _SMOOTHING if average else 1.0
        self.service_times[priority] = average + weight * (seconds - average)

    def _ahead_of(self, priority: model.Priority) -> int:
        position = ORDER.index(priority)
        return sum(self.counts[other] for other in ORDER[: position + 1])

    def _usable_slots(self, priority: model.Priority) -> int:
        reserved = math.ceil(self.slots * HEADROOM[priority])
        return max(1, self.slots - reserved) if self.slots else 0

    def _has_slot(self, priority: model.Priority) -> bool:
        return self.in_use < self._usable_slots(priority)

    def _expected_wait(self, priority: model.Priority, position: int) -> float:
        slots = self._usable_slots(priority)
        if not slots:
            return math.inf
        in_use = self.in_use
        total = sum(
            self.running[other] * self.service_times[other] for other in ORDER
        )
        mean = total / in_use if in_use else self.service_times[priority]
        return position * mean / slots

    def _latest_start(self, entry: Entry) -> float:
        return entry.deadline - self.service_times[entry.priority]

    def _start(self, entry: Entry) -> Start:
        self.running[entry.priority] += 1
        return Start(entry.serial)

    def _overloaded(self, entry: Entry, wait: float) -> Refuse:
        return Refuse(
            entry.serial,
            refusals.Reason.OVERLOADED,
            retries.spread_wait(wait, entry.serial),
        )

    def _make_room(self, entry: Entry) -> tuple[Effect, ...] | None:
        """Makes room for ``entry``, at the cost of a lower-priority request.

        Returns:
            The effects of the eviction, or None if there is no room.
        """
        if len(self.waiting) < self.max_waiting:
            return ()
        lower_classes = ORDER[ORDER.index(entry.priority) + 1 :]
        for priority in reversed(lower_classes):
            if self.counts[priority]:
                victim = self._peek_last(priority)
                self._forget(victim)
                wait = self._expected_wait(priority, self._ahead_of(priority))
                return (self._overloaded(victim, wait),)
        return None

    def _peek_last(self, priority: model.Priority) -> Entry:
        queued = self._lines[priority]
        while queued[-1].serial not in self.waiting:
            queued.pop()
        return queued[-1]

    def _enqueue(self, entry: Entry) -> None:
        self.waiting[entry.serial] = entry
        self.counts[entry.priority] += 1
        self._lines[entry.priority].append(entry)
        expiry = (self._latest_start(entry), entry.serial)
        heapq.heappush(self._expiries, expiry)
        self._compact(entry.priority)

    def _forget(self, entry: Entry) -> None:
        del self.waiting[entry.serial]
        self.counts[entry.priority] -= 1

    def _compact(self, priority: model.Priority) -> None:
        """Rebuilds containers that hold too many removed entries."""
        queued = self._lines[priority]
        if len(queued) > 2 * self.counts[priority] + _MAX_STALE:
            self._lines[priority] = collections.deque(
                self._still_waiting(queued)
            )
        if len(self._expiries) > 2 * len(self.waiting) + _MAX_STALE:
            self._expiries = [
                item for item in self._expiries if item[1] in self.waiting
            ]
            heapq.heapify(self._expiries)

    def _still_waiting(
        self, queued: collections.deque[Entry]
    ) -> Iterator[Entry]:
        return (entry for entry in queued if entry.serial in self.waiting)

    def _expire(self, now: float) -> tuple[Effect, ...]:
        effects: list[Effect] = []
        while True:
            expiry = self.next_expiry()
            if expiry is None or expiry > now:
                return tuple(effects)
            _, serial = heapq.heappop(self._expiries)
            entry = self.waiting[serial]
            wait = self._expected_wait(
                entry.priority, self._ahead_of(entry.priority)
            )
            self._forget(entry)
            retry_after = retries.spread_wait(wait, serial)
            effects.append(
                Refuse(serial, refusals.Reason.DEADLINE_EXCEEDED, retry_after)
            )

    def _fill(self) -> tuple[Effect, ...]:
        effects: list[Effect] = []
        for priority in ORDER:
            while self.counts[priority] and self._has_slot(priority):
                entry = self._pop_next(priority)
                self._forget(entry)
                effects.append(self._start(entry))
        return tuple(effects)

    def _pop_next(self, priority: model.Priority) -> Entry:
        queued = self._lines[priority]
        while True:
            entry = queued.popleft()
            if entry.serial in self.waiting:
                return entry
