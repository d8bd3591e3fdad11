"""The task that processes one request.

It passes events to the request's state machine and performs the effects. It
may outlive the caller's connection, so that the outcome of a call that must
not be repeated is known later.
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
from hoistmoor.entry import admission_control
from hoistmoor.entry import attempt_reporter
from hoistmoor.entry import attempts
from hoistmoor.entry import biller as biller_lib
from hoistmoor.entry import channel as channel_lib
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from hoistmoor.core import identity
    from hoistmoor.core.requests import machine as machine_lib
    from hoistmoor.entry import components as components_lib

_LOG = logs.PartLogger("request")
_ADMISSION_RESULTS: dict[str, admission_control.Result] = {
    refusals.Reason.BACKEND_DECLINED: admission_control.Result.DECLINED,
    refusals.Reason.NO_CAPACITY: admission_control.Result.DECLINED,
}


class RequestTask:
    """Processes one admitted request until its final response.

    Attributes:
        machine: State machine of the request.
        channel: Delivers the response to the caller's handler.
    """

    def __init__(
        self,
        components: components_lib.Components,
        machine: machine_lib.RequestMachine,
        route: routes.Route,
        permit: permits.Permit,
        admitted: admission_control.AdmittedRequest,
    ) -> None:
        """Creates the task; ``run`` executes it.

        Args:
            components: The host's components.
            machine: State machine of the request.
            route: Adapts the router to this request.
            permit: Permit for one run; finished by this task.
            admitted: The admitted request; released by this task.
        """
        self.machine = machine
        self.channel = channel_lib.Channel()
        self._components = components
        self._route = route
        self._permit = permit
        self._admitted = admitted
        self._inbox: asyncio.Queue[messages.Event] = asyncio.Queue()
        self._attempt: attempts.Attempt | None = None
        self._reports = attempt_reporter.AttemptReporter(
            components, machine.request
        )
        self._forwarded: list[bytes] = []
        self._final_facts: messages.ResponseMetadata | None = None
        self._background: set[asyncio.Task[None]] = set()

    def post(self, event: messages.Event) -> None:
        """Queues an event without waiting."""
        self._inbox.put_nowait(event)

    def on_caller_left(self) -> None:
        """Handles the disconnection of the caller."""
        self.post(messages.CallerDisconnected(self._exchange_state))

    async def run(self) -> None:
        """Runs the state machine until the request is closed."""
        loop = asyncio.get_running_loop()
        left = self._deadline - self._components.clock()
        timer = loop.call_later(left, self._on_deadline)
        try:
            self.post(messages.Started())
            await self._drive()
        except Exception:
            _LOG.exception("Internal error in request %s", self._request_id)
            await self._close_after_error()
        finally:
            timer.cancel()

    async def _drive(self) -> None:
        while not self.machine.is_closed:
            event = self._with_exchange_state(await self._inbox.get())
            self._report_event(event)
            late_before = self.machine.late_frames
            effects = self.machine.handle(event, self._components.clock())
            for effect in effects:
                await self._perform(effect)
            self._return_credit(event, effects, late_before)

    def _with_exchange_state(self, event: messages.Event) -> messages.Event:
        """Returns the event with the current state of the exchange.

        The exchange may have advanced while the event was queued. It cannot
        advance until the event's effects are performed, since none of them
        waits.
        """
        if isinstance(
            event, messages.DeadlineReached | messages.CallerDisconnected
        ):
            return attrs.evolve(event, state=self._exchange_state)
        return event

    def _return_credit(
        self,
        event: messages.Event,
        effects: tuple[messages.Effect, ...],
        late_before: int,
    ) -> None:
        """Returns the credit of a frame that was not forwarded."""
        if not isinstance(event, messages.FrameReceived):
            return
        if self.machine.late_frames > late_before:
            self._components.metrics.count("attempt.late_frame")
        if not effects:
            self.channel.release_credit()

    @property
    def _request_id(self) -> str:
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

    # Events that are reported to other components.

    @singledispatchmethod
    def _report_event(self, event: messages.Event) -> None:
        """Reports the end of an attempt to the router; ignores other events."""

    @_report_event.register
    def _(self, event: messages.ResponseCompleted) -> None:
        self._final_facts = event.metadata
        self._reports.record_success(event.metadata)

    @_report_event.register
    def _(self, event: messages.AttemptFailed) -> None:
        self._reports.record_failure(event.state)

    # Effects.

    @singledispatchmethod
    async def _perform(self, effect: object) -> None:
        raise NotImplementedError(type(effect))

    @_perform.register
    async def _(self, effect: messages.ChooseServer) -> None:
        if effect.retry_reason:
            if not self._components.admission.take_retry(self._admitted.pool):
                self.post(messages.NoServerChosen(_retry_budget_refusal()))
                return
            self._components.metrics.count(f"retry.{effect.retry_reason}")
        # The process may have been suspended since the request was admitted.
        table = self._components.readiness.check_table()
        if isinstance(table, refusals.Refusal):
            self.post(messages.NoServerChosen(table))
            return
        chosen = self._route.choose(
            self._components.router, effect.excluded, self._components.clock()
        )
        if isinstance(chosen, refusals.Refusal):
            self._components.load_poller.request_polls(self._admitted.pool)
            self.post(messages.NoServerChosen(chosen))
            return
        refined = await self._probe_alternatives(chosen, effect.excluded)
        self.post(messages.ServerChosen(refined))

    async def _probe_alternatives(
        self, choice: routing.Choice, excluded: frozenset[str]
    ) -> routing.Choice:
        """Probes backend servers and chooses again if their load is unknown."""
        router = self._components.router
        now = self._components.clock()
        names = self._route.servers_to_probe(router, choice, excluded, now)
        if not names:
            return choice
        await self._components.load_poller.probe(names)
        return router.choose_probed(choice, names)

    @_perform.register
    async def _(self, effect: messages.Dispatch) -> None:
        now = self._components.clock()
        request = self.machine.request
        call = wire.make_backend_request(
            request, effect.choice, effect.attempt, now
        )
        self._start_attempt(effect.attempt, effect.choice, call, now)

    def _start_attempt(
        self,
        attempt_id: identity.AttemptId,
        choice: routing.Choice,
        call: wire.BackendRequest,
        now: float,
    ) -> None:
        self._attempt = attempts.Attempt(
            self._components.http,
            attempt_id,
            call,
            self._route.timeout(self._deadline - now),
            self.channel,
            self,
        )
        self._reports.record_start(choice, now)
        self._attempt.start()

    @_perform.register
    async def _(self, effect: messages.Cancel) -> None:
        if self._attempt is None:
            return
        self._attempt.cancel()
        self._reports.record_cancellation()

    @_perform.register
    async def _(self, effect: messages.Forward) -> None:
        self._forwarded.append(effect.data)
        self.channel.put(channel_lib.Frame(effect.data))

    @_perform.register
    async def _(self, effect: messages.RetainFrame) -> None:
        self._forwarded.append(effect.data)
        self.channel.release_credit()

    @_perform.register
    async def _(self, effect: messages.Judge) -> None:
        table = self._components.readiness.check_table()
        if isinstance(table, refusals.Refusal):
            self.post(messages.ResponseAccepted(table.detail))
            return
        judged = self._route.judge(
            self._components.router,
            effect.choice,
            effect.metadata,
            self._components.clock(),
        )
        if isinstance(judged, routing.Escalate):
            self._components.metrics.count("cascade.escalated")
            self._reports.submit_for_rating(
                effect.choice, effect.metadata, self.machine.held_frames
            )
            self.post(messages.ResponseEscalated(judged.choice, judged.reason))
            return
        self.post(messages.ResponseAccepted(judged.reason))

    @_perform.register
    async def _(self, effect: messages.SecureBill) -> None:
        task = asyncio.create_task(self._secure_bill(effect))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _secure_bill(self, effect: messages.SecureBill) -> None:
        try:
            await self._components.biller.secure(effect.bill)
        except biller_lib.BillUnsecuredError as error:
            _LOG.warning(
                "Bill of request %s is not stored durably yet: %s",
                self._request_id,
                error,
            )
            self.post(messages.BillDelayed())
            return
        self.post(messages.BillSecured())

    @_perform.register
    async def _(self, effect: messages.Complete) -> None:
        self.channel.put(channel_lib.Completed(effect.metadata))
        self._components.metrics.count("request.served")

    @_perform.register
    async def _(self, effect: messages.Refuse) -> None:
        self.channel.put(
            channel_lib.Refused(effect.refusal, effect.response_started)
        )

    @_perform.register
    async def _(self, effect: messages.Close) -> None:
        await self._close(effect.outcome, effect.cost)

    async def _close(self, outcome: outcomes.Outcome, cost: int) -> None:
        self._components.admission.release(
            self._admitted, cost, self._admission_result(outcome)
        )
        self._components.decision_log.add(self.machine.decision)
        response = None
        if outcome is outcomes.Outcome.DONE and self._final_facts is not None:
            response = self._stored_answer(self._final_facts)
            self._submit_for_rating(self._final_facts)
        await self._components.once.finish(self._permit, outcome, response)

    def _admission_result(
        self, outcome: outcomes.Outcome
    ) -> admission_control.Result:
        if outcome is outcomes.Outcome.DONE:
            return admission_control.Result.DONE
        return _ADMISSION_RESULTS.get(
            self.machine.decision.reason, admission_control.Result.FAILED
        )

    def _stored_answer(
        self, facts: messages.ResponseMetadata
    ) -> permits.StoredAnswer | None:
        if self._permit.kind is permits.PermitKind.NONE:
            return None
        body, content_type = chunks.assemble_response(
            self.machine.request, self.machine.decision, self._forwarded, facts
        )
        return permits.StoredAnswer(
            facts.status, content_type, body, self._request_id
        )

    def _submit_for_rating(self, facts: messages.ResponseMetadata) -> None:
        choice = self.machine.decision.choice
        if choice is not None:
            self._reports.submit_for_rating(choice, facts, self._forwarded)

    async def _close_after_error(self) -> None:
        """Closes a request after an internal error."""
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


def _retry_budget_refusal() -> refusals.Refusal:
    return refusals.Refusal(
        refusals.Reason.NO_CAPACITY,
        outcomes.Outcome.NOT_RUN,
        "the retry budget is spent",
    )
