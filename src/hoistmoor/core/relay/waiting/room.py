"""How much work the servers of a service take while targets are met.

Answers bursts above what servers serve in time. Slots alone do not bound them:
an engine accepts several times the requests whose first events it can deliver
within their target, and all of them are late together.

A response's delay grows with the work that was outstanding at its server. The
ratio of the two is learned from this host's own responses, separately for each
priority class, because engines start urgent requests first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.waiting import service_load

# Priority classes, the most urgent first. Others count as the nearest one.
PRIORITIES = range(10)
# Fraction of a route's target that the expected delay at a server may reach.
# Servers differ in speed, and the work of other hosts is known with a delay.
TARGET_FRACTION = 0.75
# Smoothing factor for the newest responses.
RECENT_SMOOTHING = 0.25
# Fraction of the target that the newest responses of a class must have taken
# for requests to wait. The totals of other hosts are counted twice for a moment
# when hosts change the source from which they copy.
SLOW_FRACTION = 0.75
# Fraction of the room that each class leaves free for the next more urgent one,
# where requests of both have been seen. Hosts do not see what waits at others;
# without it, a host starts less urgent requests while others refuse urgent
# ones.
RESERVED_FRACTION = 0.1
# Smoothing factor of the learned ratios: the weight of the newest response.
SMOOTHING = 0.05


def priority_class(priority: int) -> int:
    """Returns the class of a route's priority."""
    return min(max(priority, PRIORITIES[0]), PRIORITIES[-1])


@attrs.define
class _ClassDelays:
    """Delays of one priority class.

    Attributes:
        delay: Moving average of the seconds until a response.
        load: Moving average of the load at its server.
        target: Shortest target latency of the class in seconds.
        recent: Like ``delay``, of the newest responses only.
    """

    delay: float
    load: float
    target: float
    recent: float

    def record(self, delay: float, load: float, target: float) -> None:
        self.recent += RECENT_SMOOTHING * (delay - self.recent)
        self.delay += SMOOTHING * (delay - self.delay)
        self.load += SMOOTHING * (load - self.load)
        self.target = min(self.target, target)

    @property
    def load_in_time(self) -> float:
        """Load of one server at which the class still meets its target."""
        if self.delay <= 0.0:
            return math.inf
        return TARGET_FRACTION * self.target * self.load / self.delay


@attrs.define
class Room:
    """Room of one service. Costs are work for engines, else requests.

    Attributes:
        has_engine: Whether the servers are engines.
        memory_tokens: Tokens that the memory of one engine holds; 0 if not
            known.
        mean_cost: Mean cost of a request; 0 before the first.
        mean_memory: Mean memory of a request in tokens.
    """

    has_engine: bool = False
    memory_tokens: int = 0
    mean_cost: float = 0.0
    mean_memory: float = 0.0
    _classes: dict[int, _ClassDelays] = attrs.field(factory=dict)
    _seen: set[int] = attrs.field(factory=set)

    def record_request(
        self, priority: int, cost: float, memory: float = 0.0
    ) -> None:
        """Adds a request to the moving averages."""
        self._seen.add(priority)
        self.mean_cost = self.mean_cost or cost
        self.mean_memory = self.mean_memory or memory
        self.mean_cost += SMOOTHING * (cost - self.mean_cost)
        self.mean_memory += SMOOTHING * (memory - self.mean_memory)

    def record_response(
        self, priority: int, target: float, load: float, delay: float
    ) -> None:
        """Records the delay of a response.

        Args:
            priority: Priority class of the request.
            target: Target latency of its route in seconds.
            load: Load of the server when the request was sent: outstanding
                work of an engine, else requests relative to the slots.
            delay: Seconds until the response began.
        """
        known = self._classes.get(priority)
        if known is None:
            self._classes[priority] = _ClassDelays(delay, load, target, delay)
        else:
            known.record(delay, load, target)

    @property
    def is_slow(self) -> bool:
        """Whether the newest responses of a class took long."""
        return not self._classes or any(
            each.recent >= SLOW_FRACTION * each.target
            for each in self._classes.values()
        )

    def expected_delay(self, priority: int) -> float:
        """Returns the usual seconds until a response to a class begins."""
        known = self._classes.get(priority)
        return known.delay if known is not None else 0.0

    def limits(self, load: service_load.ServiceLoad) -> dict[int, float]:
        """Returns the cost that all hosts may have outstanding, by class.

        A class never has more room than a more urgent one.
        """
        limit = self._hard_limit(load)
        scale = load.servers if self.has_engine else load.slots
        limits = {}
        more_urgent = 0
        for priority in PRIORITIES:
            known = self._classes.get(priority)
            if priority in self._seen:
                limit *= 1.0 - RESERVED_FRACTION * bool(more_urgent)
                more_urgent += 1
            if known is not None:
                limit = min(limit, scale * known.load_in_time)
            limits[priority] = max(limit, self.mean_cost)
        return limits

    def _hard_limit(self, load: service_load.ServiceLoad) -> float:
        """Returns the cost for which the servers have slots and memory."""
        if not self.has_engine:
            # Short queues at plain servers are served within the target.
            return math.inf if self._classes else load.slots
        requests = float(load.slots)
        if self.memory_tokens and self.mean_memory:
            memory = load.servers * self.memory_tokens
            requests = min(requests, memory / self.mean_memory)
        return requests * self.mean_cost

    def requests_in_memory(self) -> float:
        """Returns the mean requests for which an engine has memory."""
        if not self.memory_tokens or not self.mean_memory:
            return math.inf
        return self.memory_tokens / self.mean_memory

    def seconds_of(self, cost: float) -> float:
        """Returns the seconds that a usual server takes for a cost."""
        load = sum(each.load for each in self._classes.values())
        delay = sum(each.delay for each in self._classes.values())
        return cost * delay / load if load else 0.0

    def cost_of(self, seconds: float) -> float:
        """Returns the cost that a usual server serves in a time."""
        per_cost = self.seconds_of(1.0)
        return seconds / per_cost if per_cost else 0.0
