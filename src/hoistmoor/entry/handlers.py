"""HTTP handlers of the API for callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from aiohttp import web

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.once import permits
from hoistmoor.core.requests import admission
from hoistmoor.core.requests import decisions
from hoistmoor.core.requests import parsing
from hoistmoor.core.requests import request_types
from hoistmoor.entry import delivery
from hoistmoor.entry import request_receiver as request_receiver_lib
from hoistmoor.entry import responses
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from hoistmoor.core import identity
    from hoistmoor.entry import components as components_lib
    from hoistmoor.entry import forwarding
    from hoistmoor.entry import request_reader as request_reader_lib

_LOG = logs.PartLogger("entry")

_Read = Callable[
    [web.Request, "request_reader_lib.Caller"], Awaitable[request_types.Request]
]


class CallerHandlers:
    """Handles callers' requests on one host."""

    def __init__(
        self,
        parts: components_lib.Components,
        intake: request_reader_lib.RequestReader,
        reception: request_receiver_lib.RequestReceiver,
        forwarder: forwarding.Forwarder,
    ) -> None:
        self._parts = parts
        self._intake = intake
        self._reception = reception
        self._forwarder = forwarder

    def add_routes(self, application: web.Application) -> None:
        """Adds the routes of the API for callers."""
        router = application.router
        router.add_post("/v1/chat/completions", self.chat)
        router.add_get("/v1/models", self.models)
        router.add_post("/v1/tickets", self.ticket)
        router.add_route("*", "/v1/services/{rest:.*}", self.call)

    async def chat(self, http: web.Request) -> web.StreamResponse:
        """Handles a chat completion request."""
        return await self._serve(http, self._intake.read_chat)

    async def call(self, http: web.Request) -> web.StreamResponse:
        """Handles a call to a service that is not a chat model."""
        return await self._serve(http, self._intake.read_call)

    async def models(self, http: web.Request) -> web.StreamResponse:
        """Lists the models that the caller may use."""
        request_id = self._intake.next_request_id()
        try:
            caller = self._intake.authenticate(http, request_id)
        except parsing.RefusedError as error:
            return self._refuse(error.refusal, request_id)
        table = caller.in_force.table
        account = caller.account.account
        rows = admission.granted_versions(table, account)
        data = [
            {"id": row.key, "object": "model", "owned_by": row.service}
            for row in rows
        ]
        return responses.json_response({"object": "list", "data": data})

    async def ticket(self, http: web.Request) -> web.StreamResponse:
        """Issues a ticket, an idempotency key that works without the log."""
        request_id = self._intake.next_request_id()
        try:
            caller = self._intake.authenticate(http, request_id)
        except parsing.RefusedError as error:
            return self._refuse(error.refusal, request_id)
        ticket = self._parts.once.issue_ticket(caller.account.account)
        return responses.json_response({"ticket": ticket}, status=201)

    async def _serve(
        self, http: web.Request, read: _Read
    ) -> web.StreamResponse:
        request_id = self._intake.next_request_id()
        self._parts.metrics.count("request.accepted")
        self._reception.track_handler()
        target = f"{http.method} {http.path}"
        decision = decisions.Decision.unauthenticated(str(request_id), target)
        try:
            caller = self._intake.authenticate(http, request_id)
            decision.account = caller.account.account
            decision.revision = caller.in_force.revision
            request = await read(http, caller)
        except parsing.RefusedError as error:
            self._reception.record_refusal(decision, error.refusal)
            return self._refuse(error.refusal, request_id)
        reply = await self._reception.receive(request, caller.in_force)
        return await self._reply(http, request, reply)

    async def _reply(
        self,
        http: web.Request,
        request: request_types.Request,
        reply: request_receiver_lib.ReceiveResult,
    ) -> web.StreamResponse:
        if isinstance(reply, request_receiver_lib.RunningRequest):
            running = delivery.Delivery(self._parts, reply, http)
            return await running.deliver()
        if isinstance(reply, permits.StoredAnswer):
            return _stored_response(reply)
        if isinstance(reply, permits.ForwardTo):
            return await self._forward(http, request, reply)
        return self._refuse(reply, request.envelope.request_id)

    async def _forward(
        self,
        http: web.Request,
        request: request_types.Request,
        target: permits.ForwardTo,
    ) -> web.StreamResponse:
        return await self._forwarder.forward(
            http,
            _body_of(request),
            request.envelope,
            target,
            self._parts.clock(),
        )

    def _refuse(
        self, refusal: refusals.Refusal, request_id: identity.RequestId
    ) -> web.Response:
        self._parts.metrics.refusal(refusal.reason)
        return responses.refusal_response(refusal, str(request_id))


def _body_of(request: request_types.Request) -> bytes:
    if isinstance(request, request_types.CallRequest):
        return request.body
    return request.raw


def _stored_response(answer: permits.StoredAnswer) -> web.Response:
    """Returns the stored response of an earlier request with the same key."""
    headers = {
        responses.REQUEST_ID_HEADER: answer.request_id,
        responses.OUTCOME_HEADER: outcomes.Outcome.DONE.value,
        responses.REASON_HEADER: "the key was used before: its stored answer",
        "Content-Type": answer.content_type,
    }
    return web.Response(body=answer.body, status=answer.status, headers=headers)


@web.middleware
async def error_middleware(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Converts unexpected exceptions of handlers to an internal refusal."""
    try:
        return await handler(request)
    except (web.HTTPException, ConnectionError):
        raise
    except Exception:
        _LOG.exception("Unhandled exception on %s", request.path)
        refusal = refusals.Refusal(
            refusals.Reason.INTERNAL, outcomes.Outcome.UNKNOWN
        )
        return responses.refusal_response(refusal, "")
