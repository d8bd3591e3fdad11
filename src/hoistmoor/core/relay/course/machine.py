"""Carries one relayed request to its final answer.

It promises that a request which may run once only is sent again only while it
is certain that it has not run, that a refusal says ``not_run`` only if that
is so, and that an answer which has begun is never followed by another.
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
from hoistmoor.core.relay.servers import access
from hoistmoor.core.relay.servers import runs

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.relay.placement import router as router_lib
    from hoistmoor.core.relay.servers import server as server_lib

_State = outcomes.ExchangeState

# A silent server is given up after so many times the route's target, if the
# request may run again: the caller still gets its answer from another one.
PATIENCE_FACTOR = 3.0
# Part of the time left that a silent stream may take: the rest is for another.
PATIENCE_SHARE = 0.5
LEAST_PATIENCE = 0.3  # Seconds, for routes with a very short target.
LEAST_TIME = 0.02  # Seconds left under which an attempt makes no sense.

_REASON_BY_STATE = {
    _State.UNSENT: refusals.Reason.BACKEND_UNREACHABLE,
    _State.SENDING: refusals.Reason.BACKEND_CUT,
    _State.SENT: refusals.Reason.BACKEND_CUT,
    _State.ANSWERING: refusals.Reason.BACKEND_CUT,
    _State.ANSWERED: refusals.Reason.BACKEND_ERROR,
    _State.DECLINED: refusals.Reason.BACKEND_DECLINED,
}

# What may keep a request from all servers, where the caller is told of it.
_REASON_BY_BAR = {
    access.Bar.COLD: refusals.Reason.NO_CAPACITY,
    access.Bar.LEAVING: refusals.Reason.SERVERS_LEAVING,
    access.Bar.LIMITED: refusals.Reason.SERVERS_LIMITED,
    access.Bar.RESTING: refusals.Reason.SERVERS_RESTING,
}


class RelayMachine:
    """One request, from admission to its final answer.

    Attributes:
        request: What is wanted.
        server: Backend server of the attempt under way or last made.
        model: Model that it was asked for.
        sent: Attempts made, those that were declined included.
        may_have_run: Whether any attempt may have run.
    """

    def __init__(
        self, request: requests.RelayRequest, router: router_lib.Router
    ) -> None:
        self.request = request
        self.server: server_lib.ServerState | None = None
        self.model = _first_model(request)
        self.sent = 0
        self.may_have_run = False
        self._router = router
        self._counts = attempt_counts.AttemptCounts()
        self._begun = False  # Whether the caller has part of an answer.
        self._escalating = False
        self._settled = False  # Whether a small answer will do by now.
        self._excluded: frozenset[str] = frozenset()
        self._failed_versions: frozenset[str] = frozenset()
        self._detail = ""

    def handle(self, event: messages.Event, now: float) -> messages.Effect:
        """Takes an event in and returns what is to be done.

        Args:
            event: What happened.
            now: Steady time, in seconds.
        """
        return self._on(event, now)

    @singledispatchmethod
    def _on(self, event: messages.Event, now: float) -> messages.Effect:
        raise NotImplementedError(type(event))

    @_on.register
    def _(self, event: messages.Started, now: float) -> messages.Effect:
        return self._send(now, refusals.Reason.NO_CAPACITY)

    @_on.register
    def _(self, event: messages.HeadArrived, now: float) -> messages.Effect:
        if self._begun or not 200 <= event.status < 300:
            return messages.Pass()
        better = self._better_model(event.confidence, now)
        if better is None:
            return messages.Pass()
        self.model = better
        self._escalating = True
        return messages.Drop()

    def _better_model(self, confidence: float | None, now: float) -> str | None:
        request = self.request
        chooses = request.prompt and request.prompt.model == cascade.ANY_MODEL
        if not chooses or self._settled or not request.route.may_run_again:
            return None
        if self._counts.runs + 1 >= request.route.max_attempts:
            return None
        largest = request.route.sizes[-1] if request.route.sizes else ""
        better = cascade.next_size(
            request.route.sizes,
            self.model,
            confidence,
            self._router.expected_first(request, largest, now),
            request.arrived + request.route.target - now,
        )
        if better is None or not self._router.may_repeat(request, now):
            return None
        if self._router.outlook(request, now) is not None:
            return None  # Nobody could give the better one.
        return better

    @_on.register
    def _(self, event: messages.AttemptEnded, now: float) -> messages.Effect:
        assert self.server is not None
        self._note_end(event)
        if self._escalating:
            self._escalating = False
            return self._send(now, refusals.Reason.BACKEND_CUT)
        if event.state is _State.ANSWERED and not self._is_failure(event):
            return messages.Deliver()
        if event.state is _State.ANSWERED and not event.asks_rest:
            self._failed_versions |= {self.server.entry.version}
        can_deliver = event.state is _State.ANSWERED and not self._begun
        self._excluded |= {self.server.entry.identity}
        self._detail = event.detail or f"status {event.status}"
        self._settle_for_small(event.state)
        if self._may_try_again(event.state, now):
            effect = self._send(now, _REASON_BY_STATE[event.state])
            # A server's own failure tells a caller more than that no other
            # server could be asked.
            if isinstance(effect, messages.Send) or not can_deliver:
                return effect
        if can_deliver:
            return messages.Deliver()
        return self._give_up(_REASON_BY_STATE[event.state])

    def _settle_for_small(self, state: outcomes.ExchangeState) -> None:
        """Goes back to the smallest model where the largest stays silent.

        What time is left is better spent on an answer that comes.
        """
        if self._begun or state is not _State.SENT:
            return
        first = _first_model(self.request)
        if self.model != first:
            self.model = first
            self._settled = True

    def _is_failure(self, event: messages.AttemptEnded) -> bool:
        """Returns whether a whole answer is not what the caller waits for.

        Once the caller has a part of an answer, only the rest of it will do.
        """
        if self._begun:
            return not 200 <= event.status < 300
        return event.status >= 500

    def _note_end(self, event: messages.AttemptEnded) -> None:
        outcome = outcomes.OUTCOME_BY_STATE[event.state]
        if outcome is not outcomes.Outcome.NOT_RUN:
            self.may_have_run = True
        suspects = self._router.suspects
        # A request that merely ran where a server ended is not to be given up
        # for it.
        is_beside = event.server_ended and not suspects.is_likely_cause(
            self.request.fingerprint
        )
        self._counts.note(event.state, is_beside=is_beside)

    def _is_quarantined(self, now: float) -> bool:
        return self._router.suspects.is_quarantined(
            self.request.fingerprint, now
        )

    def _may_try_again(self, state: outcomes.ExchangeState, now: float) -> bool:
        request = self.request
        if request.deadline - now < LEAST_TIME:
            return False
        if not self._counts.allow_another(request.route.max_attempts):
            return False
        # A server's whole answer that it failed is no answer to the caller.
        reached = _State.ANSWERING if state is _State.ANSWERED else state
        if not outcomes.may_resend(reached, request.route.may_run_again):
            return False
        if not self._counts.has_arrived:
            return True
        return self._router.may_repeat(request, now)

    @_on.register
    def _(self, event: messages.DeadlineReached, now: float) -> messages.Effect:
        outcome = outcomes.OUTCOME_BY_STATE[event.state]
        if outcome is outcomes.Outcome.UNKNOWN:
            self.may_have_run = True
        self._detail = "the time allowed is over"
        return self._give_up(refusals.Reason.DEADLINE_EXCEEDED)

    def note_begun(self) -> None:
        """The caller got a part of the answer."""
        self._begun = True

    def _send(self, now: float, reason: refusals.Reason) -> messages.Effect:
        if self._is_quarantined(now):
            return self._refuse_quarantined(now)
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
            return self._refuse_unplaced(reason, now)
        send = messages.Send(
            server,
            self.model,
            work_class,
            self._router.begin_attempt(self.request, work_class, now),
            self.request.deadline,
            self._patience(now),
            self._counts.has_arrived,
            runs.Run(self.request.fingerprint),
        )
        self._router.note_sent(self.request, send, now)
        self.sent += 1
        self.server = server
        return send

    def _refuse_unplaced(
        self, reason: refusals.Reason, now: float
    ) -> messages.Effect:
        """Ends a request that no server may get now.

        It is refused at once, also where some server may soon: to wait here
        would only let others wait behind it.
        """
        outlook = self._router.outlook(self.request, now)
        known = _REASON_BY_BAR.get(outlook.bar) if outlook else None
        if outlook is None or known is None:
            self._detail = self._detail or "no backend server is ready"
            return self._give_up(reason)
        if reason is refusals.Reason.NO_CAPACITY:
            reason = known
        self._detail = self._detail or (
            f"of the backend servers the first to be ready is {outlook.bar}"
        )
        return self._give_up(
            reason, self._router.wait_until(outlook, self.request, now)
        )

    def _refuse_quarantined(self, now: float) -> messages.Effect:
        self._detail = "servers that ran this request have crashed"
        left = self._router.suspects.left_for(self.request.fingerprint, now)
        return self._give_up(refusals.Reason.CRASHES_SERVERS, math.ceil(left))

    def _patience(self, now: float) -> float | None:
        route = self.request.route
        last = self._counts.runs + 1 >= route.max_attempts
        if last or not route.may_run_again:
            return None
        if route.kind is configuration.RouteKind.STREAM:
            usual = max(route.target, route.longest_pause) * PATIENCE_FACTOR
            left = self.request.deadline - now
            return min(usual, max(LEAST_PATIENCE, left * PATIENCE_SHARE))
        return max(LEAST_PATIENCE, route.target * PATIENCE_FACTOR)

    def _give_up(
        self, reason: refusals.Reason, wait: float | None = None
    ) -> messages.Effect:
        if self._begun:
            return messages.Break(self._detail)
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
