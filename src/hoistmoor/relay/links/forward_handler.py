"""Forwards requests of other hosts to servers that these cannot reach.

The other host has admitted the request and selected the server, and decides
about retries. This one passes the request on once, over its own link only, and
says whether it did. It keeps to what the server has announced to it, and
records the exchange as one of its own.
"""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from aiohttp import web
import attrs

from hoistmoor.clients import exchange as exchange_lib
from hoistmoor.clients import exchange_errors
from hoistmoor.core import outcomes
from hoistmoor.core.relay.links import forwarders
from hoistmoor.core.relay.links import notices
from hoistmoor.core.relay.memory import budget as budget_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.relay.front import backend_connector as backend_connector_lib
from hoistmoor.relay.front import forwarding
from hoistmoor.relay.front import server_reports
from hoistmoor.relay.links import forward_headers
from hoistmoor.relay.links import forwarded_exchange

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.front import held_bytes
    from hoistmoor.relay.links import link_monitor

# Requests of other hosts that are forwarded at once; bounds their memory.
MAX_FORWARDED = 256
# Seconds after the end of a request's time at which a stalled connection to the
# other host is closed. The exchange with the server ends by itself before.
STALL_MARGIN = 0.5
# Seconds that an exchange has at least; none would mean no bound.
MIN_SECONDS = 0.001
NOT_SENT_STATUS = 503
INTERRUPTED_STATUS = 502

_Result = forwarders.ForwardResult
_MS = 1000.0


@attrs.frozen
class _NotSentError(Exception):
    """A request cannot be forwarded.

    Attributes:
        result: Reason.
    """

    result: forwarders.ForwardResult


@attrs.frozen
class _BarredError(Exception):
    """The server has announced to this host what bars a request.

    Attributes:
        server: The server.
    """

    server: server_lib.ServerState


class ForwardHandler:
    """Handles requests that other hosts ask this one to forward.

    Attributes:
        running: Tasks of the requests in progress.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        connector: backend_connector_lib.BackendConnector,
        monitor: link_monitor.LinkMonitor,
        held: held_bytes.HeldBytes,
    ) -> None:
        self.running: set[asyncio.Task[Any]] = set()
        self._state = state
        self._connector = connector
        self._monitor = monitor
        self._held = held

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a question, or forwards a request."""
        if forward_headers.QUESTION in request.headers:
            return await self._answer_question(request)
        task = asyncio.current_task()
        assert task is not None
        self.running.add(task)
        try:
            return await self._handle(request)
        finally:
            self.running.discard(task)

    async def _answer_question(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        identity = request.headers[forward_headers.QUESTION]
        server = self._state.router.fleet.find(identity)
        result = _Result.UNKNOWN_SERVER
        if server is not None:
            result = await self._monitor.diagnose(server)
        return web.Response(headers=self._result_headers(result))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        began = self._state.clock()
        holding = budget_lib.Holding(
            request.headers.get(forward_headers.ACCOUNT, ""),
            budget_lib.Purpose.REQUEST_BODY,
        )
        seconds = float(request.headers[forward_headers.SECONDS])
        try:
            async with asyncio.timeout(seconds + STALL_MARGIN):
                server = await self._find_server(request)
                body = await self._read_body(request, holding)
                self._check_notices(request, server)
                exchange = self._open_exchange(
                    request, server, body, self._state.clock() - began
                )
                return await self._forward(request, server, exchange)
        except _BarredError as error:
            return self._barred(request, error.server)
        except _NotSentError as error:
            return self._not_sent(request, error.result)
        except (TimeoutError, ConnectionResetError):
            # The other host has stopped reading or sending, or has left.
            self._count(_Result.INTERRUPTED)
            return self._abort(request)
        finally:
            self._held.resize(holding, 0)

    def _abort(self, request: web.BaseRequest) -> web.StreamResponse:
        """Closes the connection, which marks a response as incomplete."""
        response = web.StreamResponse(status=INTERRUPTED_STATUS)
        response.force_close()
        if request.transport is not None:
            request.transport.abort()
        return response

    async def _find_server(
        self, request: web.BaseRequest
    ) -> server_lib.ServerState:
        """Returns the server that a request is for.

        Raises:
            _NotSentError: This host cannot forward the request.
        """
        state = self._state
        if state.draining:
            raise _NotSentError(_Result.STOPPING)
        if len(self.running) > MAX_FORWARDED or state.configuration is None:
            raise _NotSentError(_Result.BUSY)
        fleet = state.router.fleet
        server = fleet.find(request.headers[forward_headers.SERVER])
        if server is None:
            raise _NotSentError(_Result.UNKNOWN_SERVER)
        if fleet.links.lost_since is not None:
            raise _NotSentError(_Result.LINKS_LOST)
        if server.link.is_closed(state.clock()):
            # Hosts lose their links together, and may not know it yet.
            result = await self._monitor.diagnose(server)
            if result is not _Result.REACHABLE:
                raise _NotSentError(result)
        return server

    async def _read_body(
        self, request: web.BaseRequest, holding: budget_lib.Holding
    ) -> bytes:
        assert self._state.configuration is not None
        limit = self._state.configuration.limits.body_bytes
        parts = []
        size = 0
        async for data in request.content.iter_any():
            size += len(data)
            is_refused = self._held.refuse_body(holding, size) is not None
            if size > limit or is_refused:
                raise _NotSentError(_Result.BUSY)
            self._held.resize(holding, size)
            parts.append(data)
        return b"".join(parts)

    def _check_notices(
        self, request: web.BaseRequest, server: server_lib.ServerState
    ) -> None:
        """Checks that a request is within what the server has announced.

        Raises:
            _BarredError: It is not.
            _NotSentError: It is not, and the other host would not understand
                why.
        """
        known = forward_headers.parse_notices(request.headers)
        now = self._state.clock()
        if not notices.prohibits_forwarding(server, known, now):
            return
        if forward_headers.NOTICES not in request.headers:
            raise _NotSentError(_Result.BUSY)
        raise _BarredError(server)

    async def _forward(
        self,
        request: web.BaseRequest,
        server: server_lib.ServerState,
        exchange: exchange_lib.Exchange,
    ) -> web.StreamResponse:
        record = forwarded_exchange.ForwardedExchange(
            self._state, self._connector, server
        )
        response: web.StreamResponse | None = None
        try:
            async for part in exchange:
                self._state.record_heard(server)
                if isinstance(part, exchange_lib.ResponseHead):
                    if not exchange.is_reused:
                        self._state.links.record_connected(server)
                    record.record_head(part)
                    response = await self._begin(request, part)
                elif isinstance(part, exchange_lib.BodyChunk):
                    assert response is not None
                    await response.write(part.data)
            record.record_end(exchange.state)
        except exchange_errors.ExchangeError as error:
            record.record_error(error)
            return await self._fail(request, server, response, error)
        finally:
            exchange.cancel()
            record.close()
        assert response is not None
        await response.write_eof()
        self._count(_Result.SENT)
        return response

    def _open_exchange(
        self,
        request: web.BaseRequest,
        server: server_lib.ServerState,
        body: bytes,
        elapsed: float,
    ) -> exchange_lib.Exchange:
        """Creates the exchange with the server without sending anything.

        Args:
            request: Request of the other host.
            server: The server.
            body: Body of the request.
            elapsed: Seconds since the request arrived here, by which the time
                left is shorter than the other host has written.
        """
        names = self._connector.names
        headers = forwarding.without_hop(request.headers)
        seconds = float(request.headers[forward_headers.SECONDS]) - elapsed
        milliseconds = int(headers[names.deadline_ms]) - int(elapsed * _MS)
        headers[names.deadline_ms] = str(max(1, milliseconds))
        is_repeatable = request.headers.get(forward_headers.REPEATABLE) == "1"
        sessions = self._connector.sessions
        return exchange_lib.Exchange(
            sessions.reusing if is_repeatable else sessions.fresh,
            exchange_lib.HttpRequest(
                method=request.method,
                url=f"http://{server.entry.address}{request.raw_path}",
                attempt_id=request.headers.get(names.request_id, ""),
                headers=headers,
                body=body,
            ),
            exchange_lib.Timeouts(
                total=max(MIN_SECONDS, seconds),
                connect=backend_connector_lib.CONNECT_TIMEOUT,
            ),
            self._connector.dialect,
        )

    async def _begin(
        self, request: web.BaseRequest, head: exchange_lib.ResponseHead
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            status=head.status, headers=forwarding.without_hop(head.headers)
        )
        response.headers.update(self._result_headers(_Result.SENT))
        response.enable_chunked_encoding()
        await response.prepare(request)
        return response

    async def _fail(
        self,
        request: web.BaseRequest,
        server: server_lib.ServerState,
        response: web.StreamResponse | None,
        error: exchange_errors.ExchangeError,
    ) -> web.StreamResponse:
        """Ends a request without a complete response of the server."""
        if error.state is outcomes.ExchangeState.UNSENT:
            result = await self._monitor.diagnose(server)
            if result is _Result.REACHABLE:
                result = _Result.BUSY  # The connection failed by chance.
            raise _NotSentError(result) from error
        self._count(_Result.INTERRUPTED)
        if response is not None:
            return self._abort(request)
        return web.Response(
            status=INTERRUPTED_STATUS,
            headers=self._answer_headers(request, _Result.INTERRUPTED),
        )

    def _not_sent(
        self, request: web.BaseRequest, result: forwarders.ForwardResult
    ) -> web.Response:
        self._count(result)
        response = web.Response(
            status=NOT_SENT_STATUS,
            headers=self._answer_headers(request, result),
        )
        if request.content.is_eof():
            return response
        # What is left of the body must not be read as the next request.
        response.force_close()
        return response

    def _barred(
        self, request: web.BaseRequest, server: server_lib.ServerState
    ) -> web.Response:
        """Refuses a request with what its server has announced."""
        response = self._not_sent(request, _Result.BARRED)
        response.headers.update(
            server_reports.announcement_headers(
                server, self._connector.names, self._state.clock()
            )
        )
        return response

    def _answer_headers(
        self, request: web.BaseRequest, result: forwarders.ForwardResult
    ) -> dict[str, str]:
        name = self._connector.names.request_id
        request_id = request.headers.get(name, "")
        return {**self._result_headers(result), name: request_id}

    def _result_headers(
        self, result: forwarders.ForwardResult
    ) -> dict[str, str]:
        return {
            forward_headers.RESULT: result.value,
            forward_headers.LOAD: str(len(self.running)),
        }

    def _count(self, result: forwarders.ForwardResult) -> None:
        self._state.counters.forwarded.labels("done", result.value).inc()
