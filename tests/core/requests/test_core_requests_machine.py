"""Guarantees of the request state machine when attempts fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import requests_cases as cases
from testtools import assertions
from testtools import matchers

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.requests import machine as machine_lib
from hoistmoor.core.requests import messages

if TYPE_CHECKING:
    from hoistmoor.core.routing import messages as routing

State = outcomes.ExchangeState
Outcome = outcomes.Outcome
FACTS = messages.ResponseMetadata(200, "application/json")
NO_SERVER = messages.NoServerChosen(
    refusals.Refusal(refusals.Reason.NO_CAPACITY, Outcome.NOT_RUN)
)


@pytest.mark.parametrize(
    ("state", "idempotent", "resent"),
    [
        (State.UNSENT, False, True),
        (State.SENDING, False, False),
        (State.SENT, False, False),
        (State.ANSWERING, False, False),
        (State.DECLINED, False, True),
        (State.UNSENT, True, True),
        (State.SENDING, True, True),
        (State.SENT, True, True),
        (State.ANSWERING, True, True),
        (State.DECLINED, True, True),
    ],
)
def test_retry_after_a_failure_in_each_state(
    state: State, idempotent: bool, resent: bool
) -> None:
    machine = cases.make_started_machine(
        cases.make_call_request(idempotent=idempotent)
    )
    attempt = cases.dispatch(machine, cases.make_choice("a"))
    effects = machine.handle(
        messages.AttemptFailed(attempt, state, "died"), cases.NOW
    )
    retried = any(isinstance(e, messages.ChooseServer) for e in effects)
    assertions.assert_that(retried, matchers.Is(resent))
    if not resent:
        refuse = cases.find_refusal(effects)
        assertions.assert_that(
            refuse.refusal.outcome, matchers.Is(Outcome.UNKNOWN)
        )


@pytest.mark.parametrize("last", cases.FAILURE_STATES)
def test_an_attempt_that_may_have_run_makes_the_outcome_unknown(
    last: State,
) -> None:
    machine = cases.make_started_machine(
        cases.make_call_request(idempotent=True)
    )
    first = cases.dispatch(machine, cases.make_choice("a"))
    machine.handle(messages.AttemptFailed(first, State.SENT, "cut"), cases.NOW)
    second = cases.dispatch(machine, cases.make_choice("b"))
    machine.handle(messages.AttemptFailed(second, last, "no"), cases.NOW)
    effects = machine.handle(NO_SERVER, cases.NOW)
    refuse = cases.find_refusal(effects)
    assertions.assert_that(refuse.refusal.outcome, matchers.Is(Outcome.UNKNOWN))


def test_failed_servers_are_excluded_and_attempts_bounded() -> None:
    machine = cases.make_started_machine(
        cases.make_call_request(idempotent=True)
    )
    excluded = []
    for name in ("a", "b", "c"):
        attempt = cases.dispatch(machine, cases.make_choice(name))
        effects = machine.handle(
            messages.AttemptFailed(attempt, State.UNSENT, "down"), cases.NOW
        )
        excluded += [e for e in effects if isinstance(e, messages.ChooseServer)]
    assertions.assert_that(
        [sorted(e.excluded) for e in excluded],
        matchers.Equals([["a"], ["a", "b"]]),
    )
    assertions.assert_that(machine.is_closed, matchers.Is(True))


def test_end_marker_is_sent_after_the_bill_is_secured() -> None:
    machine = cases.make_started_machine(
        cases.make_call_request(idempotent=False)
    )
    attempt = cases.dispatch(machine, cases.make_choice("a", "counter POST /x"))
    machine.handle(messages.FrameReceived(attempt, b"ok"), cases.NOW)
    ended = machine.handle(
        messages.ResponseCompleted(attempt, FACTS), cases.NOW
    )
    assertions.assert_that(
        [type(e) for e in ended], matchers.Equals([messages.SecureBill])
    )
    assertions.assert_that(ended[0].bill.amount, matchers.Equals(2000))
    secured = machine.handle(messages.BillSecured(), cases.NOW)
    assertions.assert_that(
        [type(e) for e in secured],
        matchers.Equals([messages.Complete, messages.Close]),
    )


def test_late_frames_of_an_abandoned_attempt_are_dropped() -> None:
    machine = cases.make_started_machine(cases.make_chat_request())
    first = cases.dispatch(machine, cases.make_choice("a"))
    machine.handle(messages.AttemptFailed(first, State.SENT, "cut"), cases.NOW)
    second = cases.dispatch(machine, cases.make_choice("b"))
    late = machine.handle(messages.FrameReceived(first, b"old"), cases.NOW)
    ended = machine.handle(messages.ResponseCompleted(first, FACTS), cases.NOW)
    current = machine.handle(messages.FrameReceived(second, b"new"), cases.NOW)
    assertions.assert_that((late, ended), matchers.Equals(((), ())))
    assertions.assert_that(
        current, matchers.Equals((messages.Forward(b"new"),))
    )
    assertions.assert_that(machine.late_frames, matchers.Equals(2))


def test_no_retry_after_the_first_frame_was_forwarded() -> None:
    machine = cases.make_started_machine(cases.make_chat_request())
    attempt = cases.dispatch(machine, cases.make_choice("a"))
    machine.handle(messages.FrameReceived(attempt, b"x"), cases.NOW)
    effects = machine.handle(
        messages.AttemptFailed(attempt, State.ANSWERING, "cut"), cases.NOW
    )
    refuse = cases.find_refusal(effects)
    assertions.assert_that(refuse.response_started, matchers.Is(True))
    assertions.assert_that(
        refuse.refusal.reason, matchers.Is(refusals.Reason.BACKEND_CUT)
    )


@pytest.mark.parametrize(
    "event_type", [messages.DeadlineReached, messages.CallerDisconnected]
)
def test_a_non_idempotent_call_continues_without_its_caller(
    event_type: type[messages.DeadlineReached | messages.CallerDisconnected],
) -> None:
    machine = cases.make_started_machine(
        cases.make_call_request(idempotent=False)
    )
    attempt = cases.dispatch(machine, cases.make_choice("a", "counter POST /x"))
    refused = machine.handle(event_type(State.SENT), cases.NOW)
    assertions.assert_that(
        cases.find_refusal(refused).refusal.outcome,
        matchers.Is(Outcome.UNKNOWN),
    )
    assertions.assert_that(machine.is_closed, matchers.Is(False))
    kept = machine.handle(messages.FrameReceived(attempt, b"ok"), cases.NOW)
    machine.handle(messages.ResponseCompleted(attempt, FACTS), cases.NOW)
    closed = machine.handle(messages.BillSecured(), cases.NOW)
    assertions.assert_that(
        kept, matchers.Equals((messages.RetainFrame(b"ok"),))
    )
    assertions.assert_that(
        closed, matchers.Equals((messages.Close(Outcome.DONE, 2000),))
    )


def test_an_unsent_call_is_cancelled_at_the_deadline() -> None:
    machine = cases.make_started_machine(
        cases.make_call_request(idempotent=False)
    )
    attempt = cases.dispatch(machine, cases.make_choice("a"))
    effects = machine.handle(messages.DeadlineReached(State.UNSENT), cases.NOW)
    assertions.assert_that(
        effects[0], matchers.Equals(messages.Cancel(attempt))
    )
    assertions.assert_that(
        cases.find_refusal(effects).refusal.outcome,
        matchers.Is(Outcome.NOT_RUN),
    )


def make_escalated_machine(
    better: routing.Choice,
) -> tuple[machine_lib.RequestMachine, identity.AttemptId]:
    """Returns a machine after an escalation, and the id of its new attempt."""
    machine = cases.make_started_machine(cases.make_chat_request())
    cheap = cases.dispatch(machine, cases.make_choice("a", hold=True))
    machine.handle(messages.FrameReceived(cheap, b"weak"), cases.NOW)
    facts = messages.ResponseMetadata(200, "", 10, 20, "stop", 0.2)
    judging = machine.handle(
        messages.ResponseCompleted(cheap, facts), cases.NOW
    )
    assert isinstance(judging[0], messages.Judge)
    effects = machine.handle(
        messages.ResponseEscalated(better, "weak"), cases.NOW
    )
    return machine, effects[0].attempt


def test_an_escalation_bills_both_responses_once() -> None:
    machine, attempt = make_escalated_machine(
        cases.make_choice("b", cases.EXPENSIVE_VERSION.key)
    )
    forwarded = machine.handle(
        messages.FrameReceived(attempt, b"good"), cases.NOW
    )
    facts = messages.ResponseMetadata(200, "", 10, 20, "stop", 0.9)
    ended = machine.handle(
        messages.ResponseCompleted(attempt, facts), cases.NOW
    )
    assertions.assert_that(
        forwarded, matchers.Equals((messages.Forward(b"good"),))
    )
    # 10 prompt and 20 output tokens: at 100 and 200 micros per 1,000 tokens
    # for the first version, at 1,000 and 2,000 for the second.
    assertions.assert_that(ended[0].bill.amount, matchers.Equals(5 + 50))
    assertions.assert_that(ended[0].bill.attempts, matchers.Equals(2))


@pytest.mark.parametrize("state", cases.FAILURE_STATES)
def test_the_held_response_is_forwarded_when_the_better_version_fails(
    state: State,
) -> None:
    machine, attempt = make_escalated_machine(
        cases.make_choice("b", cases.EXPENSIVE_VERSION.key)
    )
    effects = machine.handle(
        messages.AttemptFailed(attempt, state, "down"), cases.NOW
    )
    assertions.assert_that(
        effects[0], matchers.Equals(messages.Forward(b"weak"))
    )
    assertions.assert_that(effects[1].bill.amount, matchers.Equals(5))
    # Ratings are attributed to the server in the decision.
    assertions.assert_that(machine.decision.choice.server, matchers.Equals("a"))


def test_the_held_response_is_forwarded_at_the_deadline() -> None:
    machine, attempt = make_escalated_machine(
        cases.make_choice("b", cases.EXPENSIVE_VERSION.key)
    )
    effects = machine.handle(messages.DeadlineReached(State.SENT), cases.NOW)
    assertions.assert_that(
        effects[:2],
        matchers.Equals((messages.Cancel(attempt), messages.Forward(b"weak"))),
    )
