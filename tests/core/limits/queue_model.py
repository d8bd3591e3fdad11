"""Stateful model of one admission queue and the requests around it."""

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
    """Checks each effect of the queue against the offered requests."""

    make_queue = queue.AdmissionQueue

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.queue = self.make_queue(4, max_waiting=6)
        self.open: dict[int, queue.Entry] = {}
        self.running: list[queue.Entry] = []
        self.serial = 0

    def apply_effects(self, effects: tuple[queue.Effect, ...]) -> None:
        """Applies effects; each must answer a request for the first time."""
        for effect in effects:
            assert effect.serial in self.open, "second final answer"
            entry = self.open.pop(effect.serial)
            if isinstance(effect, queue.Start):
                assert entry.deadline > self.now, "started too late"
                assert not self.more_urgent_than(entry), (
                    "started before a more urgent request"
                )
                self.running.append(entry)
            else:
                assert effect.retry_after >= 1

    def more_urgent_than(self, entry: queue.Entry) -> list[queue.Entry]:
        """Returns the requests that should have started before ``entry``."""
        position = queue.PRIORITY_ORDER.index(entry.priority)
        return [
            other
            for other in self.open.values()
            if queue.PRIORITY_ORDER.index(other.priority) < position
        ]

    @stateful.rule(priority=PRIORITIES, patience=st.integers(-1, 20))
    def offer(self, priority: model.Priority, patience: int) -> None:
        """Offers a new request."""
        self.serial += 1
        entry = queue.Entry(self.serial, priority, self.now + patience)
        self.open[entry.serial] = entry
        self.apply_effects(self.queue.offer(entry, self.now))

    @stateful.rule(
        index=st.integers(0, 9), seconds=st.sampled_from([None, 0.5, 8.0])
    )
    def finish(self, index: int, seconds: float | None) -> None:
        """Finishes a running request."""
        if self.running:
            entry = self.running.pop(index % len(self.running))
            effects = self.queue.finish(entry.priority, seconds, self.now)
            self.apply_effects(effects)

    @stateful.rule(index=st.integers(0, 9))
    def depart(self, index: int) -> None:
        """Cancels a waiting request whose caller disconnects."""
        if self.open:
            serial = sorted(self.open)[index % len(self.open)]
            assert self.queue.cancel(serial)
            del self.open[serial]

    @stateful.rule(slots=st.integers(1, 12))
    def resize(self, slots: int) -> None:
        """Changes the number of slots."""
        self.apply_effects(self.queue.set_slots(slots, self.now))

    @stateful.rule(seconds=st.floats(0.1, 5.0))
    def wait(self, seconds: float) -> None:
        """Advances the clock, firing the queue's timer on the way."""
        end = self.now + seconds
        while True:
            expiry = self.queue.next_expiry()
            if expiry is None or expiry > end:
                break
            self.now = max(self.now, expiry)
            self.apply_effects(self.queue.tick(self.now))
        self.now = end

    @stateful.invariant()
    def waiting_is_justified(self) -> None:
        """Waiting requests can still be served and have no free slot."""
        assert len(self.open) <= self.queue.max_waiting
        for entry in self.open.values():
            assert entry.deadline > self.now, "queued past its deadline"
        in_use = len(self.running)
        assert in_use == self.queue.in_use
        if any(
            entry.priority is model.Priority.URGENT
            for entry in self.open.values()
        ):
            assert in_use >= self.queue.slots, (
                "free slot while an urgent request waits"
            )
