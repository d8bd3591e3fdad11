"""Records an exchange that this host forwards for another one.

What the server says, and how the exchange ends, counts like that of a request
of this host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.clients import exchange_errors
from hoistmoor.core.relay.answers import response_times
from hoistmoor.relay import response_errors
from hoistmoor.relay.front import attempt as attempt_lib
from hoistmoor.relay.front import server_reports

if TYPE_CHECKING:
    from hoistmoor.clients import exchange as exchange_lib
    from hoistmoor.core import outcomes
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.front import backend_connector as backend_connector_lib

_Outcome = response_times.AttemptOutcome


class ForwardedExchange:
    """Records a forwarded exchange as one of this host's own."""

    def __init__(
        self,
        state: state_lib.RelayState,
        connector: backend_connector_lib.BackendConnector,
        server: server_lib.ServerState,
    ) -> None:
        self._state = state
        self._connector = connector
        self._server = server
        self._sent_at = state.clock()
        self._status = 0
        self._requests_rest = False
        self._outcome = _Outcome.LEFT
        state.report_tracker.record_send(server)
        # The route, and so its target latency, is known to the other host.
        state.router.silences.record_sent(server, 0.0, self._sent_at)

    def record_head(self, head: exchange_lib.ResponseHead) -> None:
        """Applies what the server reports about itself."""
        self._status = head.status
        if head.status in self._connector.dialect.not_run_statuses:
            return
        names = self._connector.names
        report = server_reports.parse_report(head.status, head.headers, names)
        self._requests_rest = report.rest is not None
        self._state.report_tracker.apply_report(
            self._server,
            report,
            self._sent_at,
            is_success=head.status < 300 and names.signature in head.headers,
        )

    def record_error(self, error: exchange_errors.ExchangeError) -> None:
        """Records an exchange without a complete response."""
        response_errors.record(error, self._state, self._server)
        has_timed_out = isinstance(error, exchange_errors.BackendTimeoutError)
        self.record_end(error.state, has_timed_out=has_timed_out)

    def record_end(
        self, state: outcomes.ExchangeState, *, has_timed_out: bool = False
    ) -> None:
        """Records the end of the exchange."""
        self._outcome = attempt_lib.exchange_outcome(
            state,
            self._status,
            self._connector.dialect.not_run_statuses,
            requests_rest=self._requests_rest,
            has_timed_out=has_timed_out,
        )

    def close(self) -> None:
        """Applies the outcome; an abandoned exchange says nothing."""
        now = self._state.clock()
        router = self._state.router
        router.silences.record_end(self._server, self._outcome, now)
        if self._outcome is not _Outcome.UNREACHABLE:  # The link is diagnosed.
            router.record_exchange(self._server, self._outcome, now)
