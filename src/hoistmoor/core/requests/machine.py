"""The state machine of a single request.

It decides about dispatch, retries, the response to the caller and the bill. It
guarantees that

- a caller receives a single final response,
- a call that is not idempotent is dispatched again only if it is certain that
  it has not run, and
- the end marker of a response is sent only after its bill is secured, or is
  reported as delayed and retried by the biller.
"""

from __future__ import annotations

import enum
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.requests import decisions
from hoistmoor.core.requests import messages
from hoistmoor.core.requests import pricing
from hoistmoor.core.requests import request_types
from hoistmoor.core.table import limits

if TYPE_CHECKING:
    from hoistmoor.core.routing import messages as routing
    from hoistmoor.core.table import model

Effects = tuple[messages.Effect, ...]

_REASON_BY_STATE = {
    outcomes.ExchangeState.UNSENT: refusals.Reason.BACKEND_UNREACHABLE,
    outcomes.ExchangeState.SENDING: refusals.Reason.BACKEND_CUT,
    outcomes.ExchangeState.SENT: refusals.Reason.BACKEND_CUT,
    outcomes.ExchangeState.ANSWERING: refusals.Reason.BACKEND_CUT,
    outcomes.ExchangeState.ANSWERED: refusals.Reason.BACKEND_ERROR,
    outcomes.ExchangeState.DECLINED: refusals.Reason.BACKEND_DECLINED,
}


class Phase(enum.Enum):
    """Phase of a request."""

    ADMITTED = enum.auto()
    CHOOSING = enum.auto()
    RUNNING = enum.auto()
    JUDGING = enum.auto()
    BILLING = enum.auto()
    CLOSED = enum.auto()


class RequestMachine:
    """Processes one request, from admission to its final response.

    Attributes:
        request: The request.
        decision: Explanation of the request, updated by each event.
        phase: Current phase.
        late_frames: Number of dropped events of abandoned attempts.
    """

    def __init__(
        self,
        request: request_types.Request,
        decision: decisions.Decision,
        table: model.Table,
    ) -> None:
        self.request = request
        self.decision = decision
        self.phase = Phase.ADMITTED
        self.late_frames = 0
        self._idempotent = pricing.is_idempotent(request)
        self._meter = pricing.UsageMeter(request, table)
        self._max_attempts = limits.value(table, "max_attempts")
        self._attempt: identity.AttemptId | None = None
        self._choice: routing.Choice | None = None
        self._state = outcomes.ExchangeState.UNSENT
        self._excluded: frozenset[str] = frozenset()
        self._held: list[bytes] = []
        self._fallback: _HeldResponse | None = None
        self._metadata: messages.ResponseMetadata | None = None
        self._forwarded = False
        # Whether the caller got its final response or has disconnected.
        self._caller_done = False
        self._may_have_run = False

    @property
    def is_closed(self) -> bool:
        """Whether the request has ended; no further effects follow."""
        return self.phase is Phase.CLOSED

    @property
    def held_frames(self) -> list[bytes]:
        """Frames that are held until the complete response is judged."""
        return self._held

    @property
    def current_attempt(self) -> identity.AttemptId | None:
        """The running or most recent attempt."""
        return self._attempt

    def handle(self, event: messages.Event, now: float) -> Effects:
        """Processes an event and returns the resulting effects, in order.

        Args:
            event: The event.
            now: Seconds since the epoch.
        """
        if self.is_closed:
            return ()
        return self._on(event, now)

    @singledispatchmethod
    def _on(self, event: messages.Event, now: float) -> Effects:
        raise NotImplementedError(type(event))

    @_on.register
    def _(self, event: messages.Started, now: float) -> Effects:
        self.phase = Phase.CHOOSING
        return (messages.ChooseServer(self._excluded),)

    @_on.register
    def _(self, event: messages.ServerChosen, now: float) -> Effects:
        if self.phase is not Phase.CHOOSING:
            return ()
        return self._dispatch(event.choice, now)

    def _dispatch(self, choice: routing.Choice, now: float) -> Effects:
        self.decision.attempts += 1
        attempt = identity.AttemptId(
            self.request.envelope.request_id, self.decision.attempts
        )
        self._attempt = attempt
        self._choice = choice
        self._state = outcomes.ExchangeState.UNSENT
        self._held = []
        self.phase = Phase.RUNNING
        self.decision.version = choice.version
        self.decision.server = choice.server
        self.decision.choice = choice
        self.decision.record_step(
            now,
            "dispatch",
            f"{choice.version} at {choice.server}: {choice.reason}",
        )
        return (messages.Dispatch(attempt, choice),)

    @_on.register
    def _(self, event: messages.NoServerChosen, now: float) -> Effects:
        if self.phase is not Phase.CHOOSING:
            return ()
        if self._fallback is not None:
            return self._deliver_fallback("no better version could be had", now)
        refusal = event.refusal
        if self.decision.attempts:
            refusal = self._refusal_of_last_attempt(refusal.detail)
        return self._refuse(refusal, now)

    @_on.register
    def _(self, event: messages.FrameReceived, now: float) -> Effects:
        if not self._is_current(event.attempt):
            return ()
        self._state = outcomes.ExchangeState.ANSWERING
        if self._caller_done:
            return (messages.RetainFrame(event.data),)
        if self._holds_response:
            self._held.append(event.data)
            return ()
        self._forwarded = True
        return (messages.Forward(event.data),)

    @_on.register
    def _(self, event: messages.ResponseCompleted, now: float) -> Effects:
        if not self._is_current(event.attempt):
            return ()
        assert self._choice is not None
        self._state = outcomes.ExchangeState.ANSWERED
        self._record_outcome(self._state)
        self._metadata = event.metadata
        self._meter.record_response(self._choice.version, event.metadata)
        self.decision.record_step(now, "answered", f"by {self._choice.server}")
        if self._holds_response and not self._caller_done:
            self.phase = Phase.JUDGING
            return (messages.Judge(self._choice, event.metadata),)
        return self._bill(now)

    @_on.register
    def _(self, event: messages.ResponseAccepted, now: float) -> Effects:
        if self.phase is not Phase.JUDGING:
            return ()
        self.decision.record_step(now, "accepted", event.reason)
        return self._forward_held(now)

    @_on.register
    def _(self, event: messages.ResponseEscalated, now: float) -> Effects:
        if self.phase is not Phase.JUDGING:
            return ()
        assert self._choice is not None
        assert self._metadata is not None
        self.decision.record_step(now, "escalated", event.reason)
        self._fallback = _HeldResponse(self._choice, self._metadata, self._held)
        return self._dispatch(event.choice, now)

    @_on.register
    def _(self, event: messages.AttemptFailed, now: float) -> Effects:
        if not self._is_current(event.attempt):
            return ()
        assert self._choice is not None
        self._state = event.state
        self._record_outcome(event.state)
        self._excluded |= {self._choice.server}
        reason = _REASON_BY_STATE[event.state]
        self.decision.record_step(now, reason, event.detail)
        if self._caller_done:
            return self._close(self._outcome(), now)
        if self._fallback is not None and not self._forwarded:
            return self._deliver_fallback("the better version failed", now)
        if self._may_retry(now):
            self.phase = Phase.CHOOSING
            return (messages.ChooseServer(self._excluded, reason),)
        refusal = self._refusal_of_last_attempt(event.detail)
        return self._refuse(refusal, now)

    @property
    def _holds_response(self) -> bool:
        # A call that is not idempotent cannot be escalated to another version,
        # so there is no reason to hold its response.
        if self._choice is None or not self._idempotent:
            return False
        return self._choice.hold_answer

    def _may_retry(self, now: float) -> bool:
        if self._forwarded or now >= self.request.envelope.deadline:
            return False
        if self.decision.attempts >= self._max_attempts:
            return False
        return outcomes.may_resend(self._state, self._idempotent)

    def _refusal_of_last_attempt(self, detail: str) -> refusals.Refusal:
        reason = _REASON_BY_STATE[self._state]
        return refusals.Refusal(reason, self._outcome(), detail)

    def _record_outcome(self, state: outcomes.ExchangeState) -> None:
        outcome = outcomes.OUTCOME_BY_STATE[state]
        if outcome is not outcomes.Outcome.NOT_RUN:
            self._may_have_run = True

    def _outcome(self) -> outcomes.Outcome:
        # A single attempt that may have run makes the outcome unknown, even if
        # later attempts certainly did not run.
        if self._may_have_run:
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN

    def _deliver_fallback(self, cause: str, now: float) -> Effects:
        assert self._fallback is not None
        self.decision.record_step(
            now, "kept", f"the held answer goes out: {cause}"
        )
        self._choice = self._fallback.choice
        self.decision.choice = self._choice
        self._metadata = self._fallback.metadata
        self._held = self._fallback.frames
        self._state = outcomes.ExchangeState.ANSWERED
        return self._forward_held(now)

    def _forward_held(self, now: float) -> Effects:
        held = tuple(messages.Forward(data) for data in self._held)
        self._forwarded = bool(held)
        self._held = []
        return (*held, *self._bill(now))

    def _bill(self, now: float) -> Effects:
        assert self._choice is not None
        self.phase = Phase.BILLING
        self.decision.version = self._choice.version
        self.decision.server = self._choice.server
        bill = self._meter.make_bill(
            self._choice.version,
            self.decision.attempts,
            self.decision.revision,
            now,
        )
        self.decision.cost = bill.amount
        return (messages.SecureBill(bill),)

    @_on.register
    def _(self, event: messages.BillSecured, now: float) -> Effects:
        if self.phase is not Phase.BILLING:
            return ()
        self.decision.record_step(now, "billed", f"{self.decision.cost} micros")
        return self._complete(now)

    @_on.register
    def _(self, event: messages.BillDelayed, now: float) -> Effects:
        if self.phase is not Phase.BILLING:
            return ()
        self.decision.record_step(
            now, "bill_delayed", "kept in memory, sent later"
        )
        return self._complete(now)

    def _complete(self, now: float) -> Effects:
        assert self._metadata is not None
        close_effects = self._close(outcomes.Outcome.DONE, now)
        if self._caller_done:
            return close_effects
        self._caller_done = True
        return (messages.Complete(self._metadata), *close_effects)

    @_on.register
    def _(self, event: messages.DeadlineReached, now: float) -> Effects:
        if self._caller_done or self.phase is Phase.BILLING:
            return ()
        if self.phase is Phase.JUDGING:
            self.decision.record_step(
                now, "accepted", "no time to judge the answer"
            )
            return self._forward_held(now)
        if self._fallback is not None and not self._forwarded:
            cancel = self._cancel_running()
            deliver = self._deliver_fallback("the deadline passed", now)
            return (*cancel, *deliver)
        return self._abandon(
            refusals.Reason.DEADLINE_EXCEEDED,
            "the deadline passed before a whole answer came",
            event.state,
            now,
        )

    @_on.register
    def _(self, event: messages.CallerDisconnected, now: float) -> Effects:
        if self._caller_done or self.phase is Phase.BILLING:
            self._caller_done = True
            return ()
        return self._abandon(
            refusals.Reason.CALLER_LEFT,
            "the caller closed the connection",
            event.state,
            now,
        )

    def _abandon(
        self,
        reason: refusals.Reason,
        detail: str,
        state: outcomes.ExchangeState,
        now: float,
    ) -> Effects:
        if self.phase is Phase.RUNNING:
            self._record_outcome(state)
        refusal = refusals.Refusal(reason, self._outcome(), detail)
        unsent = state is outcomes.ExchangeState.UNSENT
        if self.phase is not Phase.RUNNING or self._idempotent or unsent:
            cancel = self._cancel_running()
            return (*cancel, *self._refuse(refusal, now))
        # The backend server may be running the call. The attempt continues
        # without the caller, so that its outcome can be reported later.
        return (self._refuse_caller(refusal, now),)

    def _cancel_running(self) -> Effects:
        if self.phase is not Phase.RUNNING or self._attempt is None:
            return ()
        return (messages.Cancel(self._attempt),)

    def _refuse(self, refusal: refusals.Refusal, now: float) -> Effects:
        refuse = self._refuse_caller(refusal, now)
        return (refuse, *self._close(refusal.outcome, now))

    def _refuse_caller(
        self, refusal: refusals.Refusal, now: float
    ) -> messages.Refuse:
        self._caller_done = True
        self.decision.reason = refusal.reason
        self.decision.record_step(now, "refused", refusal.detail)
        return messages.Refuse(refusal, self._forwarded)

    def _close(self, outcome: outcomes.Outcome, now: float) -> Effects:
        self.phase = Phase.CLOSED
        self.decision.outcome = outcome
        return (messages.Close(outcome, self.decision.cost),)

    def _is_current(self, attempt: identity.AttemptId) -> bool:
        if self.phase is Phase.RUNNING and attempt == self._attempt:
            return True
        self.late_frames += 1
        return False


class _HeldResponse:
    """Response of a cheaper version, the fallback if the better one fails."""

    def __init__(
        self,
        choice: routing.Choice,
        metadata: messages.ResponseMetadata,
        frames: list[bytes],
    ) -> None:
        self.choice = choice
        self.metadata = metadata
        self.frames = frames
