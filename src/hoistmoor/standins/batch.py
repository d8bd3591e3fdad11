"""Continuous batching: a step generates one token per running sequence."""

from __future__ import annotations

import asyncio
import heapq
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

PRIORITIES = {"urgent": 0, "normal": 1, "deferrable": 2}
_MAX_CATCH_UP_SECONDS = 0.5  # How much of a delay later steps may make up.


@attrs.define(eq=False)
class Sequence:
    """A response that is being generated.

    Attributes:
        attempt_id: Attempt id of the request.
        length: Number of tokens to generate.
        priority: Rank in the queue, lowest first.
        prefill_seconds: Seconds before the first token.
        generated: Number of tokens generated so far.
        ready_at: When prefill ends, in monotonic time.
        cancelled: Whether generation was cancelled.
        progress: Set when tokens were generated or the sequence was cancelled.
    """

    attempt_id: str
    length: int
    priority: int
    prefill_seconds: float
    generated: int = 0
    ready_at: float = 0.0
    cancelled: bool = False
    progress: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def is_ended(self) -> bool:
        """Whether no further token will be generated."""
        return self.cancelled or self.generated >= self.length


class Batch:
    """The slots of an engine and the queue of sequences waiting for one.

    Attributes:
        capacity: Maximum number of running sequences.
        queue_limit: Maximum number of waiting sequences.
        token_time: Seconds per step without the slowdown of a loaded batch.
        slowdown: Fraction by which a full batch lengthens a step.
        pace: Returns the current factor on the duration of a step.
        running: Sequences that hold a slot.
        waiting: Heap of waiting sequences by priority and order of arrival.
        generated_tokens: Number of tokens generated so far.
    """

    def __init__(
        self,
        capacity: int,
        queue_limit: int,
        token_time: float,
        slowdown: float = 0.0,
        pace: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self.capacity = capacity
        self.queue_limit = queue_limit
        self.token_time = token_time
        self.slowdown = slowdown
        self.pace = pace
        self.running: list[Sequence] = []
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.generated_tokens = 0
        self._last_serial = 0
        self._has_work = asyncio.Event()

    @property
    def is_full(self) -> bool:
        """Whether both the slots and the queue are full."""
        busy = len(self.running) >= self.capacity
        return busy and len(self.waiting) >= self.queue_limit

    @property
    def is_idle(self) -> bool:
        """Whether no sequence is running or waiting."""
        return not self.running and not self.waiting

    def add(self, sequence: Sequence) -> None:
        """Adds a sequence to the queue and starts it if a slot is free."""
        self._last_serial += 1
        entry = (sequence.priority, self._last_serial, sequence)
        heapq.heappush(self.waiting, entry)
        self._fill_slots(time.monotonic())
        self._has_work.set()

    async def run(self) -> None:
        """Runs steps until the task is cancelled."""
        due = time.monotonic()
        while True:
            if self.is_idle:
                self._has_work.clear()
                await self._has_work.wait()
                due = time.monotonic()
            due = max(due, time.monotonic() - _MAX_CATCH_UP_SECONDS)
            due += self._step_time()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._step(time.monotonic())

    def _step_time(self) -> float:
        load = len(self.running) / self.capacity
        return self.token_time * self.pace() * (1.0 + self.slowdown * load)

    def _step(self, now: float) -> None:
        for sequence in self.running:
            if sequence.cancelled or now < sequence.ready_at:
                continue
            sequence.generated += 1
            self.generated_tokens += 1
            sequence.progress.set()
        self.running = [other for other in self.running if not other.is_ended]
        self._fill_slots(now)

    def _fill_slots(self, now: float) -> None:
        while self.waiting and len(self.running) < self.capacity:
            sequence = heapq.heappop(self.waiting)[2]
            if sequence.cancelled:
                continue
            sequence.ready_at = now + sequence.prefill_seconds
            self.running.append(sequence)

    def cancel(self, sequence: Sequence) -> None:
        """Cancels a sequence, whose slot is freed at the next step."""
        sequence.cancelled = True
        sequence.progress.set()
