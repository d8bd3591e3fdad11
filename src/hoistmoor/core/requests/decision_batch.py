"""Batches decisions for the log, within a byte budget.

Every host keeps its most recent decisions in memory. Some of them are also
appended to the log, so that they can be queried after the host has gone: first
those that are most likely to be queried, then as many others as the budget
allows.
"""

from __future__ import annotations

from collections import deque

import attrs

from hoistmoor.core import codec
from hoistmoor.core import outcomes
from hoistmoor.core.requests import decisions

BYTES_PER_SECOND = 2_000.0  # Out of a host's control traffic budget.
MAX_BATCH_BYTES = 64_000
MAX_PENDING = 2_000  # Decisions; the oldest of low interest are dropped first.
APPENDS_PER_SECOND = 20.0  # To the log, by all hosts together.
MIN_INTERVAL = 2.0  # Seconds between two batches of one host.


@attrs.frozen
class DecisionBatch:
    """Decisions of one process, as stored on the log.

    Attributes:
        host: Name of the host.
        incarnation: Number of the host's incarnation.
        decisions: Those of high interest first, each in order of closing.
    """

    host: str
    incarnation: int
    decisions: tuple[decisions.Decision, ...]


codec.register("decisions", DecisionBatch)


def batch_interval(hosts: int) -> float:
    """Returns the seconds between two batches of a host, given ``hosts``."""
    return max(MIN_INTERVAL, hosts / APPENDS_PER_SECOND)


def is_high_interest(decision: decisions.Decision) -> bool:
    """Returns whether a decision is likely to be queried.

    These are requests with an unknown outcome, requests that took more than
    one attempt, and calls of plain services with a cost.
    """
    if decision.outcome == outcomes.Outcome.UNKNOWN:
        return True
    if decision.attempts > 1:
        return True
    return decision.cost > 0 and not decision.kind


class DecisionBuffer:
    """Buffers decisions until they are appended to the log.

    Attributes:
        dropped: Number of decisions dropped because the buffer was full.
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self.dropped = 0
        self._host = host
        self._incarnation = incarnation
        self._high_interest: deque[decisions.Decision] = deque()
        self._low_interest: deque[decisions.Decision] = deque()

    def __len__(self) -> int:
        """Returns the number of pending decisions."""
        return len(self._high_interest) + len(self._low_interest)

    def add(self, decision: decisions.Decision) -> None:
        """Adds a closed decision; drops one of low interest if full."""
        queue = (
            self._high_interest
            if is_high_interest(decision)
            else self._low_interest
        )
        queue.append(decision)
        while len(self) > MAX_PENDING:
            self._drop_one()

    def _drop_one(self) -> None:
        self.dropped += 1
        (self._low_interest or self._high_interest).popleft()

    def pop_batch(self, seconds: float) -> DecisionBatch | None:
        """Removes and returns the next batch, or None if none is pending.

        Args:
            seconds: Time since the last batch; the byte budget grows with it.
        """
        remaining_bytes = min(MAX_BATCH_BYTES, seconds * BYTES_PER_SECOND)
        selected: list[decisions.Decision] = []
        for queue in (self._high_interest, self._low_interest):
            while queue:
                size = len(codec.encode(queue[0]))
                if selected and size > remaining_bytes:
                    return self._make_batch(selected)
                remaining_bytes -= size
                selected.append(queue.popleft())
        return self._make_batch(selected) if selected else None

    def _make_batch(self, selected: list[decisions.Decision]) -> DecisionBatch:
        return DecisionBatch(self._host, self._incarnation, tuple(selected))
