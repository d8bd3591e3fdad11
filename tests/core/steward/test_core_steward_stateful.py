"""Safety and convergence of stewards that freeze, restart and act late."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import steward_checks as checks
import steward_world as worlds

from hoistmoor.core.steward import planner as planner_lib
from hoistmoor.core.steward import records

if TYPE_CHECKING:
    from collections.abc import Callable

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=80,
    suppress_health_check=list(hypothesis.HealthCheck),
)
WITHOUT_SHRINKING = hypothesis.settings(
    SETTINGS, phases=[hypothesis.Phase.generate], report_multiple_bugs=False
)
STEWARDS = st.integers(0, 2)
CHOICES = st.integers(0, 1000)
ENGINES = st.sampled_from(["s0", "s1", "s2", "s3"])


class StewardMachine(stateful.RuleBasedStateMachine):
    """Interleaves steward duties with random faults."""

    def __init__(self) -> None:
        super().__init__()
        self.world = worlds.World()
        for host in ("a", "b", "c"):
            self.world.start(host)
        self.checked = 0

    def steward(self, index: int) -> worlds.Steward | None:
        """Returns a steward unless it is paused."""
        steward = self.world.stewards[index]
        return None if steward.paused else steward

    @stateful.rule(seconds=st.sampled_from([0.5, 1.0, 3.0, 6.0]))
    def wait(self, seconds: float) -> None:
        """Advances the time."""
        self.world.now += seconds

    @stateful.initialize()
    def open_rollout(self) -> None:
        """Makes one steward active and has it start the rollout."""
        self.acquire_lease(0)
        self.work(0, turns=4)
        self.rate(1, 0)

    @stateful.rule(index=STEWARDS, turns=st.integers(1, 4))
    def work(self, index: int, turns: int = 1) -> None:
        """Runs all duties of one steward without faults."""
        if steward := self.steward(index):
            in_flight = self.world.in_flight
            self.world.in_flight = []
            for _ in range(turns):
                self.world.run_duties(steward)
                self.world.now += 3.0
            self.world.in_flight = in_flight

    @stateful.rule(index=STEWARDS)
    def acquire_lease(self, index: int) -> None:
        """Has a steward wait, request the lease and read the outcome."""
        if steward := self.steward(index):
            self.world.read(steward)
            self.world.now += 20.0
            self.world.decide_lease(steward)
            self.deliver_newest()
            self.world.read(steward)

    @stateful.rule(index=STEWARDS)
    def request_lease_late(self, index: int) -> None:
        """Has a steward request the lease; the record stays in flight."""
        if steward := self.steward(index):
            self.world.read(steward)
            self.world.now += 20.0
            self.world.decide_lease(steward)

    @stateful.rule(index=STEWARDS, reads_first=st.booleans())
    def orders(self, index: int, reads_first: bool) -> None:
        """Decides on orders, from the current or an older state."""
        if steward := self.steward(index):
            if reads_first:
                self.world.read(steward)
            self.world.decide_orders(steward)

    @stateful.rule(index=STEWARDS, reads_first=st.booleans())
    def rollouts(self, index: int, reads_first: bool) -> None:
        """Decides on records, from the current or an older state."""
        if steward := self.steward(index):
            if reads_first:
                self.world.read(steward)
            self.world.decide_rollouts(steward)

    @stateful.rule(index=STEWARDS)
    def freeze(self, index: int) -> None:
        """Freezes a steward until after its lease expires."""
        self.world.stewards[index].paused = True
        self.world.now += 20.0

    @stateful.rule()
    def resume(self) -> None:
        """Resumes frozen stewards, which do not notice the pause."""
        for steward in self.world.stewards:
            steward.paused = False

    @stateful.rule(index=STEWARDS)
    def restart(self, index: int) -> None:
        """Replaces a steward by a new incarnation."""
        self.world.restart(index)

    @stateful.rule(index=STEWARDS)
    def release(self, index: int) -> None:
        """Has a steward release its lease."""
        if steward := self.steward(index):
            record = steward.actor.release_record()
            self.world.in_flight += [record] if record else []

    def deliver_newest(self) -> None:
        """Delivers the newest record or order."""
        if self.world.in_flight:
            self.world.deliver(len(self.world.in_flight) - 1)

    def pick(self, choice: int, orders: bool) -> int | None:
        """Returns the index of an order or record in flight."""
        found = [
            index
            for index, effect in enumerate(self.world.in_flight)
            if isinstance(effect, tuple) is orders
        ]
        return found[choice % len(found)] if found else None

    @stateful.rule(choice=CHOICES, orders=st.booleans())
    def deliver(self, choice: int, orders: bool) -> None:
        """Delivers any record or order, in any sequence."""
        index = self.pick(choice, orders)
        if index is not None:
            self.world.deliver(index)

    @stateful.rule(choice=CHOICES, orders=st.booleans())
    def repeat(self, choice: int, orders: bool) -> None:
        """Delivers a record or order that is delivered again, as by a retry."""
        index = self.pick(choice, orders)
        if index is not None:
            self.world.in_flight.append(self.world.in_flight[index])
            self.world.deliver(index)

    @stateful.rule(choice=CHOICES, orders=st.booleans())
    def lose(self, choice: int, orders: bool) -> None:
        """Loses a record or order."""
        index = self.pick(choice, orders)
        if index is not None:
            self.world.in_flight.pop(index)

    @stateful.rule()
    def deliver_all(self) -> None:
        """Delivers all records and orders."""
        self.world.deliver_all()

    @stateful.rule(is_up=st.sampled_from([True, True, False]))
    def outage(self, is_up: bool) -> None:
        """Makes the log unavailable or available."""
        self.world.log.is_up = is_up

    @stateful.rule(
        good=st.sampled_from([2, 12, 12]), bad=st.sampled_from([0, 0, 1])
    )
    def rate(self, good: int, bad: int) -> None:
        """Appends a count of ratings."""
        self.world.rate(good, bad)
        self.deliver_newest()

    @stateful.rule(paused=st.sampled_from([False, False, True]))
    def hold(self, paused: bool) -> None:
        """Has an operator pause or resume the rollout."""
        self.world.in_flight.append(
            records.RolloutHold(worlds.NEW, paused, "op")
        )

    @stateful.rule()
    def load(self) -> None:
        """Completes the loading on all engines."""
        for engine in self.world.engines.values():
            engine.finish_loading()

    @stateful.rule(name=ENGINES)
    def restart_engine(self, name: str) -> None:
        """Restarts an engine, which loses its state."""
        self.world.engines[name].restart()

    @stateful.invariant()
    def accepted_records_are_valid(self) -> None:
        """Checks each accepted record."""
        log = self.world.log
        for offset, record in log.accepted[self.checked :]:
            before = log.states[offset - 1] if offset else None
            checks.check_accepted(record, before, log.states[offset])
        self.checked = len(log.accepted)

    @stateful.invariant()
    def readers_agree(self) -> None:
        """Compares the folds of all stewards with the reference."""
        for steward in self.world.stewards:
            fold = steward.actor.fold
            if fold.next_offset:
                reference = self.world.log.states[fold.next_offset - 1]
                assert fold.state == reference

    @stateful.invariant()
    def fencing_tokens_never_decrease(self) -> None:
        """Checks the tokens of orders that fencing engines accepted."""
        for name, engine in self.world.engines.items():
            if self.world.table.servers[name].checks_fencing:
                assert engine.accepted_tokens == sorted(engine.accepted_tokens)

    def teardown(self) -> None:
        """Checks that without faults the stewards and engines converge.

        One steward is active then and plans no further orders.
        """
        self.world.settle()
        now = self.world.now
        active = [
            steward
            for steward in self.world.stewards
            if steward.actor.active_fencing_token(now) is not None
        ]
        assert len(active) == 1
        assert self.world.plan(active[0], active[0].actor.fencing or 0) == ()
        check_engines(self.world)
        self.check_fencing_tokens(active[0].actor.fencing or 0)

    def check_fencing_tokens(self, fencing: int) -> None:
        """Checks that fencing engines have the active steward's token."""
        for name, engine in self.world.engines.items():
            if self.world.table.servers[name].checks_fencing:
                assert engine.condition.fencing == fencing


def check_engines(world: worlds.World) -> None:
    """Checks the number of loaded replicas of each version."""
    state = world.log.reference.state
    loaded = [engine.condition.loaded for engine in world.engines.values()]
    assert sum(worlds.OLD in versions for versions in loaded) == 2
    wanted = 0
    if worlds.NEW in state.rollouts and worlds.NEW not in state.withdrawn:
        wanted = 2 if state.rollouts[worlds.NEW].share > 0.5 else 1
    assert sum(worlds.NEW in versions for versions in loaded) == wanted


def test_invariants_hold_under_random_faults() -> None:
    stateful.run_state_machine_as_test(StewardMachine, settings=SETTINGS)


@attrs.define
class RememberingPlanner(planner_lib.Planner):
    """Sends each order once, instead of comparing with the engines' state."""

    sent_orders: dict[str, frozenset[str]] = attrs.field(factory=dict)

    def plan(self, *args: Any, **kwargs: Any) -> Any:
        """Returns the orders that were not sent before."""
        due = [
            order
            for order in super().plan(*args, **kwargs)
            if self.sent_orders.get(order.server.server) != order.wanted
        ]
        self.sent_orders.update({row.server.server: row.wanted for row in due})
        return tuple(due)


def accept_always(
    self: worlds.Engine, fencing: int, wanted: frozenset[str]
) -> bool:
    self.accepted_tokens.append(fencing)
    return True


def no_fencing_updates(*args: Any) -> tuple[()]:
    return ()


MUTATIONS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "orders sent only once": lambda patch: patch.setattr(
        planner_lib, "Planner", RememberingPlanner
    ),
    "new fencing tokens sent only with changes": lambda patch: patch.setattr(
        planner_lib, "_fencing_updates", no_fencing_updates
    ),
    "engines accept any fencing token": lambda patch: patch.setattr(
        worlds.Engine, "order", accept_always
    ),
}


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_broken_mechanisms_are_detected(
    mutation: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    MUTATIONS[mutation](monkeypatch)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            StewardMachine, settings=WITHOUT_SHRINKING
        )
