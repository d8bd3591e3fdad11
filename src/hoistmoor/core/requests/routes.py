"""Routing queries and result reports for each type of request."""

from __future__ import annotations

from functools import singledispatch
from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core.requests import messages
from hoistmoor.core.requests import request_types
from hoistmoor.core.routing import messages as routing
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from hoistmoor.core import refusals
    from hoistmoor.core.routing import router as router_lib

Judgement = routing.Accept | routing.Escalate

_MAX_DETACHED_SECONDS = 60.0  # For which a call may outlive its caller.


class Route(Protocol):
    """Queries the router on behalf of one request."""

    def choose(
        self, router: router_lib.Router, excluded: frozenset[str], now: float
    ) -> routing.Choice | refusals.Refusal:
        """Returns the backend server for the next attempt."""

    def servers_to_probe(
        self,
        router: router_lib.Router,
        choice: routing.Choice,
        excluded: frozenset[str],
        now: float,
    ) -> tuple[str, ...]:
        """Returns backend servers to probe for their load before dispatch."""

    def judge(
        self,
        router: router_lib.Router,
        choice: routing.Choice,
        metadata: messages.ResponseMetadata,
        now: float,
    ) -> Judgement:
        """Returns whether a held response is good enough."""

    def timeout(self, remaining: float) -> float:
        """Returns the timeout of an attempt, in seconds.

        Args:
            remaining: Seconds until the deadline of the request.
        """


@attrs.frozen
class ChatRoute:
    """Routes a chat request to a version and a backend server.

    Attributes:
        query: Query to the router, including the session's pin.
    """

    query: routing.RouteQuery

    def choose(
        self, router: router_lib.Router, excluded: frozenset[str], now: float
    ) -> routing.Choice | refusals.Refusal:
        """Returns the backend server for the next attempt."""
        return router.choose(self.query, excluded, now)

    def servers_to_probe(
        self,
        router: router_lib.Router,
        choice: routing.Choice,
        excluded: frozenset[str],
        now: float,
    ) -> tuple[str, ...]:
        """Returns a few servers if the load reports of the pool are stale."""
        return router.servers_to_probe(choice, excluded, now)

    def judge(
        self,
        router: router_lib.Router,
        choice: routing.Choice,
        metadata: messages.ResponseMetadata,
        now: float,
    ) -> Judgement:
        """Returns whether a held response is good enough."""
        response = routing.AnswerFacts(
            metadata.confidence, metadata.finish_reason, metadata.output_tokens
        )
        return router.judge(self.query, choice, response, now)

    def timeout(self, remaining: float) -> float:
        """Returns ``remaining``: a late response is of no use to callers."""
        return max(0.0, remaining)


@attrs.frozen
class CallRoute:
    """Routes a call of a plain service to a backend server.

    Attributes:
        call: Row of the table for this call.
    """

    call: model.Call

    def choose(
        self, router: router_lib.Router, excluded: frozenset[str], now: float
    ) -> routing.Choice | refusals.Refusal:
        """Returns the backend server for the next attempt."""
        chosen = router.choose_server(self.call.service, excluded, now)
        if isinstance(chosen, routing.Choice):
            return attrs.evolve(chosen, version=self.call.key)
        return chosen

    def servers_to_probe(
        self,
        router: router_lib.Router,
        choice: routing.Choice,
        excluded: frozenset[str],
        now: float,
    ) -> tuple[str, ...]:
        """Returns none: the call would take less time than the probe."""
        return ()

    def judge(
        self,
        router: router_lib.Router,
        choice: routing.Choice,
        metadata: messages.ResponseMetadata,
        now: float,
    ) -> Judgement:
        """Accepts the response, as plain calls have no cascade."""
        return routing.Accept("a plain call has no cascade")

    def timeout(self, remaining: float) -> float:
        """Returns a timeout that is long enough to learn the outcome.

        An attempt that must not be repeated may outlive the deadline, so that
        its outcome can be reported later.
        """
        if self.call.idempotent:
            return max(0.0, remaining)
        return max(0.0, remaining) + _MAX_DETACHED_SECONDS


@singledispatch
def make_route(
    request: request_types.Request, pin: str | None, session: str
) -> Route:
    """Returns the route of a request.

    Args:
        request: The request.
        pin: Key of the version that the session is pinned to, if any.
        session: Name of the session; empty if there is none.
    """
    raise NotImplementedError(type(request))


@make_route.register
def _(
    request: request_types.ChatRequest, pin: str | None, session: str
) -> Route:
    envelope = request.envelope
    query = routing.RouteQuery(
        request_id=str(envelope.request_id),
        account=envelope.account,
        model=request.model,
        kind=request.kind,
        pin=pin,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        prefix=request.prefix,
        urgent=envelope.priority is model.Priority.URGENT,
        session=session,
    )
    return ChatRoute(query)


@make_route.register
def _(
    request: request_types.CallRequest, pin: str | None, session: str
) -> Route:
    return CallRoute(request.call)


def make_attempt_result(
    request: request_types.Request,
    choice: routing.Choice,
    metadata: messages.ResponseMetadata | None,
    *,
    ok: bool,
    declined: bool,
    cancelled: bool,
    seconds: float,
) -> routing.AttemptResult:
    """Returns the result of an attempt for the router.

    Args:
        request: The request.
        choice: The choice that the attempt was dispatched to.
        metadata: Metadata of the complete response; None if there is none.
        ok: Whether a complete response was received.
        declined: Whether the backend server reported that it did not run it.
        cancelled: Whether the attempt was cancelled by this host.
        seconds: Duration of the attempt, from dispatch to its end.
    """
    kind = (
        request.kind if isinstance(request, request_types.ChatRequest) else ""
    )
    return routing.AttemptResult(
        ok=ok,
        declined=declined,
        cancelled=cancelled,
        seconds=seconds,
        tokens=metadata.output_tokens if metadata else 0,
        kind=kind,
        confidence=metadata.confidence if metadata else None,
        prompt_tokens=metadata.prompt_tokens if metadata else 0,
        escalated=choice.escalated,
    )
