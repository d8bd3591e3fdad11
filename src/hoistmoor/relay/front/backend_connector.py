"""Connections from this host to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import attrs

from hoistmoor.clients import dialect as dialect_lib
from hoistmoor.clients import exchange as exchange_lib
from hoistmoor.core.relay.links import notices
from hoistmoor.relay import suspension
from hoistmoor.relay.front import forwarding
from hoistmoor.relay.front import header_names
from hoistmoor.relay.front import server_end_detector
from hoistmoor.relay.links import forward_headers

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration
    from hoistmoor.core.relay.course import messages
    from hoistmoor.core.relay.course import requests
    from hoistmoor.relay.front import admission

CONNECT_TIMEOUT = 0.3  # Seconds; a lost SYN is retransmitted only after 1 s.


@attrs.frozen
class BackendSessions:
    """HTTP sessions for backend servers.

    A server may close a keep-alive connection at any time, and a request in
    flight at that moment may have run. A request that must not run twice
    therefore uses a new connection: if connecting fails, it has not run.

    Attributes:
        reusing: Session that reuses connections.
        fresh: Session that opens a connection for each request.
    """

    reusing: aiohttp.ClientSession
    fresh: aiohttp.ClientSession

    def for_route(self, route: configuration.Route) -> aiohttp.ClientSession:
        """Returns the session for a route's requests."""
        return self.reusing if route.may_run_again else self.fresh


@attrs.frozen
class BackendConnector:
    """Everything that is needed to send requests to backend servers.

    Attributes:
        sessions: HTTP sessions.
        names: Header names of the platform.
        dialect: How servers identify and decline an attempt.
        end_detector: Detects which servers have terminated.
        deadlines: Makes timeouts account for suspensions of the machine.
        forwarding_dialect: The same for hosts that forward an attempt.
    """

    sessions: BackendSessions
    names: header_names.HeaderNames
    dialect: dialect_lib.Dialect
    end_detector: server_end_detector.ServerEndDetector
    deadlines: suspension.SuspensionAwareTimeouts
    forwarding_dialect: dialect_lib.Dialect = attrs.field(init=False)

    @forwarding_dialect.default
    def _(self) -> dialect_lib.Dialect:
        return forward_headers.ForwardingDialect(
            **attrs.asdict(self.dialect, recurse=False)
        )

    def open_exchange(
        self,
        head: admission.RequestHead,
        request: requests.RelayRequest,
        send: messages.Send,
        body: bytes,
        last_event: int | None,
        now: float,
    ) -> exchange_lib.Exchange:
        """Creates the exchange of an attempt without sending anything.

        Args:
            head: Head of the caller's request.
            request: Admitted request.
            send: Decision that names the server and the model.
            body: Body of the caller's request.
            last_event: Id of the last event that the caller has received; None
                if there is none.
            now: Monotonic time.
        """
        headers = forwarding.to_server(
            head.headers, self.names, request, send, last_event, now
        )
        address = send.server.entry.address
        dialect = self.dialect
        seconds = max(0.0, send.deadline - now)
        if send.forwarder is not None:
            address = send.forwarder.address
            dialect = self.forwarding_dialect
            headers.update(_forwarding_headers(request, send, seconds, now))
        return exchange_lib.Exchange(
            self.sessions.for_route(request.route),
            exchange_lib.HttpRequest(
                method=head.method,
                url=f"http://{address}{head.target}",
                attempt_id=request.request_id,
                headers=headers,
                body=body,
            ),
            exchange_lib.Timeouts(
                total=seconds,
                connect=CONNECT_TIMEOUT,
                read=send.read_timeout,
            ),
            dialect,
        )


def _forwarding_headers(
    request: requests.RelayRequest,
    send: messages.Send,
    seconds: float,
    now: float,
) -> dict[str, str]:
    """Returns what the forwarding host needs to know.

    Args:
        request: Admitted request.
        send: Decision that names the server.
        seconds: Seconds until the deadline.
        now: Monotonic time.
    """
    known = notices.active(send.server, now)
    return {
        forward_headers.SERVER: send.server.entry.identity,
        forward_headers.REPEATABLE: str(int(request.route.may_run_again)),
        forward_headers.SECONDS: f"{seconds:.3f}",
        forward_headers.ACCOUNT: request.account,
        forward_headers.NOTICES: forward_headers.format_notices(known),
    }
