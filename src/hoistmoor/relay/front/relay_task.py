"""Forwards an admitted request in successive attempts until it completes."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from hoistmoor.clients import exchange as exchange_lib
from hoistmoor.clients import exchange_errors
from hoistmoor.core import framing
from hoistmoor.core import outcomes
from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.answers import streams
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.links import forwarders
from hoistmoor.core.relay.memory import budget as budget_lib
from hoistmoor.relay import response_errors
from hoistmoor.relay.front import attempt as attempt_lib
from hoistmoor.relay.front import header_values
from hoistmoor.relay.front import host_end
from hoistmoor.relay.front import request_log
from hoistmoor.relay.front import server_reports
from hoistmoor.relay.links import forward_headers

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from aiohttp import web

    from hoistmoor.core.relay.course import requests
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.front import admission
    from hoistmoor.relay.front import backend_connector as backend_connector_lib
    from hoistmoor.relay.front import caller_response
    from hoistmoor.relay.front import held_bytes
    from hoistmoor.relay.front import waiting_tasks

_State = outcomes.ExchangeState

# Final states in which the server no longer works on the request.
_FINISHED = frozenset({_State.UNSENT, _State.ANSWERED, _State.DECLINED})

# Seconds that a caller has at least to read the rest of a complete response.
MIN_END_SECONDS = 0.2
# Seconds after its deadline at which an attempt ends if its caller does not
# read. The exchange with the server ends by itself before.
STALL_MARGIN = 0.1


class RelayTask:
    """Runs one admitted request on this host."""

    def __init__(
        self,
        state: state_lib.RelayState,
        links: backend_connector_lib.BackendConnector,
        head: admission.RequestHead,
        request: requests.RelayRequest,
        body: bytes,
        answer: caller_response.CallerResponse,
        held: held_bytes.HeldBytes,
        waiting: waiting_tasks.WaitingTasks,
    ) -> None:
        self._state = state
        self._links = links
        self._head = head
        self._request = request
        self._body = body
        self._answer = answer
        self._held = held
        self._held_body = budget_lib.Holding(
            request.account, budget_lib.Purpose.RESPONSE_BODY
        )
        self._waiting = waiting
        self._grant: waiting_tasks.Grant | None = None
        self._machine = machine_lib.RelayMachine(
            request, state.router, needs_room=state.router.waiting.is_enabled
        )
        self._sequence = streams.EventSequence(last_id=request.last_event)
        self._last_attempt: attempt_lib.Attempt | None = None
        self._current: attempt_lib.Attempt | None = None
        self._is_stream = request.route.kind is configuration.RouteKind.STREAM
        self._attempt_summaries: list[str] = []

    async def run(self) -> web.StreamResponse:
        """Runs the request and returns the response after sending it."""
        try:
            return await self._run_until_stop()
        except asyncio.CancelledError:
            self._log_caller_left()
            raise
        except ConnectionResetError:
            # The caller's connection closed while a response was written.
            if self._answer.response is None:
                raise
            self._log_caller_left()
            return self._answer.response
        finally:
            self._answer.close()
            self._held.resize(self._held_body, 0)

    async def _run_until_stop(self) -> web.StreamResponse:
        try:
            return await self._run()
        except asyncio.CancelledError:
            if not host_end.take_cancellation(self._state):
                raise
            return await self._end_with_host()

    async def _end_with_host(self) -> web.StreamResponse:
        """Sends the response of a request that outlasts this host."""
        state = _State.UNSENT
        if self._current is not None:
            state = self._current.exchange.state
            self._attempt_summaries.append(
                self._current.summary(state, self._now())
            )
        self._answer.keep_open = False
        effect = self._machine.handle(messages.HostStopped(state), self._now())
        if self._answer.response is not None:
            # Part of a response, or all of it, is on its way to the caller.
            effect = messages.Abort("this host stops")
        request_log.record_request_end(
            self._state, self._request, effect, self._attempt_summaries
        )
        return await self._finish(effect)

    def _log_caller_left(self) -> None:
        attempts = self._attempt_summaries
        current = self._current
        if current is not None:
            summary = current.summary(current.exchange.state, self._now())
            attempts = [*attempts, summary]
        request_log.record_caller_left(self._state, self._request, attempts)

    async def _run(self) -> web.StreamResponse:
        """Runs the request, once it has room."""
        effect = self._machine.handle(messages.Started(), self._now())
        if isinstance(effect, messages.Wait):
            effect = await self._run_with_room()
        else:
            effect = await self._run_attempts(effect)
        with host_end.delivering(self._state):
            response = await self._finish(effect)
        request_log.record_request_end(
            self._state, self._request, effect, self._attempt_summaries
        )
        return response

    async def _run_with_room(self) -> messages.Effect:
        """Makes attempts once there is room; returns the final effect."""
        grant = await self._waiting.acquire(self._request, self._machine.model)
        self._grant = grant
        if grant.summary:
            self._attempt_summaries.append(grant.summary)
        effect = self._machine.handle(grant.event, self._now())
        try:
            effect = await self._run_attempts(effect)
        finally:
            self._waiting.release(
                grant, is_success=isinstance(effect, messages.Deliver)
            )
        return effect

    async def _run_attempts(self, effect: messages.Effect) -> messages.Effect:
        """Makes attempts until the request completes or fails."""
        sessions = self._state.router.rollouts.sessions
        version = sessions.version_of(self._request.session, self._now())
        while isinstance(effect, messages.Send):
            request_log.log_session_version(
                self._state, self._request, effect, version
            )
            version = effect.server.entry.version
            effect = await self._attempt(effect)
        return effect

    def _now(self) -> float:
        return self._state.clock()

    async def _finish(self, effect: messages.Effect) -> web.StreamResponse:
        if isinstance(effect, messages.Deliver):
            if self._answer.response is not None:
                return await self._send_rest(self._answer.end())
            assert self._last_attempt is not None
            assert self._last_attempt.head is not None
            return await self._send_rest(
                self._answer.deliver(
                    self._last_attempt.head, b"".join(self._last_attempt.body)
                )
            )
        if isinstance(effect, messages.Refuse):
            return await self._answer.refuse(effect.refusal)
        return self._answer.abort()

    async def _send_rest(
        self, sending: Coroutine[Any, Any, web.StreamResponse]
    ) -> web.StreamResponse:
        """Sends the rest of a response, by the deadline if memory is bounded.

        Raises:
            ConnectionResetError: The caller did not read it.
        """
        if self._state.memory.limit is None:
            return await sending
        remaining = self._request.deadline - self._now()
        try:
            async with asyncio.timeout(max(MIN_END_SECONDS, remaining)):
                return await sending
        except TimeoutError:
            self._answer.abort()
            raise ConnectionResetError from None

    async def _attempt(self, send: messages.Send) -> messages.Effect:
        """Makes one attempt and returns the next effect."""
        attempt = self._open_attempt(send)
        outcome = response_times.AttemptOutcome.LEFT
        self._current = attempt
        state = attempt.exchange.state
        try:
            state = await self._exchange_until_deadline(attempt)
            state = await self._record_path(attempt, state)
            outcome = attempt.outcome(
                state, self._links.dialect.not_run_statuses
            )
            send.run.is_finished = state in _FINISHED
            send.run.is_cut = attempt.is_cut
        finally:
            attempt.record_end(state, self._now())
            attempt.exchange.cancel()
            if send.forwarder is not None:
                self._state.router.fleet.forwarders.record_end(
                    send.forwarder.name
                )
            self._state.router.record_outcome(
                self._request, send, outcome, self._now()
            )
        if state is _State.ANSWERED and 200 <= attempt.status < 300:
            self._state.router.suspects.record_completed(
                self._request.fingerprint, self._now()
            )
            self._state.record_served(self._request, send)
        self._current = None
        self._record_attempt(attempt, state)
        is_late = self._now() >= self._request.deadline
        if is_late and state is not _State.ANSWERED:
            return self._machine.handle(
                messages.DeadlineReached(state), self._now()
            )
        self._last_attempt = attempt
        return self._machine.handle(
            messages.AttemptEnded(
                state,
                attempt.status,
                attempt.detail,
                send.server.has_ended,
                attempt.requests_rest,
                attempt.may_use_server,
            ),
            self._now(),
        )

    async def _record_path(
        self, attempt: attempt_lib.Attempt, state: outcomes.ExchangeState
    ) -> outcomes.ExchangeState:
        """Records what an attempt tells about the path to its server.

        Returns:
            Final state of the attempt: unsent if another host that was to
            forward it did not.
        """
        server = attempt.send.server
        if attempt.send.forwarder is not None:
            state = self._record_forwarder(attempt, state)
        elif state is _State.UNSENT and attempt.proves_unreachable(self._now()):
            self._state.links.record_failed(
                server, was_refused=attempt.was_refused
            )
        if attempt.is_cut:
            await self._links.end_detector.has_ended(server)
        now = self._now()
        attempt.is_link_lost = (
            attempt.send.forwarder is None
            and not self._state.router.fleet.links.is_usable(server, now)
        )
        return state

    def _record_forwarder(
        self, attempt: attempt_lib.Attempt, state: outcomes.ExchangeState
    ) -> outcomes.ExchangeState:
        forwarder = attempt.send.forwarder
        assert forwarder is not None
        result = attempt.forward_result
        if result is None and (state is _State.UNSENT or attempt.is_cut):
            result = forwarders.ForwardResult.SILENT
            if state is _State.UNSENT:
                attempt.forward_result = result
        if result is None:
            return state
        self._state.links.record_answer(
            attempt.send.server, forwarder.name, result, attempt.forwarder_load
        )
        attempt.is_reached_by_others = (
            attempt.send.server.link.is_reached_by_others(self._now())
        )
        return _State.UNSENT if attempt.was_not_forwarded else state

    def _open_attempt(self, send: messages.Send) -> attempt_lib.Attempt:
        now = self._now()
        exchange = self._links.open_exchange(
            self._head,
            self._request,
            send,
            self._body,
            self._sequence.last_id if self._is_stream else None,
            now,
        )
        if self._grant is not None:
            self._waiting.set_cost(self._grant, self._request, send.model)
        self._sequence.reset_buffer()
        if send.forwarder is not None:
            self._state.router.fleet.forwarders.record_sent(send.forwarder.name)
        self._state.report_tracker.record_send(send.server)
        notices = attempt_lib.active_notices(send.server, now)
        for kind in notices:
            self._state.counters.sends_despite_notice.labels(kind).inc()
        return attempt_lib.Attempt(
            send,
            now,
            exchange,
            events_before=self._sequence.events,
            notices=notices,
            load=self._state.router.waiting.load_at(send.server, now),
            timed=self._state.router.begin_timing(self._request, send, now),
        )

    async def _exchange_until_deadline(
        self, attempt: attempt_lib.Attempt
    ) -> outcomes.ExchangeState:
        """Runs the exchange until its deadline and returns its final state.

        The exchange's own timer does not advance while the machine is
        suspended.
        """
        remaining = max(0.0, attempt.send.deadline - self._now())
        is_bounded = self._state.memory.limit is not None
        limit = remaining + STALL_MARGIN if is_bounded else None
        timer = asyncio.timeout(limit)
        with self._links.deadlines.track(timer, remaining):
            try:
                async with timer:
                    return await self._exchange(attempt)
            except TimeoutError:
                if not timer.expired():
                    raise
        attempt.has_timed_out = True
        attempt.detail = "the deadline passed during a suspension or a write"
        state = attempt.exchange.state
        return _State.ANSWERING if state is _State.ANSWERED else state

    async def _exchange(
        self, attempt: attempt_lib.Attempt
    ) -> outcomes.ExchangeState:
        """Runs the exchange and returns its final state."""
        try:
            async for part in attempt.exchange:
                await self._handle_part(attempt, part)
                if attempt.is_dropped:
                    return _State.ANSWERING
        except (
            exchange_errors.ExchangeError,
            streams.StreamOrderError,
        ) as error:
            attempt.detail = error.problem
            attempt.has_timed_out = isinstance(
                error, exchange_errors.BackendTimeoutError
            )
            attempt.was_refused = (
                isinstance(error, exchange_errors.BackendUnreachableError)
                and error.was_refused
            )
            attempt.is_cut = isinstance(
                error, exchange_errors.BackendDisconnectedError
            )
            attempt.is_invalid = attempt.send.forwarder is None and isinstance(
                error, exchange_errors.BackendInvalidResponseError
            )
            response_errors.record(error, self._state, attempt.send.server)
            state = attempt.exchange.state
            return _State.ANSWERING if state is _State.ANSWERED else state
        return attempt.exchange.state

    async def _handle_part(
        self, attempt: attempt_lib.Attempt, part: exchange_lib.ResponsePart
    ) -> None:
        if attempt.send.forwarder is None:
            self._state.record_heard(attempt.send.server)
        if isinstance(part, exchange_lib.ResponseHead):
            await self._handle_head(attempt, part)
        elif isinstance(part, exchange_lib.BodyChunk):
            await self._handle_data(attempt, part.data)
        elif self._is_passed_through(attempt) and self._sequence.has_partial:
            raise streams.StreamOrderError(
                "a stream ended within an event",
                "Request the remaining events from another backend server.",
            )

    async def _handle_head(
        self, attempt: attempt_lib.Attempt, head: exchange_lib.ResponseHead
    ) -> None:
        names = self._links.names
        if attempt.send.forwarder is not None:
            self._apply_forwarding(attempt, head)
        elif not attempt.exchange.is_reused:
            self._state.links.record_connected(attempt.send.server)
        is_barred = attempt.forward_result is forwarders.ForwardResult.BARRED
        if is_barred or not attempt.was_not_forwarded:
            self._apply_report(attempt, head)
        if attempt.was_not_forwarded:
            return
        if attempt.exchange.state is _State.DECLINED:
            attempt.detail = f"declined with {head.status}"
            attempt.head = head
            return
        self._check_authentic(attempt, head)
        attempt.head = head
        attempt.send.run.record_response_started(self._now())
        self._state.router.record_first_byte(
            self._request, attempt.send, self._now()
        )
        confidence = header_values.parse_confidence(
            head.headers.get(names.confidence)
        )
        if not self._is_stream and head.status < 300:
            self._record_delay(attempt)
        effect = self._machine.handle(
            messages.HeadArrived(head.status, confidence), self._now()
        )
        if isinstance(effect, messages.Discard):
            attempt.is_dropped = True
            attempt.detail = f"confidence {confidence}"

    def _apply_forwarding(
        self, attempt: attempt_lib.Attempt, head: exchange_lib.ResponseHead
    ) -> None:
        """Applies what the forwarding host says.

        Raises:
            BackendDisconnectedError: The server cut its connection.
        """
        result = forward_headers.parse_result(head.headers)
        attempt.forward_result = result
        attempt.forwarder_load = forward_headers.parse_load(head.headers)
        if attempt.was_not_forwarded:
            attempt.detail = f"not forwarded: {result.value}"
        if result is forwarders.ForwardResult.INTERRUPTED:
            raise exchange_errors.BackendDisconnectedError(
                attempt.exchange.state,
                "connection cut behind the forwarding host",
                "Check the outcome of the request before sending it again.",
            )

    def _apply_report(
        self, attempt: attempt_lib.Attempt, head: exchange_lib.ResponseHead
    ) -> None:
        """Applies the server's report, unless another server responded."""
        if head.status in self._links.dialect.not_run_statuses:
            return
        names = self._links.names
        report = server_reports.parse_report(head.status, head.headers, names)
        attempt.requests_rest = report.rest is not None
        self._state.report_tracker.apply_report(
            attempt.send.server,
            report,
            attempt.started,
            is_success=head.status < 300 and names.signature in head.headers,
        )

    def _check_authentic(
        self, attempt: attempt_lib.Attempt, head: exchange_lib.ResponseHead
    ) -> None:
        """Checks that a response was made by the server and is unmodified.

        Raises:
            BackendProtocolError: The response is encoded, or a success without
                a signature.
        """
        encoding = head.headers.get("Content-Encoding", "identity")
        signed = self._links.names.signature in head.headers
        if encoding == "identity" and (signed or head.status >= 300):
            return
        raise exchange_errors.BackendProtocolError(
            attempt.exchange.state,
            "the answer is not what the server made",
            "Retry on another backend server.",
        )

    def _is_passed_through(self, attempt: attempt_lib.Attempt) -> bool:
        """Returns whether a response is streamed to the caller."""
        head = attempt.head
        return self._is_stream and head is not None and head.status < 300

    async def _handle_data(
        self, attempt: attempt_lib.Attempt, data: bytes
    ) -> None:
        if not self._is_passed_through(attempt):
            attempt.send.run.record_part()
            await self._handle_plain_data(attempt, data)
            return
        events = self._sequence.feed(data)
        if not events:
            return
        attempt.send.run.record_part()
        if attempt.first is None:
            self._record_delay(attempt)
        attempt.record_delivered(self._sequence.events, self._now())
        if attempt.proves_served():
            self._state.record_served(self._request, attempt.send)
        if self._answer.response is None:
            assert attempt.head is not None
            await self._answer.start(
                attempt.head, self._open_buffer, is_resumable=True
            )
            self._machine.record_response_started()
        await self._answer.write(events)

    async def _handle_plain_data(
        self, attempt: attempt_lib.Attempt, data: bytes
    ) -> None:
        """Holds a part of a body, or passes it on once too much is held.

        Raises:
            BackendOversizeError: A failure, which another server's response
                may replace, is too large to hold.
        """
        if attempt.is_passed_on:
            await self._answer.write(data)
            return
        size = self._held_body.held + len(data)
        attempt.body.append(data)
        if self._held.may_hold(self._held_body, size):
            self._held.resize(self._held_body, size)
            return
        if self._machine.is_failure(attempt.status):
            raise exchange_errors.BackendOversizeError(
                attempt.exchange.state, framing.Place.FAILURE_BODY, size
            )
        await self._begin_passing_on(attempt)

    async def _begin_passing_on(self, attempt: attempt_lib.Attempt) -> None:
        """Sends what is held; the rest follows as the caller reads."""
        assert attempt.head is not None
        attempt.is_passed_on = True
        self._machine.record_passed_on()
        await self._answer.start(
            attempt.head, self._open_buffer, is_resumable=False
        )
        held, attempt.body = attempt.body, []
        self._held.resize(self._held_body, 0)
        for data in held:
            await self._answer.write(data)

    def _open_buffer(
        self, transport: asyncio.WriteTransport
    ) -> held_bytes.StreamBuffer:
        return self._held.open_stream(
            self._request.account,
            transport,
            is_resumable=self._request.route.may_run_again,
        )

    def _record_delay(self, attempt: attempt_lib.Attempt) -> None:
        self._state.router.waiting.record_response(
            self._request, attempt.load, self._now() - attempt.started
        )

    def _record_attempt(
        self, attempt: attempt_lib.Attempt, state: outcomes.ExchangeState
    ) -> None:
        self._state.counters.attempts.labels(state.name.lower()).inc()
        self._attempt_summaries.append(attempt.summary(state, self._now()))
        measured = attempt.measure(
            state,
            self._now(),
            self._request.route.target,
            self._sequence.events - attempt.events_before,
        )
        if measured is None:
            return
        change = self._state.router.record_response(
            self._request, attempt.send, measured, self._now()
        )
        if change is not None:
            self._state.report_tracker.log_speed(attempt.send.server, change)
            self._state.counters.speed_difference.labels(
                self._request.service
            ).set(change.difference)
