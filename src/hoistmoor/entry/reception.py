"""Takes checked requests in: limits, leave to run, session, then a task."""

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
from hoistmoor.entry import limits
from hoistmoor.entry import request_task
from hoistmoor.entry import sessions as sessions_lib

if TYPE_CHECKING:
    from hoistmoor.core.table import model
    from hoistmoor.entry import parts as parts_lib

_MS = 1000.0


@attrs.frozen
class Running:
    """A request that a task now carries.

    Attributes:
        task: The task; it may outlive the caller.
        pin: Where the session must run; None for a plain call.
    """

    task: request_task.RequestTask
    pin: sessions_lib.SessionPin | None


Reply = Running | permits.StoredAnswer | permits.ForwardTo | refusals.Refusal


class Reception:
    """Admits requests and keeps the tasks that carry them.

    Attributes:
        parts: The host's parts.
        running: Tasks under way.
        handling: Handlers that still write to their callers.
    """

    def __init__(self, parts: parts_lib.Parts) -> None:
        self.parts = parts
        self.running: set[asyncio.Task[None]] = set()
        self.handling: set[asyncio.Task[Any]] = set()

    def note_handler(self) -> None:
        """Has a graceful stop wait for the handler that calls this."""
        handler = asyncio.current_task()
        assert handler is not None
        self.handling.add(handler)
        handler.add_done_callback(self.handling.discard)

    async def receive(
        self, request: request_types.Request, in_force: model.ActiveTable
    ) -> Reply:
        """Returns what becomes of a request.

        Args:
            request: Checked against ``in_force``.
            in_force: The table that it is decided by.
        """
        decision = self._open_decision(request, in_force)
        reply = await self._admit(request, in_force, decision)
        if isinstance(reply, refusals.Refusal):
            reply = _tell_of_key(request, reply)
            self._close_decision(decision, reply)
        return reply

    async def drain(self) -> None:
        """Returns once every caller has its final answer."""
        while self.running or self.handling:
            await asyncio.wait(self.running | self.handling)

    def _open_decision(
        self, request: request_types.Request, in_force: model.ActiveTable
    ) -> decisions.Decision:
        shared = request.envelope
        decision = decisions.Decision(
            request_id=str(shared.request_id),
            account=shared.account,
            asked=_asked(request),
            kind=getattr(request, "kind", ""),
            arrived=shared.arrived,
            revision=in_force.revision,
        )
        self.parts.explanations.add(decision)
        return decision

    def _close_decision(
        self, decision: decisions.Decision, refusal: refusals.Refusal
    ) -> None:
        decision.outcome = refusal.outcome
        decision.reason = refusal.reason
        decision.record_step(self.parts.clock(), "refused", refusal.detail)
        if decision.account:  # Strangers get no room on the log.
            self.parts.decision_log.add(decision)

    def note_refused(
        self, decision: decisions.Decision, refusal: refusals.Refusal
    ) -> None:
        """Keeps the decision on a request that was refused at its first check.

        Args:
            decision: What was known of the request by then.
            refusal: What the caller is told.
        """
        decision.arrived = self.parts.clock()
        self.parts.explanations.add(decision)
        self._close_decision(decision, refusal)

    async def _admit(
        self,
        request: request_types.Request,
        in_force: model.ActiveTable,
        decision: decisions.Decision,
    ) -> Reply:
        if not self.parts.biller.can_secure():
            return refusals.Refusal(
                refusals.Reason.BILL_UNSECURED,
                outcomes.Outcome.NOT_RUN,
                "neither the log nor a peer can take the bill now",
            )
        shared = request.envelope
        admitted = await self.parts.gate.admit(
            shared.account,
            shared.priority,
            shared.deadline,
            pricing.estimate_max_cost(request, in_force.table),
            pools.pool_for(request, in_force.table),
        )
        if isinstance(admitted, refusals.Refusal):
            return admitted
        queued = self.parts.clock() - shared.arrived
        self.parts.metrics.timing("request.queued", queued * _MS)
        try:
            return await self._begin(request, in_force, decision, admitted)
        except BaseException:
            self.parts.gate.release(admitted, 0)
            raise

    async def _begin(
        self,
        request: request_types.Request,
        in_force: model.ActiveTable,
        decision: decisions.Decision,
        admitted: limits.Admitted,
    ) -> Reply:
        pin = await self._find_pin(request)
        if isinstance(pin, refusals.Refusal):
            self.parts.gate.release(admitted, 0)
            return pin
        shared = request.envelope
        permit = await self.parts.once.begin(
            shared.account,
            shared.idempotency_key,
            shared.fingerprint,
            str(shared.request_id),
            shared.deadline,
            forwarded=shared.forwarded,
        )
        if not isinstance(permit, permits.Permit):
            self.parts.gate.release(admitted, 0)
            return permit
        decision.pin = pin.version if pin else None
        return self._start(request, in_force, decision, admitted, permit, pin)

    async def _find_pin(
        self, request: request_types.Request
    ) -> sessions_lib.SessionPin | refusals.Refusal | None:
        if not isinstance(request, request_types.ChatRequest):
            return None
        shared = request.envelope
        return await self.parts.sessions.pin_for(
            shared.account,
            shared.session,
            request.model,
            str(shared.request_id),
        )

    def _start(
        self,
        request: request_types.Request,
        in_force: model.ActiveTable,
        decision: decisions.Decision,
        admitted: limits.Admitted,
        permit: permits.Permit,
        pin: sessions_lib.SessionPin | None,
    ) -> Running:
        in_session = bool(pin and request.envelope.session)
        route = routes.make_route(
            request,
            pin.version if pin else None,
            pin.session if pin and in_session else "",
        )
        machine = machine_lib.RequestMachine(request, decision, in_force.table)
        task = request_task.RequestTask(
            self.parts, machine, route, permit, admitted
        )
        running = asyncio.create_task(
            task.run(), name=f"request {decision.request_id}"
        )
        self.running.add(running)
        running.add_done_callback(self.running.discard)
        return Running(task, pin)


def _asked(request: request_types.Request) -> str:
    if isinstance(request, request_types.ChatRequest):
        return request.model
    return request.call.key


def _tell_of_key(
    request: request_types.Request, refusal: refusals.Refusal
) -> refusals.Refusal:
    """Adds that earlier attempts under the key may have run, if not known."""
    has_key = request.envelope.idempotency_key is not None
    if has_key and refusal.key_outcome is None:
        return attrs.evolve(refusal, key_outcome=outcomes.Outcome.UNKNOWN)
    return refusal
