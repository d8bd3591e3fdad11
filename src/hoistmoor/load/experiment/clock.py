"""A virtual clock for discrete-event simulation."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
from typing import Any

import attrs


@attrs.define(eq=False)
class VirtualClock:
    """Runs scheduled callbacks in the order of their times.

    Attributes:
        now: Virtual time in seconds.
        queue: Scheduled callbacks, as a heap.
        serial: Breaks ties between equal times, so that runs are
            deterministic.
    """

    now: float = 0.0
    queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = (
        attrs.field(factory=list)
    )
    serial: itertools.count[int] = attrs.field(factory=itertools.count)

    def schedule_at(
        self, when: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedules ``callback(*args)`` at ``when``, or now if that is past."""
        entry = (max(when, self.now), next(self.serial), callback, args)
        heapq.heappush(self.queue, entry)

    def schedule_after(
        self, delay: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedules ``callback(*args)`` in ``delay`` seconds."""
        self.schedule_at(self.now + delay, callback, *args)

    def run_until(self, until: float) -> None:
        """Runs all callbacks scheduled up to ``until``."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
        self.now = until
