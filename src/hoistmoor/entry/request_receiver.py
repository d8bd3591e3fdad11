"""Admits validated requests and starts a task for each."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.once import permits
from hoistmoor.core.requests import decisions
from hoistmoor.core.requests import machine as machine_lib
from hoistmoor.core.requests import pools
from hoistmoor.core.requests import pricing
from hoistmoor.core.requests import request_types
from hoistmoor.core.requests import routes
from hoistmoor.entry import admission_control
from hoistmoor.entry import request_task
from hoistmoor.entry import session_affinity as session_affinity_lib

if TYPE_CHECKING:
    from hoistmoor.core.table import model
    from hoistmoor.entry import components as components_lib

_MILLISECONDS_PER_SECOND = 1000.0


@attrs.frozen
class RunningRequest:
    """A request that a task is processing.

    Attributes:
        task: The task; it may outlive the caller's connection.
        pin: Session pin of the request; None for a call to a plain service.
    """

    task: request_task.RequestTask
    pin: session_affinity_lib.SessionPin | None


ReceiveResult = (
    RunningRequest | permits.StoredAnswer | permits.ForwardTo | refusals.Refusal
)


class RequestReceiver:
    """Admits requests and keeps track of their tasks.

    Attributes:
        components: The host's components.
        running: Request tasks in progress.
        handler_tasks: HTTP handlers that have not finished their response.
    """

    def __init__(self, components: components_lib.Components) -> None:
        self.components = components
        self.request_tasks: set[asyncio.Task[None]] = set()
        self.handler_tasks: set[asyncio.Task[Any]] = set()

    def track_handler(self) -> None:
        """Registers the calling handler, so that ``drain`` waits for it."""
        handler = asyncio.current_task()
        assert handler is not None
        self.handler_tasks.add(handler)
        handler.add_done_callback(self.handler_tasks.discard)

    async def receive(
        self, request: request_types.Request, in_force: model.ActiveTable
    ) -> ReceiveResult:
        """Admits a request and starts its task.

        Args:
            request: A request that was validated against ``in_force``.
            in_force: The table that applies to the request.

        Returns:
            The running request, a stored response, the host to forward the
            request to, or a refusal.
        """
        decision = self._new_decision(request, in_force)
        reply = await self._admit(request, in_force, decision)
        if isinstance(reply, refusals.Refusal):
            reply = _with_key_outcome(request, reply)
            self._close_decision(decision, reply)
        return reply

    async def drain(self) -> None:
        """Waits until every caller has received its final response."""
        while self.request_tasks or self.handler_tasks:
            await asyncio.wait(self.request_tasks | self.handler_tasks)

    def _new_decision(
        self, request: request_types.Request, in_force: model.ActiveTable
    ) -> decisions.Decision:
        envelope = request.envelope
        decision = decisions.Decision(
            request_id=str(envelope.request_id),
            account=envelope.account,
            asked=_requested_target(request),
            kind=getattr(request, "kind", ""),
            arrived=envelope.arrived,
            revision=in_force.revision,
        )
        self.components.explanations.add(decision)
        return decision

    def _close_decision(
        self, decision: decisions.Decision, refusal: refusals.Refusal
    ) -> None:
        decision.outcome = refusal.outcome
        decision.reason = refusal.reason
        decision.record_step(self.components.clock(), "refused", refusal.detail)
        if decision.account:  # Unauthenticated requests must not fill the log.
            self.components.decision_log.add(decision)

    def record_refusal(
        self, decision: decisions.Decision, refusal: refusals.Refusal
    ) -> None:
        """Records the decision on a request that failed validation.

        Args:
            decision: What was known of the request by then.
            refusal: The refusal that the caller receives.
        """
        decision.arrived = self.components.clock()
        self.components.explanations.add(decision)
        self._close_decision(decision, refusal)

    async def _admit(
        self,
        request: request_types.Request,
        in_force: model.ActiveTable,
        decision: decisions.Decision,
    ) -> ReceiveResult:
        if not self.components.biller.can_secure():
            return refusals.Refusal(
                refusals.Reason.BILL_UNSECURED,
                outcomes.Outcome.NOT_RUN,
                "neither the log nor a peer can take the bill now",
            )
        envelope = request.envelope
        admitted = await self.components.admission.admit(
            envelope.account,
            envelope.priority,
            envelope.deadline,
            pricing.estimate_max_cost(request, in_force.table),
            pools.pool_for(request, in_force.table),
        )
        if isinstance(admitted, refusals.Refusal):
            return admitted
        queued = self.components.clock() - envelope.arrived
        self.components.metrics.timing(
            "request.queued", queued * _MILLISECONDS_PER_SECOND
        )
        try:
            return await self._acquire_permit(
                request, in_force, decision, admitted
            )
        except BaseException:
            self.components.admission.release(admitted, 0)
            raise

    async def _acquire_permit(
        self,
        request: request_types.Request,
        in_force: model.ActiveTable,
        decision: decisions.Decision,
        admitted: admission_control.AdmittedRequest,
    ) -> ReceiveResult:
        pin = await self._find_pin(request)
        if isinstance(pin, refusals.Refusal):
            self.components.admission.release(admitted, 0)
            return pin
        envelope = request.envelope
        permit = await self.components.once.begin(
            envelope.account,
            envelope.idempotency_key,
            envelope.fingerprint,
            str(envelope.request_id),
            envelope.deadline,
            forwarded=envelope.forwarded,
        )
        if not isinstance(permit, permits.Permit):
            self.components.admission.release(admitted, 0)
            return permit
        decision.pin = pin.version if pin else None
        return self._start_task(
            request, in_force, decision, admitted, permit, pin
        )

    async def _find_pin(
        self, request: request_types.Request
    ) -> session_affinity_lib.SessionPin | refusals.Refusal | None:
        if not isinstance(request, request_types.ChatRequest):
            return None
        envelope = request.envelope
        return await self.components.sessions.resolve_pin(
            envelope.account,
            envelope.session,
            request.model,
            str(envelope.request_id),
        )

    def _start_task(
        self,
        request: request_types.Request,
        in_force: model.ActiveTable,
        decision: decisions.Decision,
        admitted: admission_control.AdmittedRequest,
        permit: permits.Permit,
        pin: session_affinity_lib.SessionPin | None,
    ) -> RunningRequest:
        in_session = bool(pin and request.envelope.session)
        route = routes.make_route(
            request,
            pin.version if pin else None,
            pin.session if pin and in_session else "",
        )
        machine = machine_lib.RequestMachine(request, decision, in_force.table)
        task = request_task.RequestTask(
            self.components, machine, route, permit, admitted
        )
        running = asyncio.create_task(
            task.run(), name=f"request {decision.request_id}"
        )
        self.request_tasks.add(running)
        running.add_done_callback(self.request_tasks.discard)
        return RunningRequest(task, pin)


def _requested_target(request: request_types.Request) -> str:
    if isinstance(request, request_types.ChatRequest):
        return request.model
    return request.call.key


def _with_key_outcome(
    request: request_types.Request, refusal: refusals.Refusal
) -> refusals.Refusal:
    """Adds that earlier attempts with the idempotency key may have run."""
    has_key = request.envelope.idempotency_key is not None
    if has_key and refusal.key_outcome is None:
        return attrs.evolve(refusal, key_outcome=outcomes.Outcome.UNKNOWN)
    return refusal
