"""HTTP endpoints for load balancers and operators: health, status, explain."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from aiohttp import web

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import identity
from hoistmoor.core import refusals
from hoistmoor.entry import limits_status
from hoistmoor.entry import responses

if TYPE_CHECKING:
    from hoistmoor.core.requests import decisions
    from hoistmoor.entry import components as components_lib
    from hoistmoor.entry import membership
    from hoistmoor.entry import operator_guard
    from hoistmoor.entry import readiness as readiness_lib
    from hoistmoor.entry import request_receiver as request_receiver_lib
    from hoistmoor.entry import table_follower

_NOT_READY = 503
_NOT_FOUND = 404
_JSON = "application/json"
_STATE_READY = "ready"
_STATE_STARTING = "starting"  # Backend servers have not been polled yet.


class AdminHandlers:
    """Reports the state of this host and explains its decisions."""

    def __init__(
        self,
        readiness: readiness_lib.Readiness,
        follower: table_follower.TableFollower,
        members: membership.MembershipTask,
        reception: request_receiver_lib.RequestReceiver,
        parts: components_lib.Components,
        guard: operator_guard.OperatorGuard,
    ) -> None:
        self._readiness = readiness
        self._follower = follower
        self._members = members
        self._reception = reception
        self._explanations = parts.explanations
        self._decision_log = parts.decision_log
        self._gate = parts.admission
        self._poller = parts.load_poller
        self._guard = guard
        self._status_views = {
            "own": self._own_status,
            "table": self._table_status,
        }

    def add_routes(self, application: web.Application) -> None:
        """Adds the routes for load balancers, other hosts and operators."""
        router = application.router
        router.add_get("/healthz", self.health)
        router.add_get("/readyz", self.ready)
        router.add_get("/peer-address", self.peer_address)
        guard = self._guard
        router.add_get("/status", guard.wrap(self.status))
        router.add_get("/explain/{request_id}", guard.wrap(self.explain))

    async def health(self, http: web.Request) -> web.Response:
        """Liveness check: succeeds as long as the process serves requests."""
        return web.Response(text="ok\n")

    async def ready(self, http: web.Request) -> web.Response:
        """Readiness check: tells whether to route new requests to this host."""
        checked = self._readiness.check()
        if isinstance(checked, refusals.Refusal):
            return web.Response(text=f"{checked.reason}\n", status=_NOT_READY)
        if not self._poller.initial_polls_done:
            return web.Response(text=f"{_STATE_STARTING}\n", status=_NOT_READY)
        return web.Response(text="ok\n")

    async def peer_address(self, http: web.Request) -> web.Response:
        """Returns the address for signed calls from other entry hosts."""
        own = self._members.own
        return responses.json_response({"peer_address": own.peer_address})

    async def status(self, http: web.Request) -> web.Response:
        """Returns what this host knows about itself and the other hosts.

        ``?part=own`` omits the other hosts, and ``?part=table`` returns only
        the state of the table. Tools that query every host use them to avoid
        fetching the same membership list from each.
        """
        view = self._status_views.get(http.query.get("part", ""))
        return responses.json_response((view or self._status)())

    def _status(self) -> dict[str, Any]:
        hosts = [_host_fields(host) for host in self._members.hosts()]
        return {**self._own_status(), "hosts": hosts}

    def _own_status(self) -> dict[str, Any]:
        own = self._members.own
        return {
            **self._table_status(),
            "failure_domain": own.failure_domain,
            "region": own.region,
            "address": own.http_address,
            "peer_address": own.peer_address,
            "table_freshness": str(self._members.freshness().why),
            "in_flight": len(self._reception.request_tasks),
            "explanations": len(self._explanations),
            "leaving_servers": list(self._members.leaving_servers()),
            "limits": limits_status.status_of(self._gate, self._gate.now()),
        }

    def _table_status(self) -> dict[str, Any]:
        checked = self._readiness.check()
        state = (
            _STATE_READY if self._poller.initial_polls_done else _STATE_STARTING
        )
        if isinstance(checked, refusals.Refusal):
            state = checked.reason.value
        return {
            "host": self._members.own.name,
            "incarnation": self._members.own.incarnation,
            "state": state,
            "table_revision": self._follower.revision,
        }

    async def explain(self, http: web.Request) -> web.Response:
        """Returns the decision that explains the result of a request."""
        request_id = http.match_info["request_id"]
        found = self._explanations.find(request_id)
        payload = codec.encode(found) if found else b""
        payload = payload or await self._fetch_from_peer(request_id)
        payload = payload or await self._find_in_log(request_id)
        if not payload:
            return responses.json_response(
                {"error": f"no decision on {request_id} is kept"}, _NOT_FOUND
            )
        return web.Response(body=payload, content_type=_JSON)

    async def find_decision(self, request_id: str) -> bytes:
        """Returns an encoded decision of this host to a peer, or nothing."""
        found: decisions.Decision | None
        found = self._explanations.find(request_id)
        return codec.encode(found) if found else b""

    async def _fetch_from_peer(self, request_id: str) -> bytes:
        """Fetches a decision from the host named in the request id."""
        try:
            parsed = identity.RequestId.parse(request_id)
            if parsed.incarnation.host == self._members.own.name:
                return b""
            peer = self._members.peer(parsed.incarnation.host)
            return await peer.find_decision(request_id)
        except (ValueError, errors.HoistmoorError):
            return b""

    async def _find_in_log(self, request_id: str) -> bytes:
        """Searches the log, in case the deciding host no longer runs."""
        try:
            found = await self._decision_log.find(request_id)
        except errors.HoistmoorError:
            return b""
        return codec.encode(found) if found else b""


def _host_fields(host: Any) -> dict[str, Any]:
    return {
        "host": host.name,
        "incarnation": host.incarnation,
        "state": host.state.name.lower(),
        "address": host.http_address,
        "failure_domain": host.failure_domain,
        "table_revision": host.table_revision,
    }
