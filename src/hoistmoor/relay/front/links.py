"""How this host reaches backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import attrs

from hoistmoor.clients import dialect as dialect_lib
from hoistmoor.clients import exchange as exchange_lib
from hoistmoor.relay import suspension
from hoistmoor.relay.front import forwarding
from hoistmoor.relay.front import header_names
from hoistmoor.relay.front import server_ends

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration
    from hoistmoor.core.relay.course import messages
    from hoistmoor.core.relay.course import requests
    from hoistmoor.relay.front import admission

CONNECT_TIMEOUT = 0.3  # Seconds; a lost opening packet is sent again after 1.


@attrs.frozen
class BackendSessions:
    """Open connections to backend servers.

    A server may drop a kept connection at any moment, and a request that was
    on its way then may have run. So one that may run once only gets a new
    connection: where that fails, it certainly has not run.

    Attributes:
        kept: Keeps its connections for the next requests.
        fresh: Opens one for each request.
    """

    kept: aiohttp.ClientSession
    fresh: aiohttp.ClientSession

    def for_route(self, route: configuration.Route) -> aiohttp.ClientSession:
        """Returns the session for a route's requests."""
        return self.kept if route.may_run_again else self.fresh


@attrs.frozen
class Links:
    """How servers are reached.

    Attributes:
        sessions: Open connections to them.
        names: What headers are called.
        dialect: How servers name an attempt and decline it.
        ends: Tells which servers have ended.
        deadlines: Has timers count suspensions of the machine.
    """

    sessions: BackendSessions
    names: header_names.HeaderNames
    dialect: dialect_lib.Dialect
    ends: server_ends.ServerEnds
    deadlines: suspension.Deadlines

    def open_exchange(
        self,
        head: admission.Head,
        request: requests.RelayRequest,
        send: messages.Send,
        body: bytes,
        last_event: int | None,
        now: float,
    ) -> exchange_lib.Exchange:
        """Returns the exchange of an attempt; nothing is sent yet.

        Args:
            head: Head of the caller's request.
            request: The request.
            send: The attempt.
            body: Body of the caller's request.
            last_event: Newest event that the caller has; None for none.
            now: Steady time.
        """
        return exchange_lib.Exchange(
            self.sessions.for_route(request.route),
            exchange_lib.BackendRequest(
                method=head.method,
                url=f"http://{send.server.entry.address}{head.target}",
                attempt_id=request.request_id,
                headers=forwarding.to_server(
                    head.headers, self.names, request, send, last_event, now
                ),
                body=body,
            ),
            exchange_lib.Timeouts(
                total=max(0.0, send.deadline - now),
                connect=CONNECT_TIMEOUT,
                silence=send.patience,
            ),
            self.dialect,
        )
