"""HTTP handlers for callers' requests, readiness probes and metrics."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from aiohttp import web
import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.course import fingerprint
from hoistmoor.core.relay.course import retry_after
from hoistmoor.core.relay.memory import budget as budget_lib
from hoistmoor.relay.front import admission as admission_lib
from hoistmoor.relay.front import backend_connector as backend_connector_lib
from hoistmoor.relay.front import caller_response
from hoistmoor.relay.front import held_bytes
from hoistmoor.relay.front import host_end
from hoistmoor.relay.front import relay_task
from hoistmoor.relay.front import waiting_tasks

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.routing import hashing
    from hoistmoor.relay import state as state_lib


class BodyTooLargeError(Exception):
    """A request body exceeds the configured size limit."""


class NoMemoryError(Exception):
    """This host lacks memory for a request body.

    Attributes:
        refusal: Refusal of the request.
    """

    def __init__(self, refusal: refusals.Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class RequestHandler:
    """Handles callers' requests.

    Attributes:
        running: Tasks of the requests in progress.
        held: Bytes that are held for requests in progress.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        admission: admission_lib.Admission,
        links: backend_connector_lib.BackendConnector,
        draws: hashing.RandomGenerator,
    ) -> None:
        self.running: set[asyncio.Task[Any]] = set()
        self._state = state
        self._admission = admission
        self._links = links
        self._waiting = waiting_tasks.WaitingTasks(state)
        self._draws = draws
        self.held = held_bytes.HeldBytes(state, draws.random)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request."""
        task = asyncio.current_task()
        assert task is not None
        self.running.add(task)
        try:
            return await self._handle(request)
        finally:
            self.running.discard(task)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        head = admission_lib.RequestHead(
            method=request.method,
            target=request.raw_path,
            host=request.headers.get("Host", ""),
            headers=request.headers,
            arrived=self._state.clock(),
        )
        answer = caller_response.CallerResponse(
            request,
            keep_open=not self._state.draining,
            retry_after_for=self._wait_for,
        )
        admitted = self._admission.admit(head)
        if isinstance(admitted, refusals.Refusal):
            await self._skip_body(request)
            return await self._refuse(head, answer, admitted)
        holding = budget_lib.Holding(
            admitted.account, budget_lib.Purpose.REQUEST_BODY
        )
        try:
            return await self._relay(request, head, answer, admitted, holding)
        finally:
            self.held.resize(holding, 0)

    async def _relay(
        self,
        request: web.BaseRequest,
        head: admission_lib.RequestHead,
        answer: caller_response.CallerResponse,
        admitted: requests.RelayRequest,
        holding: budget_lib.Holding,
    ) -> web.StreamResponse:
        """Reads the body of an admitted request and runs it."""
        try:
            body = await self._read_body(request, holding)
        except NoMemoryError as error:
            return await self._refuse(head, answer, error.refusal)
        except asyncio.CancelledError:
            if not host_end.take_cancellation(self._state):
                raise
            answer.keep_open = False
            refusal = admission_lib.refuse_as_stopping()
            return await self._refuse(head, answer, refusal)
        except BodyTooLargeError as error:
            refusal = refusals.Refusal(
                refusals.Reason.BODY_TOO_LARGE,
                outcomes.Outcome.NOT_RUN,
                str(error),
            )
            return await self._refuse(head, answer, refusal)
        stopping = self._admission.check_stop(admitted)
        if stopping is not None:
            answer.keep_open = False
            return await self._refuse(head, answer, stopping)
        identified = attrs.evolve(
            admitted,
            fingerprint=fingerprint.of_request(
                head.method, head.host, head.target, admitted.account, body
            ),
        )
        self._state.router.record_request(identified, self._state.clock())
        task = relay_task.RelayTask(
            self._state,
            self._links,
            head,
            identified,
            body,
            answer,
            self.held,
            self._waiting,
        )
        return await task.run()

    async def _read_body(
        self, request: web.BaseRequest, holding: budget_lib.Holding
    ) -> bytes:
        """Reads a request body within the configured limit and the memory.

        A declared length is not held before it arrives: a caller that sends
        slowly would keep others out.
        """
        assert self._state.configuration is not None
        limit = self._state.configuration.limits.body_bytes
        declared = request.content_length or 0
        if declared > limit:
            raise BodyTooLargeError(f"a body may have {limit} bytes")
        self._check_memory(holding, declared)
        if "100-continue" in request.headers.get("Expect", "").lower():
            assert request.transport is not None
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not request.can_read_body:
            return b""
        parts = []
        size = 0
        async for data in request.content.iter_any():
            size += len(data)
            if size > limit:
                raise BodyTooLargeError(f"a body may have {limit} bytes")
            self._check_memory(holding, size)
            self.held.resize(holding, size)
            parts.append(data)
        return b"".join(parts)

    def _check_memory(self, holding: budget_lib.Holding, size: int) -> None:
        refusal = self.held.refuse_body(holding, size)
        if refusal is not None:
            raise NoMemoryError(refusal)

    def _wait_for(self, reason: refusals.Reason) -> float:
        return retry_after.delay_for_reason(
            reason, self._state.unavailable_duration(), self._draws.random()
        )

    async def _skip_body(self, request: web.BaseRequest) -> None:
        """Drains a refused request's body so that the caller sees the reply."""
        async for _ in request.content.iter_any():
            pass

    async def _refuse(
        self,
        head: admission_lib.RequestHead,
        answer: caller_response.CallerResponse,
        refusal: refusals.Refusal,
    ) -> web.StreamResponse:
        names = self._links.names
        self._state.counters.answers.labels(
            refusal.reason.value, refusal.outcome.value
        ).inc()
        self._state.log.write(
            "refused",
            id=head.headers.get(names.request_id, ""),
            path=head.path,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
            age=round(self._state.lease.age(self._state.clock()), 3),
        )
        try:
            return await answer.refuse(refusal)
        except ConnectionResetError:
            # The caller has left; the line says what it would have got.
            if answer.response is None:
                raise
            return answer.response


class ReadinessHandler:
    """Answers the load balancer's readiness probe."""

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._was_ready: bool | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Responds with 200 or 503, regardless of the path."""
        is_ready = self._state.is_ready()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._state.log_change(
                "readiness",
                ready=is_ready,
                age=round(self._state.lease.age(self._state.clock()), 3),
                read=sorted(self._state.topics_read),
            )
        return web.Response(status=200 if is_ready else 503)


class MetricsHandler:
    """Serves the metrics in the Prometheus text format."""

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Responds with all metrics."""
        return web.Response(
            body=self._state.counters.text(), content_type="text/plain"
        )
