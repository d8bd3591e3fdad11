"""Admission control of one pool of backend servers at this host."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.limits import adaptive
from hoistmoor.core.limits import queue
from hoistmoor.core.limits import retries
from hoistmoor.core.table import limits

if TYPE_CHECKING:
    from hoistmoor.core.table import model

# The load balancer does not spread requests evenly, so each host may use more
# than an equal fraction of a pool. Backend servers decline the excess.
OVERCOMMIT = 1.5
MIN_SLOTS = 2  # Per host, independent of the number of hosts.
DEFAULT_SLOTS = 64  # For a pool without servers in the table.


class Result(enum.Enum):
    """Result of a request that held a slot."""

    DONE = enum.auto()
    FAILED = enum.auto()
    DECLINED = enum.auto()  # The backend server was full or had left.


@attrs.define
class Pool:
    """Admission queue, slots and retry budget of one pool.

    Attributes:
        admission: Queue of the requests that wait for a slot.
        slots: Current number of slots.
        budget: Retry budget.
    """

    admission: queue.AdmissionQueue
    slots: adaptive.AdaptiveSlots
    budget: retries.RetryBudget

    @classmethod
    def create(cls, now: float) -> Pool:
        """Creates an idle pool of the default size."""
        return cls(
            queue.AdmissionQueue(DEFAULT_SLOTS),
            adaptive.AdaptiveSlots(MIN_SLOTS, DEFAULT_SLOTS, DEFAULT_SLOTS),
            retries.RetryBudget(now),
        )

    def on_table(
        self, table: model.Table, name: str, hosts: int, now: float
    ) -> tuple[queue.Effect, ...]:
        """Applies the pool's capacity and limits from a new table."""
        self.admission.max_waiting = int(limits.value(table, "queue_length"))
        self.budget.ratio = limits.value(table, "retry_ratio")
        servers = table.servers_by_service.get(name, ())
        capacity = sum(server.concurrency for server in servers)
        ceiling = DEFAULT_SLOTS
        if capacity:
            fair_share = math.ceil(capacity * OVERCOMMIT / hosts)
            ceiling = max(MIN_SLOTS, min(capacity, fair_share))
        self.slots.set_bounds(min(MIN_SLOTS, ceiling), ceiling)
        return self.admission.set_slots(self.slots.slots, now)

    def finish(
        self,
        priority: queue.PriorityClass,
        seconds: float,
        result: Result,
        now: float,
    ) -> tuple[queue.Effect, ...]:
        """Frees a slot and adapts to the result of its request."""
        if result is Result.DECLINED:
            self.slots.on_decline(now)
        if result is Result.DONE:
            self.slots.on_success(self.admission.in_use)
            self.budget.on_success()
        self.admission.slots = self.slots.slots
        service_time = seconds if result is Result.DONE else None
        return self.admission.finish(priority, service_time, now)
