"""Arrivals, ends, departures and time round one admission queue."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hoistmoor.core.limits import queue
from hoistmoor.core.table import model

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
MUTANT_SETTINGS = hypothesis.settings(
    SETTINGS, max_examples=5000, phases=(hypothesis.Phase.generate,)
)
PRIORITIES = st.sampled_from(list(model.Priority))


class QueueMachine(stateful.RuleBasedStateMachine):
    """Checks each effect against what was offered."""

    make_queue = queue.AdmissionQueue

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.queue = self.make_queue(4, max_waiting=6)
        self.open: dict[int, queue.Entry] = {}
        self.running: list[queue.Entry] = []
        self.serial = 0

    def heed(self, effects: tuple[queue.Effect, ...]) -> None:
        """Each effect answers a request that had no answer yet."""
        for effect in effects:
            assert effect.serial in self.open, "two final answers"
            entry = self.open.pop(effect.serial)
            if isinstance(effect, queue.Start):
                assert entry.deadline > self.now, "started too late"
                assert not self.more_urgent_than(entry), "overtaken"
                self.running.append(entry)
            else:
                assert effect.retry_after >= 1

    def more_urgent_than(self, entry: queue.Entry) -> list[queue.Entry]:
        """Returns the requests that should have started before ``entry``."""
        place = queue.ORDER.index(entry.priority)
        return [
            other
            for other in self.open.values()
            if queue.ORDER.index(other.priority) < place
        ]

    @stateful.rule(priority=PRIORITIES, patience=st.integers(-1, 20))
    def offer(self, priority: model.Priority, patience: int) -> None:
        """A request arrives."""
        self.serial += 1
        entry = queue.Entry(self.serial, priority, self.now + patience)
        self.open[entry.serial] = entry
        self.heed(self.queue.offer(entry, self.now))

    @stateful.rule(
        index=st.integers(0, 9), seconds=st.sampled_from([None, 0.5, 8.0])
    )
    def finish(self, index: int, seconds: float | None) -> None:
        """A request that runs ends."""
        if self.running:
            entry = self.running.pop(index % len(self.running))
            effects = self.queue.finish(entry.priority, seconds, self.now)
            self.heed(effects)

    @stateful.rule(index=st.integers(0, 9))
    def depart(self, index: int) -> None:
        """The caller of a waiting request goes."""
        if self.open:
            serial = sorted(self.open)[index % len(self.open)]
            assert self.queue.cancel(serial)
            del self.open[serial]

    @stateful.rule(slots=st.integers(1, 12))
    def resize(self, slots: int) -> None:
        """The pool grows or shrinks."""
        self.heed(self.queue.set_slots(slots, self.now))

    @stateful.rule(seconds=st.floats(0.1, 5.0))
    def wait(self, seconds: float) -> None:
        """Time passes; the timer rings when it was asked to."""
        end = self.now + seconds
        while True:
            expiry = self.queue.next_expiry()
            if expiry is None or expiry > end:
                break
            self.now = max(self.now, expiry)
            self.heed(self.queue.tick(self.now))
        self.now = end

    @stateful.invariant()
    def nothing_is_held_in_vain(self) -> None:
        """Who waits can still be served, and no slot is free for it."""
        assert len(self.open) <= self.queue.max_waiting
        for entry in self.open.values():
            assert entry.deadline > self.now, "queued past its deadline"
        held = len(self.running)
        assert held == self.queue.in_use
        if any(
            entry.priority is model.Priority.URGENT
            for entry in self.open.values()
        ):
            assert held >= self.queue.slots, "a slot is kept from urgent work"
