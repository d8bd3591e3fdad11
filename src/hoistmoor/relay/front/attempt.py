"""One attempt to forward a request, and its measurements of the server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import exchange as exchange_lib
from hoistmoor.core import outcomes
from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.links import forwarders
from hoistmoor.core.relay.versions import attempt_times

if TYPE_CHECKING:
    from collections.abc import Container

    from hoistmoor.core.relay.servers import server as server_lib

_State = outcomes.ExchangeState

# Seconds without a connection that show that none opens: nearly the timeout.
CONNECT_EVIDENCE_SECONDS = 0.25

# Seconds from the first part of a stream after which its server has not crashed
# on the request. Servers that do crash before any part.
SERVED_SECONDS = 0.3

_OUTCOMES = {
    _State.DECLINED: response_times.AttemptOutcome.FULL,
    _State.UNSENT: response_times.AttemptOutcome.UNREACHABLE,
    _State.SENT: response_times.AttemptOutcome.SILENT,
}
# Another host did not send the request.
_NOT_FORWARDED = frozenset(
    {
        forwarders.ForwardResult.UNREACHABLE,
        forwarders.ForwardResult.LINKS_LOST,
        forwarders.ForwardResult.BUSY,
        forwarders.ForwardResult.STOPPING,
        forwarders.ForwardResult.UNKNOWN_SERVER,
        forwarders.ForwardResult.UNSUPPORTED,
        forwarders.ForwardResult.SILENT,
        forwarders.ForwardResult.BARRED,
    }
)
# Results after which the server is not used for the request again, whichever
# host would send it.
_EXCLUDING = frozenset(
    {forwarders.ForwardResult.UNREACHABLE, forwarders.ForwardResult.BARRED}
)
# States in which a lost link can leave an attempt.
_CUT_STATES = frozenset({_State.SENDING, _State.SENT, _State.ANSWERING})
_MIN_FAILURE_STATUS = 500  # Lowest status code that counts as server failure.


def active_notices(
    server: server_lib.ServerState, now: float
) -> dict[str, str]:
    """Returns the server's notices against new requests, by kind."""
    notices = {}
    if server.limit.rate is not None:
        notices["limit"] = str(server.limit.rate)
    if server.departure.announced_at is not None:
        notices["leaving"] = (
            f"said {now - server.departure.announced_at:.3f}s before"
        )
    if server.rest.remaining(now):
        notices["rest"] = f"{server.rest.remaining(now):.3f}s left"
    return notices


def exchange_outcome(
    state: outcomes.ExchangeState,
    status: int,
    replaced: Container[int],
    *,
    requests_rest: bool,
    has_timed_out: bool,
) -> response_times.AttemptOutcome:
    """Returns the outcome of an exchange as it affects a server's health.

    Args:
        state: Final state of the exchange.
        status: Status code of the response; 0 without one.
        replaced: Status codes that mean that another server now has the
            address.
        requests_rest: Whether the server requested a back-off.
        has_timed_out: Whether the response did not start or go on in time.
    """
    if state is _State.DECLINED and status in replaced:
        return response_times.AttemptOutcome.REPLACED
    if requests_rest:
        return response_times.AttemptOutcome.FULL
    if state is _State.ANSWERED and status < _MIN_FAILURE_STATUS:
        return response_times.AttemptOutcome.WELL
    if state is _State.SENT and not has_timed_out:
        return response_times.AttemptOutcome.FAILED
    return _OUTCOMES.get(state, response_times.AttemptOutcome.FAILED)


@attrs.define
class Attempt:
    """One attempt at a backend server, and its measurements so far.

    Attributes:
        send: Decision that names the server and the model.
        started: Monotonic time at which the attempt started.
        exchange: HTTP exchange that carries the attempt.
        head: Head of the response; None until it has arrived.
        first: Monotonic time of a stream's first events; None until then.
        latest_event_at: Monotonic time of the latest events.
        longest_pause: Longest time in seconds between two arrivals of events.
        events_before: Events of the stream that earlier attempts delivered.
        body: Parts of a response that is not streamed.
        is_passed_on: Whether the caller gets the body as it comes, although it
            is not a stream.
        is_dropped: Whether it was abandoned in favor of a larger model.
        is_cut: Whether the connection closed before the response was complete.
        has_timed_out: Whether the response did not start or go on in time.
        is_invalid: Whether the response was not valid HTTP.
        detail: Description of the failure, for people.
        requests_rest: Whether the server requested a back-off with the
            response.
        forward_result: What the host did that was asked to forward the
            attempt; None if there is none, or it has not said.
        was_refused: Whether the connection was refused.
        forwarder_load: Requests that the forwarding host forwards.
        is_reached_by_others: Whether some other host reached the server.
        is_link_lost: Whether the attempt failed while this host could not
            connect to the server, so that the server is not to blame.
        notices: The server's notices against new requests at the time of the
            attempt, by kind.
        load: Load of the server at the time of the attempt.
        timed: Its times, if a rollout compares them.
    """

    send: messages.Send
    started: float
    exchange: exchange_lib.Exchange
    head: exchange_lib.ResponseHead | None = None
    first: float | None = None
    latest_event_at: float = 0.0
    longest_pause: float = 0.0
    events_before: int = 0
    body: list[bytes] = attrs.field(factory=list)
    is_passed_on: bool = False
    is_dropped: bool = False
    is_cut: bool = False
    has_timed_out: bool = False
    is_invalid: bool = False
    detail: str = ""
    requests_rest: bool = False
    forward_result: forwarders.ForwardResult | None = None
    is_link_lost: bool = False
    was_refused: bool = False
    forwarder_load: int = 0
    is_reached_by_others: bool = False
    notices: dict[str, str] = attrs.field(factory=dict)
    load: float = 0.0
    timed: attempt_times.TimedAttempt | None = None
    _is_proven: bool = False

    def proves_served(self) -> bool:
        """Returns once whether the stream has gone on for long enough.

        A server that crashes on a request does so as it begins to respond.
        """
        if self._is_proven or self.first is None:
            return False
        going_on_for = self.latest_event_at - self.first
        self._is_proven = going_on_for >= SERVED_SECONDS
        return self._is_proven

    def record_events(self, now: float) -> None:
        """Records the arrival of events of the stream."""
        if self.first is None:
            self.first = now
        else:
            self.longest_pause = max(
                self.longest_pause, now - self.latest_event_at
            )
        self.latest_event_at = now

    def record_delivered(self, events: int, now: float) -> None:
        """Records the number of events of the stream delivered so far.

        Args:
            events: Events by this attempt and by earlier ones.
            now: Monotonic time.
        """
        self.record_events(now)
        if self.timed is not None:
            self.timed.record_events(events - self.events_before, now)

    def record_end(self, state: outcomes.ExchangeState, now: float) -> None:
        """Records the end of the attempt for a rollout that compares it."""
        if self.timed is None:
            return
        is_served = (
            state is _State.ANSWERED and self.status < _MIN_FAILURE_STATUS
        )
        self.timed.record_end(now, is_served=is_served)

    def latency_summary(self) -> str:
        """Returns a stream's time to first event and longest pause."""
        if self.first is None:
            return ""
        first = self.first - self.started
        return f" first {first:.3f}s pause {self.longest_pause:.3f}s"

    @property
    def status(self) -> int:
        """HTTP status code of the response; 0 without one."""
        return self.head.status if self.head else 0

    def outcome(
        self, state: outcomes.ExchangeState, replaced: Container[int]
    ) -> response_times.AttemptOutcome:
        """Returns the outcome as it affects the health of the server.

        Args:
            state: Final state of the exchange.
            replaced: Status codes that mean that another server now has the
                address.
        """
        if self.is_dropped:
            return response_times.AttemptOutcome.WELL
        if self.was_not_forwarded:
            is_unreachable = (
                self.forward_result is forwarders.ForwardResult.UNREACHABLE
                and not self.is_reached_by_others
            )
            return (
                response_times.AttemptOutcome.UNREACHABLE
                if is_unreachable
                else response_times.AttemptOutcome.NOT_FORWARDED
            )
        found = exchange_outcome(
            state,
            self.status,
            replaced,
            requests_rest=self.requests_rest,
            has_timed_out=self.has_timed_out,
        )
        is_cut_off = self.is_link_lost and state in _CUT_STATES
        if is_cut_off and not self.requests_rest:
            return response_times.AttemptOutcome.LEFT
        return found

    def proves_unreachable(self, now: float) -> bool:
        """Returns whether an unsent attempt shows that no connection opens.

        One that ended with its request's time does not.
        """
        waited = now - self.started
        return self.was_refused or waited >= CONNECT_EVIDENCE_SECONDS

    @property
    def was_not_forwarded(self) -> bool:
        """Whether another host did not send the request on."""
        return self.forward_result in _NOT_FORWARDED

    @property
    def may_use_server(self) -> bool:
        """Whether another attempt may use the same server."""
        return self.was_not_forwarded and (
            self.forward_result not in _EXCLUDING
            or (
                self.forward_result is forwarders.ForwardResult.UNREACHABLE
                and self.is_reached_by_others
            )
        )

    def measure(
        self,
        state: outcomes.ExchangeState,
        now: float,
        target: float,
        events: int,
    ) -> response_times.ResponseTiming | None:
        """Returns a measurement of the server's version, or None.

        A response that was cut off is not counted, since the server may have
        died for reasons unrelated to its version. Neither is a response that
        requests a back-off. One that is not valid counts as a failure.

        Args:
            state: Final state of the exchange.
            now: Monotonic time.
            target: Seconds that the route allows for the first part.
            events: Events of the stream that this attempt delivered.
        """
        duration = now - self.started
        is_silent = state is _State.SENT and duration > target
        is_complete = state is _State.ANSWERED
        if (
            not (is_complete or is_silent or self.is_dropped or self.is_invalid)
            or self.requests_rest
            or (self.is_link_lost and not is_complete)
        ):
            return None
        first = self.first or now
        return response_times.ResponseTiming(
            self.send.model,
            first - self.started,
            duration,
            events if is_complete else 0,
            self.is_invalid or self.status >= _MIN_FAILURE_STATUS,
            is_whole=is_complete,
            is_silent=is_silent,
        )

    def summary(self, state: outcomes.ExchangeState, now: float) -> str:
        """Returns a one-line summary for the event log."""
        entry = self.send.server.entry
        notices = "".join(
            f" {kind} {text}" for kind, text in self.notices.items()
        )
        forwarder = self.send.forwarder
        path = f" through {forwarder.name}" if forwarder else ""
        return (
            f"{entry.server_id} {entry.version} {self.send.model}{path}"
            f" {state.name.lower()} {self.status}"
            f" {now - self.started:.3f}s{self.latency_summary()}{notices}"
            f" {self.detail}"
        )
