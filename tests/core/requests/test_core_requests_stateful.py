"""Invariants of the request state machine for any order of events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies
import pytest
import requests_cases as cases
from testtools import assertions
from testtools import matchers

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.requests import machine as machine_lib
from hoistmoor.core.requests import messages
from hoistmoor.core.requests import request_types

if TYPE_CHECKING:
    from hoistmoor.core.billing import bills

State = outcomes.ExchangeState
NOT_CHOSEN = messages.NoServerChosen(
    refusals.Refusal(refusals.Reason.NO_CAPACITY, outcomes.Outcome.NOT_RUN, "")
)
EVENTS = strategies.sampled_from(
    [
        "chosen",
        "held",
        "none",
        "frame",
        "late",
        "ended",
        "failed",
        "accept",
        "escalate",
        "secured",
        "delayed",
        "deadline",
        "left",
    ]
)
STEPS = strategies.lists(
    strategies.tuples(EVENTS, strategies.sampled_from(cases.FAILURE_STATES)),
    max_size=25,
)


class Simulation:
    """Simulates the tasks around a machine and records its effects.

    Attributes:
        machine: The machine under test.
        states: State of each attempt's exchange.
        caller: Final responses to the caller: ``whole`` or an outcome.
        bills: Bills to be secured.
        secured_before_end: Whether the bill of each complete response was
            secured before its end marker was sent.
        closings: Outcomes of the effects that end the request.
        unsafe_retries: Dispatches that could repeat a call which is not
            idempotent and may have run.
    """

    def __init__(self, request: request_types.Request) -> None:
        self.machine = cases.make_machine(request)
        self.states: dict[identity.AttemptId, State] = {}
        self.caller: list[str] = []
        self.bills: list[bills.Bill] = []
        self.secured_before_end = True
        self.closings: list[outcomes.Outcome] = []
        self.unsafe_retries = 0
        self.secured = False
        self.idempotent = not hasattr(request, "call") or (
            request.call.idempotent
        )
        self.handle(messages.Started())

    def handle(self, event: messages.Event) -> None:
        """Passes an event to the machine and records its effects."""
        for effect in self.machine.handle(event, cases.NOW):
            self.record_effect(effect)

    def record_effect(self, effect: messages.Effect) -> None:
        """Records an effect."""
        if isinstance(effect, messages.Dispatch):
            self.record_dispatch(effect.attempt)
        if isinstance(effect, messages.SecureBill):
            self.bills.append(effect.bill)
        if isinstance(effect, messages.Complete):
            self.secured_before_end &= self.secured
            self.caller.append("whole")
        if isinstance(effect, messages.Refuse):
            self.caller.append(effect.refusal.outcome)
        if isinstance(effect, messages.Close):
            self.closings.append(effect.outcome)

    def record_dispatch(self, attempt: identity.AttemptId) -> None:
        """Records a dispatch and counts it if it is an unsafe retry."""
        may_have_run = [
            state
            for state in self.states.values()
            if state not in (State.UNSENT, State.DECLINED)
        ]
        if may_have_run and not self.idempotent:
            self.unsafe_retries += 1
        self.states[attempt] = State.SENT

    def generate(self, name: str, state: State) -> None:
        """Generates the event called ``name``."""
        attempt = self.machine.current_attempt
        if name in ("chosen", "held"):
            choice = cases.make_choice("a", hold=name == "held")
            self.handle(messages.ServerChosen(choice))
        elif name == "none":
            self.handle(NOT_CHOSEN)
        elif name in ("deadline", "left"):
            kind = {
                "deadline": messages.DeadlineReached,
                "left": messages.CallerDisconnected,
            }[name]
            self.handle(kind(self.states.get(attempt, State.UNSENT)))
        elif name in ("accept", "escalate", "secured", "delayed"):
            self.generate_result(name)
        elif attempt is not None:
            self.generate_attempt_event(name, attempt, state)

    def generate_result(self, name: str) -> None:
        """Generates a result of the router or the biller."""
        if name in ("secured", "delayed") and self.bills:
            self.secured = True
        events = {
            "accept": messages.ResponseAccepted("good"),
            "escalate": messages.ResponseEscalated(
                cases.make_choice("b", cases.EXPENSIVE_VERSION.key), "weak"
            ),
            "secured": messages.BillSecured(),
            "delayed": messages.BillDelayed(),
        }
        self.handle(events[name])

    def generate_attempt_event(
        self, name: str, attempt: identity.AttemptId, state: State
    ) -> None:
        """Generates an event of the latest attempt, or of the first one."""
        if name == "late":
            attempt = next(iter(self.states))
            name = "frame"
        if name == "failed":
            if self.machine.phase is machine_lib.Phase.RUNNING:
                self.states[attempt] = state
            self.handle(messages.AttemptFailed(attempt, state, "cut"))
        elif name == "ended":
            self.handle(
                messages.ResponseCompleted(
                    attempt,
                    messages.ResponseMetadata(200, "", 5, 5, "stop", 0.5),
                )
            )
        else:
            self.handle(messages.FrameReceived(attempt, b"x"))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=600)
@hypothesis.given(
    kind=strategies.sampled_from(["chat", "once", "repeatable"]), steps=STEPS
)
def test_invariants_hold_for_any_order_of_events(
    kind: str, steps: list[tuple[str, State]]
) -> None:
    request = {
        "chat": cases.make_chat_request(),
        "once": cases.make_call_request(idempotent=False),
        "repeatable": cases.make_call_request(idempotent=True),
    }[kind]
    simulation = Simulation(request)
    for name, state in steps:
        simulation.generate(name, state)
    check_invariants(simulation)


def check_invariants(simulation: Simulation) -> None:
    """Asserts the invariants on the recorded effects."""
    assertions.assert_that(simulation.unsafe_retries, matchers.Equals(0))
    assertions.assert_that(len(simulation.caller), matchers.LessThan(2))
    assertions.assert_that(len(simulation.bills), matchers.LessThan(2))
    assertions.assert_that(len(simulation.closings), matchers.LessThan(2))
    assertions.assert_that(simulation.secured_before_end, matchers.Is(True))
    ran = [
        state
        for state in simulation.states.values()
        if state not in (State.UNSENT, State.DECLINED)
    ]
    if outcomes.Outcome.NOT_RUN in (*simulation.caller, *simulation.closings):
        assertions.assert_that(ran, matchers.Equals([]))


def test_the_check_detects_unsafe_retries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(outcomes, "may_resend", lambda *_: True)
    simulation = Simulation(cases.make_call_request(idempotent=False))
    for name in ("chosen", "failed", "chosen"):
        simulation.generate(name, State.SENT)
    with pytest.raises(matchers.MismatchError):
        check_invariants(simulation)


def test_the_check_detects_an_outcome_of_the_last_attempt_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def record_last(self: machine_lib.RequestMachine, state: State) -> None:
        outcome = outcomes.OUTCOME_BY_STATE[state]
        self._may_have_run = outcome is not outcomes.Outcome.NOT_RUN

    monkeypatch.setattr(
        machine_lib.RequestMachine, "_record_outcome", record_last
    )
    simulation = Simulation(cases.make_call_request(idempotent=True))
    simulation.generate("chosen", State.SENT)
    simulation.generate("failed", State.SENT)
    simulation.generate("chosen", State.SENT)
    simulation.generate("failed", State.UNSENT)
    simulation.generate("none", State.SENT)
    with pytest.raises(matchers.MismatchError):
        check_invariants(simulation)
