"""The task that carries one request: it feeds the machine and does its effects.

It outlives the caller's connection where the work may go on, so that the
outcome of a call that must not be repeated is known later.
"""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.once import permits
from hoistmoor.core.requests import chunks
from hoistmoor.core.requests import messages
from hoistmoor.core.requests import routes
from hoistmoor.core.requests import wire
from hoistmoor.core.routing import messages as routing
from hoistmoor.entry import attempt_reporter
from hoistmoor.entry import attempts
from hoistmoor.entry import biller as biller_lib
from hoistmoor.entry import channel as channel_lib
from hoistmoor.entry import limits
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from hoistmoor.core import identity
    from hoistmoor.core.requests import machine as machine_lib
    from hoistmoor.entry import parts as parts_lib

_LOG = logs.PartLogger("request")
_GATE_RESULTS: dict[str, limits.Result] = {
    refusals.Reason.BACKEND_DECLINED: limits.Result.DECLINED,
    refusals.Reason.NO_CAPACITY: limits.Result.DECLINED,
}


class RequestTask:
    """Carries one admitted request to its final answer.

    Attributes:
        machine: Decides.
        channel: Where the caller's handler listens.
    """

    def __init__(
        self,
        parts: parts_lib.Parts,
        machine: machine_lib.RequestMachine,
        route: routes.Route,
        permit: permits.Permit,
        admitted: limits.Admitted,
    ) -> None:
        """Makes a task; ``run`` drives it.

        Args:
            parts: The host's parts.
            machine: Decides.
            route: How to ask the router for this request.
            permit: Leave for one run; finished by this task.
            admitted: The gate's leave; released by this task.
        """
        self.machine = machine
        self.channel = channel_lib.Channel()
        self._parts = parts
        self._route = route
        self._permit = permit
        self._admitted = admitted
        self._inbox: asyncio.Queue[messages.Event] = asyncio.Queue()
        self._attempt: attempts.Attempt | None = None
        self._reports = attempt_reporter.AttemptReporter(parts, machine.request)
        self._forwarded: list[bytes] = []
        self._answer: messages.ResponseMetadata | None = None
        self._background: set[asyncio.Task[None]] = set()

    def post(self, event: messages.Event) -> None:
        """Takes an event without waiting."""
        self._inbox.put_nowait(event)

    def caller_left(self) -> None:
        """Tells the request that nobody waits for its answer."""
        self.post(messages.CallerDisconnected(self._exchange_state))

    async def run(self) -> None:
        """Drives the machine until the matter is closed."""
        loop = asyncio.get_running_loop()
        left = self._deadline - self._parts.clock()
        timer = loop.call_later(left, self._on_deadline)
        try:
            self.post(messages.Started())
            await self._drive()
        except Exception:
            _LOG.exception("A request failed inside: %s", self._id)
            await self._fail()
        finally:
            timer.cancel()

    async def _drive(self) -> None:
        while not self.machine.is_closed:
            event = self._with_state(await self._inbox.get())
            self._note(event)
            late = self.machine.late_frames
            effects = self.machine.handle(event, self._parts.clock())
            for effect in effects:
                await self._do(effect)
            self._give_credit(event, effects, late)

    def _with_state(self, event: messages.Event) -> messages.Event:
        """Returns the event with the exchange's state of now.

        While it waited in the inbox, the exchange may have gone on. It cannot
        until the event's effects are done, since none of them waits.
        """
        if isinstance(
            event, messages.DeadlineReached | messages.CallerDisconnected
        ):
            return attrs.evolve(event, state=self._exchange_state)
        return event

    def _give_credit(
        self,
        event: messages.Event,
        effects: tuple[messages.Effect, ...],
        late_before: int,
    ) -> None:
        """Returns the credit of a frame that went no further than here."""
        if not isinstance(event, messages.FrameReceived):
            return
        if self.machine.late_frames > late_before:
            self._parts.metrics.count("attempt.late_frame")
        if not effects:
            self.channel.release_credit()

    @property
    def _id(self) -> str:
        return self.machine.decision.request_id

    @property
    def _deadline(self) -> float:
        return self.machine.request.envelope.deadline

    @property
    def _exchange_state(self) -> outcomes.ExchangeState:
        if self._attempt is None:
            return outcomes.ExchangeState.UNSENT
        return self._attempt.state

    def _on_deadline(self) -> None:
        self.post(messages.DeadlineReached(self._exchange_state))

    # Events that others want to know of.

    @singledispatchmethod
    def _note(self, event: messages.Event) -> None:
        """Tells the router how an attempt ended; most events say nothing."""

    @_note.register
    def _(self, event: messages.ResponseCompleted) -> None:
        self._answer = event.metadata
        self._reports.record_success(event.metadata)

    @_note.register
    def _(self, event: messages.AttemptFailed) -> None:
        self._reports.record_failure(event.state)

    # Effects.

    @singledispatchmethod
    async def _do(self, effect: object) -> None:
        raise NotImplementedError(type(effect))

    @_do.register
    async def _(self, effect: messages.ChooseServer) -> None:
        if effect.retry_reason:
            if not self._parts.gate.retry_allowed(self._admitted.pool):
                self.post(messages.NoServerChosen(_no_retry()))
                return
            self._parts.metrics.count(f"retry.{effect.retry_reason}")
        # Since its admission this host may have stood still for a while.
        table = self._parts.readiness.check_table()
        if isinstance(table, refusals.Refusal):
            self.post(messages.NoServerChosen(table))
            return
        chosen = self._route.choose(
            self._parts.router, effect.excluded, self._parts.clock()
        )
        if isinstance(chosen, refusals.Refusal):
            self._parts.poller.on_wanted(self._admitted.pool)
            self.post(messages.NoServerChosen(chosen))
            return
        refined = await self._refine(chosen, effect.excluded)
        self.post(messages.ServerChosen(refined))

    async def _refine(
        self, choice: routing.Choice, excluded: frozenset[str]
    ) -> routing.Choice:
        """Asks a few backend servers how they are, if old news say little."""
        router = self._parts.router
        now = self._parts.clock()
        names = self._route.servers_to_probe(router, choice, excluded, now)
        if not names:
            return choice
        await self._parts.poller.probe(names)
        return router.choose_probed(choice, names)

    @_do.register
    async def _(self, effect: messages.Dispatch) -> None:
        now = self._parts.clock()
        request = self.machine.request
        call = wire.make_backend_request(
            request, effect.choice, effect.attempt, now
        )
        self._start(effect.attempt, effect.choice, call, now)

    def _start(
        self,
        attempt_id: identity.AttemptId,
        choice: routing.Choice,
        call: wire.BackendRequest,
        now: float,
    ) -> None:
        self._attempt = attempts.Attempt(
            self._parts.http,
            attempt_id,
            call,
            self._route.timeout(self._deadline - now),
            self.channel,
            self,
        )
        self._reports.record_start(choice, now)
        self._attempt.start()

    @_do.register
    async def _(self, effect: messages.Cancel) -> None:
        if self._attempt is None:
            return
        self._attempt.cancel()
        self._reports.record_cancellation()

    @_do.register
    async def _(self, effect: messages.Forward) -> None:
        self._forwarded.append(effect.data)
        self.channel.put(channel_lib.Frame(effect.data))

    @_do.register
    async def _(self, effect: messages.RetainFrame) -> None:
        self._forwarded.append(effect.data)
        self.channel.release_credit()

    @_do.register
    async def _(self, effect: messages.Judge) -> None:
        table = self._parts.readiness.check_table()
        if isinstance(table, refusals.Refusal):
            self.post(messages.ResponseAccepted(table.detail))
            return
        judged = self._route.judge(
            self._parts.router,
            effect.choice,
            effect.metadata,
            self._parts.clock(),
        )
        if isinstance(judged, routing.Escalate):
            self._parts.metrics.count("cascade.escalated")
            self._reports.submit_for_rating(
                effect.choice, effect.metadata, self.machine.held_frames
            )
            self.post(messages.ResponseEscalated(judged.choice, judged.reason))
            return
        self.post(messages.ResponseAccepted(judged.reason))

    @_do.register
    async def _(self, effect: messages.SecureBill) -> None:
        task = asyncio.create_task(self._secure(effect))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _secure(self, effect: messages.SecureBill) -> None:
        try:
            await self._parts.biller.secure(effect.bill)
        except biller_lib.BillUnsecuredError as error:
            _LOG.warning("Bill of %s is not secured yet: %s", self._id, error)
            self.post(messages.BillDelayed())
            return
        self.post(messages.BillSecured())

    @_do.register
    async def _(self, effect: messages.Complete) -> None:
        self.channel.put(channel_lib.Completed(effect.metadata))
        self._parts.metrics.count("request.served")

    @_do.register
    async def _(self, effect: messages.Refuse) -> None:
        self.channel.put(
            channel_lib.Refused(effect.refusal, effect.response_started)
        )

    @_do.register
    async def _(self, effect: messages.Close) -> None:
        await self._close(effect.outcome, effect.cost)

    async def _close(self, outcome: outcomes.Outcome, cost: int) -> None:
        self._parts.gate.release(
            self._admitted, cost, self._gate_result(outcome)
        )
        self._parts.decision_log.add(self.machine.decision)
        answer = None
        if outcome is outcomes.Outcome.DONE and self._answer is not None:
            answer = self._stored_answer(self._answer)
            self._hand_in(self._answer)
        await self._parts.once.finish(self._permit, outcome, answer)

    def _gate_result(self, outcome: outcomes.Outcome) -> limits.Result:
        if outcome is outcomes.Outcome.DONE:
            return limits.Result.DONE
        return _GATE_RESULTS.get(
            self.machine.decision.reason, limits.Result.FAILED
        )

    def _stored_answer(
        self, facts: messages.ResponseMetadata
    ) -> permits.StoredAnswer | None:
        if self._permit.kind is permits.PermitKind.NONE:
            return None
        body, content_type = chunks.assemble_response(
            self.machine.request, self.machine.decision, self._forwarded, facts
        )
        return permits.StoredAnswer(facts.status, content_type, body, self._id)

    def _hand_in(self, facts: messages.ResponseMetadata) -> None:
        choice = self.machine.decision.choice
        if choice is not None:
            self._reports.submit_for_rating(choice, facts, self._forwarded)

    async def _fail(self) -> None:
        """Closes a request in which this program itself went wrong."""
        if self._attempt is not None:
            self._attempt.cancel()
            self._reports.record_cancellation()
        unsent = self._attempt is None
        outcome = (
            outcomes.Outcome.NOT_RUN if unsent else outcomes.Outcome.UNKNOWN
        )
        refusal = refusals.Refusal(refusals.Reason.INTERNAL, outcome)
        self.machine.decision.outcome = outcome
        self.machine.decision.reason = refusal.reason
        began = bool(self._forwarded)
        self.channel.put(channel_lib.Refused(refusal, began))
        await self._close(outcome, 0)


def _no_retry() -> refusals.Refusal:
    return refusals.Refusal(
        refusals.Reason.NO_CAPACITY,
        outcomes.Outcome.NOT_RUN,
        "the retry budget is spent",
    )
