"""State machine of one relayed request.

It guarantees that

* a non-idempotent request is sent again only if it certainly has not run,
* a refusal reports ``not_run`` only if no attempt can have run, and
* a response that was partly sent is never followed by another one.
"""

from __future__ import annotations

from functools import singledispatchmethod
import math
from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.answers import cascade
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.course import attempt_counts
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.servers import eligibility
from hoistmoor.core.relay.servers import runs

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.relay.placement import router as router_lib
    from hoistmoor.core.relay.servers import part_states
    from hoistmoor.core.relay.servers import server as server_lib

_State = outcomes.ExchangeState

# Read timeout of an attempt as a multiple of the target latency of the route,
# if the request may run again: another server can then still respond in time.
READ_TIMEOUT_FACTOR = 3.0
# Maximum read timeout of a stream as a fraction of the time left; the remainder
# is reserved for another server.
READ_TIMEOUT_FRACTION = 0.5
MIN_READ_TIMEOUT = 0.3  # Seconds, for routes with a very short target latency.
MIN_ATTEMPT_SECONDS = 0.02  # Seconds left that an attempt needs to be useful.

_REASON_BY_STATE = {
    _State.UNSENT: refusals.Reason.BACKEND_UNREACHABLE,
    _State.SENDING: refusals.Reason.BACKEND_CUT,
    _State.SENT: refusals.Reason.BACKEND_CUT,
    _State.ANSWERING: refusals.Reason.BACKEND_CUT,
    _State.ANSWERED: refusals.Reason.BACKEND_ERROR,
    _State.DECLINED: refusals.Reason.BACKEND_DECLINED,
}

# Statuses that tell callers that a request has not run and never will. Of a
# server's response they say so only if it also declines the request.
_PROMISES = frozenset({408, 421, 429, 503})
_MIN_FAILURE_STATUS = 500  # Lowest status code that counts as server failure.

# Conditions that exclude all servers and are reported to the caller.
_REASON_BY_BAR = {
    eligibility.IneligibilityReason.COLD: refusals.Reason.NO_CAPACITY,
    eligibility.IneligibilityReason.LEAVING: refusals.Reason.SERVERS_LEAVING,
    eligibility.IneligibilityReason.LIMITED: refusals.Reason.SERVERS_LIMITED,
    eligibility.IneligibilityReason.FULL: refusals.Reason.SERVERS_LIMITED,
    eligibility.IneligibilityReason.RESTING: refusals.Reason.SERVERS_RESTING,
    eligibility.IneligibilityReason.UNREACHABLE: (
        refusals.Reason.BACKEND_UNREACHABLE
    ),
}


class RelayMachine:
    """State of one request, from admission to its final response.

    Attributes:
        request: The relayed request.
        server: Backend server of the current or last attempt.
        model: Model requested in that attempt.
        sent: Number of attempts, including declined ones.
        may_have_run: Whether any attempt may have run.
    """

    def __init__(
        self,
        request: requests.RelayRequest,
        router: router_lib.Router,
        *,
        needs_room: bool = False,
    ) -> None:
        """Creates the state of an admitted request.

        Args:
            request: The request.
            router: Selects the backend servers.
            needs_room: Whether it has to be granted room before it is sent.
        """
        self.request = request
        self.server: server_lib.ServerState | None = None
        self.model = _first_model(request)
        self.sent = 0
        self.may_have_run = False
        self._router = router
        self._needs_room = needs_room
        self._counts = attempt_counts.AttemptCounts()
        self._has_begun = False  # Whether the caller has part of a response.
        self._is_final = False  # Whether that response cannot be replaced.
        self._escalating = False
        self._keeps_model = False  # Whether escalation is ruled out.
        self._excluded: frozenset[str] = frozenset()
        self._failed_versions: frozenset[str] = frozenset()
        self._is_probe = False  # Whether it tests quarantined prompt parts.
        self._detail = ""

    def handle(self, event: messages.Event, now: float) -> messages.Effect:
        """Processes an event and returns the action to perform.

        Args:
            event: Event that occurred.
            now: Monotonic time in seconds.
        """
        return self._on(event, now)

    @singledispatchmethod
    def _on(self, event: messages.Event, now: float) -> messages.Effect:
        raise NotImplementedError(type(event))

    @_on.register
    def _(self, event: messages.Started, now: float) -> messages.Effect:
        if not self._needs_room:
            return self._send(now, refusals.Reason.NO_CAPACITY)
        return self._check_quarantine(now) or messages.Wait()

    @_on.register
    def _(self, event: messages.RoomGranted, now: float) -> messages.Effect:
        return self._send(now, refusals.Reason.NO_CAPACITY)

    @_on.register
    def _(self, event: messages.RoomDenied, now: float) -> messages.Effect:
        self._detail = event.detail
        return self._fail(refusals.Reason.OVERLOADED, event.retry_after)

    @_on.register
    def _(self, event: messages.HeadArrived, now: float) -> messages.Effect:
        if self._has_begun or not 200 <= event.status < 300:
            return messages.Forward()
        larger = self._larger_model(event.confidence, now)
        if larger is None:
            return messages.Forward()
        self.model = larger
        self._escalating = True
        return messages.Discard()

    def _larger_model(self, confidence: float | None, now: float) -> str | None:
        request = self.request
        chooses_model = (
            request.prompt and request.prompt.model == cascade.ANY_MODEL
        )
        if (
            not chooses_model
            or self._keeps_model
            or not request.route.may_run_again
        ):
            return None
        if self._counts.runs + 1 >= request.route.max_attempts:
            return None
        largest = request.route.sizes[-1] if request.route.sizes else ""
        larger = cascade.escalation_target(
            request.route.sizes,
            self.model,
            confidence,
            self._router.expected_first_byte_delay(request, largest, now),
            request.arrived + request.route.target - now,
        )
        if larger is None or not self._router.may_retry(request, now):
            return None
        if self._router.next_eligibility(request, now) is not None:
            return None  # No server could run the larger model.
        return larger

    @_on.register
    def _(self, event: messages.AttemptEnded, now: float) -> messages.Effect:
        assert self.server is not None
        self._record_end(event)
        if self._is_final:
            return self._end_passed_on(event.state)
        if self._escalating:
            self._escalating = False
            return self._send(now, refusals.Reason.BACKEND_CUT)
        if event.state is _State.ANSWERED and not self._is_failure(event):
            return messages.Deliver()
        if event.state is _State.ANSWERED and not event.asks_rest:
            self._failed_versions |= {self.server.entry.version}
        can_deliver = (
            event.state is _State.ANSWERED
            and not self._has_begun
            and event.status not in _PROMISES
        )
        self._exclude_server(event)
        self._fall_back_to_small(event.state)
        if self._may_retry(event.state, now):
            effect = self._send(now, _REASON_BY_STATE[event.state])
            # The failure reported by the server is more useful to the caller
            # than a refusal because no other server was available.
            if isinstance(effect, messages.Send) or not can_deliver:
                return effect
        if can_deliver:
            return messages.Deliver()
        return self._fail(_REASON_BY_STATE[event.state])

    def _exclude_server(self, event: messages.AttemptEnded) -> None:
        assert self.server is not None
        if not event.may_use_server:
            self._excluded |= {self.server.entry.identity}
        self._detail = event.detail or f"status {event.status}"

    def _end_passed_on(self, state: outcomes.ExchangeState) -> messages.Effect:
        """Ends a response that the caller has got as it came."""
        if state is _State.ANSWERED:
            return messages.Deliver()
        return self._fail(_REASON_BY_STATE[state])

    def _fall_back_to_small(self, state: outcomes.ExchangeState) -> None:
        """Falls back to the smallest model if the largest does not respond.

        In the remaining time, the smallest model is more likely to respond.
        """
        if self._has_begun or state is not _State.SENT:
            return
        first = _first_model(self.request)
        if self.model != first:
            self.model = first
            self._keeps_model = True

    def _is_failure(self, event: messages.AttemptEnded) -> bool:
        """Returns whether a complete response counts as a failure.

        Once the caller has part of a response, only a successful response can
        provide the remaining part.
        """
        if self._has_begun:
            return not 200 <= event.status < 300
        return self.is_failure(event.status)

    @staticmethod
    def is_failure(status: int) -> bool:
        """Returns whether a response with a status is a server's failure.

        A request that a server has run must not be answered with a status that
        promises the opposite, whatever the server meant by it.
        """
        return status >= _MIN_FAILURE_STATUS or status in _PROMISES

    def _record_end(self, event: messages.AttemptEnded) -> None:
        outcome = outcomes.OUTCOME_BY_STATE[event.state]
        if outcome is not outcomes.Outcome.NOT_RUN:
            self.may_have_run = True
        # A request that merely happened to run on a server that ended is
        # not given up because of it.
        is_bystander = event.server_ended and not self._router.is_likely_cause(
            self.request
        )
        self._counts.record(event.state, is_bystander=is_bystander)

    def _check_quarantine(self, now: float) -> messages.Effect | None:
        """Returns the refusal of a request that crashes servers, or None."""
        fingerprint = self.request.fingerprint
        suspects = self._router.suspects
        if suspects.is_quarantined(fingerprint, now):
            self._detail = "servers that ran this request have crashed"
            left = suspects.remaining_quarantine(fingerprint, now)
            return self._fail(refusals.Reason.CRASHES_SERVERS, math.ceil(left))
        quarantine = self._router.part_quarantine(self.request, now)
        if quarantine is None or self._may_probe(quarantine, now):
            return None
        self._detail = "servers crashed on prompt part " + ", ".join(
            quarantine.quarantine.parts
        )
        left = quarantine.remaining(now)
        return self._fail(refusals.Reason.CRASHES_SERVERS, math.ceil(left))

    def _may_probe(
        self, quarantine: part_states.QuarantineState, now: float
    ) -> bool:
        """Returns whether the request is sent once, as a test of its parts."""
        if self.sent == 0 and self._router.claim_probe(quarantine, now):
            self._is_probe = True
            self._keeps_model = True  # A discarded response proves nothing.
        return self._is_probe and self.sent == 0

    def _may_retry(self, state: outcomes.ExchangeState, now: float) -> bool:
        request = self.request
        if request.deadline - now < MIN_ATTEMPT_SECONDS:
            return False
        if not self._counts.allows_another(request.route.max_attempts):
            return False
        # For retries, a complete error response counts as a partial response.
        reached = _State.ANSWERING if state is _State.ANSWERED else state
        if not outcomes.may_resend(reached, request.route.may_run_again):
            return False
        if not self._counts.has_arrived:
            return True
        return self._router.may_retry(request, now)

    @_on.register
    def _(self, event: messages.DeadlineReached, now: float) -> messages.Effect:
        outcome = outcomes.OUTCOME_BY_STATE[event.state]
        if outcome is outcomes.Outcome.UNKNOWN:
            self.may_have_run = True
        self._detail = "the time allowed is over"
        return self._fail(refusals.Reason.DEADLINE_EXCEEDED)

    @_on.register
    def _(self, event: messages.HostStopped, now: float) -> messages.Effect:
        outcome = outcomes.OUTCOME_BY_STATE[event.state]
        if outcome is not outcomes.Outcome.NOT_RUN:
            self.may_have_run = True
        self._detail = "this host stops"
        return self._fail(refusals.Reason.STOPPING)

    def record_response_started(self) -> None:
        """Records that the caller received part of the response."""
        self._has_begun = True

    def record_passed_on(self) -> None:
        """Records that the caller gets a response as it comes.

        It cannot be resumed, and no other one may follow.
        """
        self._has_begun = self._is_final = True

    def _send(self, now: float, reason: refusals.Reason) -> messages.Effect:
        refusal = self._check_quarantine(now)
        if refusal is not None:
            return refusal
        work_class = self._router.class_of(self.request, self.model)
        server = self._router.pick(
            self.request,
            self.model,
            work_class,
            self._excluded,
            self._failed_versions,
            now,
        )
        if server is None:
            return self._refuse_unavailable(reason, now)
        self._router.record_wait(self.request, self.model, now)
        send = messages.Send(
            server,
            self.model,
            work_class,
            self._router.begin_attempt(self.request, work_class, now),
            self.request.deadline,
            self._read_timeout(now),
            self._counts.has_arrived,
            runs.Run(self.request.fingerprint, parts=self.request.shared_parts),
            self._router.work_ahead(self.request, server, self.model, now),
            self._router.fleet.reachability.forwarder_for(server, now),
        )
        self._router.record_sent(self.request, send, now)
        self.sent += 1
        self.server = server
        return send

    def _refuse_unavailable(
        self, reason: refusals.Reason, now: float
    ) -> messages.Effect:
        """Refuses a request for which no server is available.

        It is refused immediately even if a server becomes available soon, as
        queued requests would delay those behind them.
        """
        outlook = self._router.next_eligibility(self.request, now)
        known = _REASON_BY_BAR.get(outlook.reason) if outlook else None
        if outlook is None or known is None:
            self._detail = self._detail or "no backend server is ready"
            return self._fail(reason)
        if reason is refusals.Reason.NO_CAPACITY:
            reason = known
        self._detail = self._detail or (
            f"of the backend servers the first to be ready is {outlook.reason}"
        )
        return self._fail(
            reason, self._router.retry_delay(outlook, self.request, now)
        )

    def _read_timeout(self, now: float) -> float | None:
        route = self.request.route
        is_last = self._counts.runs + 1 >= route.max_attempts
        if is_last or not route.may_run_again:
            return None
        if route.kind is configuration.RouteKind.STREAM:
            timeout = (
                max(route.target, route.longest_pause) * READ_TIMEOUT_FACTOR
            )
            left = self.request.deadline - now
            return min(
                timeout, max(MIN_READ_TIMEOUT, left * READ_TIMEOUT_FRACTION)
            )
        return max(MIN_READ_TIMEOUT, route.target * READ_TIMEOUT_FACTOR)

    def _fail(
        self, reason: refusals.Reason, wait: float | None = None
    ) -> messages.Effect:
        if self._has_begun:
            return messages.Abort(self._detail)
        outcome = outcomes.Outcome.NOT_RUN
        if self.may_have_run:
            outcome = outcomes.Outcome.UNKNOWN
        return messages.Refuse(
            refusals.Refusal(reason, outcome, self._detail, wait)
        )


def _first_model(request: requests.RelayRequest) -> str:
    if request.prompt is None:
        return ""
    if request.prompt.model != cascade.ANY_MODEL or not request.route.sizes:
        return request.prompt.model
    return cascade.first_size(request.route.sizes)
