"""Validates and authenticates a request before it is forwarded."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.course import identifiers
from hoistmoor.core.relay.course import requests
from hoistmoor.relay.front import header_names
from hoistmoor.relay.front import header_values

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration as configuration_lib
    from hoistmoor.core.routing import hashing
    from hoistmoor.relay import state as state_lib

DEFAULT_DEADLINE = 60.0  # Seconds, for requests without a deadline header.
_MS = 1000.0


@attrs.frozen
class RequestHead:
    """Head of a caller's request.

    Attributes:
        method: HTTP method.
        target: Path and query as received, without decoding.
        host: Value of the Host header.
        headers: All headers.
        arrived: Monotonic time at which the head was read.
    """

    method: str
    target: str
    host: str
    headers: Mapping[str, str]
    arrived: float

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition("?")[0]


class Admission:
    """Decides which requests are admitted."""

    def __init__(
        self,
        state: state_lib.RelayState,
        names: header_names.HeaderNames,
        draws: hashing.RandomGenerator,
    ) -> None:
        self._state = state
        self._names = names
        self._draws = draws

    def admit(
        self, head: RequestHead
    ) -> requests.RelayRequest | refusals.Refusal:
        """Returns the admitted request, or the reason for its refusal."""
        if self._state.stopping:
            return refuse_as_stopping()
        config = self._state.configuration
        if config is None:
            return _refuse(refusals.Reason.NO_TABLE, "no configuration yet")
        request_id = head.headers.get(self._names.request_id, "")
        if not request_id:
            return _refuse(
                refusals.Reason.BAD_HEADER,
                f"{self._names.request_id} is missing",
            )
        return self._admit_with(config, head, request_id)

    def check_stop(
        self, request: requests.RelayRequest
    ) -> refusals.Refusal | None:
        """Returns the refusal of a complete request if this host stops."""
        if self._state.stopping:
            return refuse_as_stopping()
        stop = self._state.stop
        usual_duration = self._state.router.usual_duration(request)
        if stop is None or stop.has_time(usual_duration, self._state.clock()):
            return None
        return refuse_as_stopping()

    def _admit_with(
        self,
        config: configuration_lib.Configuration,
        head: RequestHead,
        request_id: str,
    ) -> requests.RelayRequest | refusals.Refusal:
        route = config.find_route(head.host, head.path)
        now = self._state.clock()
        lease = self._state.lease
        if route is None:
            # A newer configuration may define the route.
            if not lease.is_current(now):
                return self._refuse_as_stale()
            return _refuse(
                refusals.Reason.UNKNOWN_CALL, "no route has this host and path"
            )
        account = None
        if config.accounts is not None and not route.anonymous:
            if not lease.is_valid(now):
                return self._refuse_as_stale()
            account = config.find_account(self._key_of(head))
            if account is None:
                # A newer configuration may include the key.
                if not lease.is_current(now):
                    return self._refuse_as_stale()
                return _refuse(
                    refusals.Reason.WRONG_KEY, "the key belongs to no account"
                )
        return self._build_request(config, head, request_id, route, account)

    def _refuse_as_stale(self) -> refusals.Refusal:
        age = self._state.lease.age(self._state.clock())
        return _refuse(
            refusals.Reason.TABLE_STALE,
            f"the configuration was last known current {age:.1f} s ago",
        )

    def _key_of(self, head: RequestHead) -> str:
        scheme, _, key = head.headers.get("Authorization", "").partition(" ")
        return key.strip() if scheme == self._names.key_scheme else ""

    def _build_request(
        self,
        config: configuration_lib.Configuration,
        head: RequestHead,
        request_id: str,
        route: configuration_lib.Route,
        account: configuration_lib.ClientAccount | None,
    ) -> requests.RelayRequest | refusals.Refusal:
        headers, names = head.headers, self._names
        limit_ms = header_values.parse_number(headers.get(names.deadline_ms))
        time_limit = DEFAULT_DEADLINE if limit_ms is None else limit_ms / _MS
        if time_limit <= 0:
            return _refuse(refusals.Reason.DEADLINE_PAST, "no time is left")
        prompt = header_values.parse_prompt(
            headers.get(names.model),
            headers.get(names.tokens),
            headers.get(names.prefix),
        )
        service = self._draw_service(route)
        service_config = config.services.get(service)
        return requests.RelayRequest(
            request_id=request_id,
            route=route,
            service=service,
            account=account.name if account else "",
            revision=config.revision,
            arrived=head.arrived,
            deadline=head.arrived + min(time_limit, route.timeout),
            prompt=prompt,
            model_costs=service_config.model_costs if service_config else {},
            session=identifiers.bound(headers.get(names.session, "")),
            last_event=header_values.parse_event_id(
                headers.get(names.last_event)
            ),
            priority=_priority(route, account),
        )

    def _draw_service(self, route: configuration_lib.Route) -> str:
        total = sum(share.weight for share in route.shares)
        point = self._draws.random() * total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return route.shares[-1].service


def _priority(
    route: configuration_lib.Route,
    account: configuration_lib.ClientAccount | None,
) -> int:
    """Returns a request's priority; the account's overrides the route's."""
    if account is None or account.priority is None:
        return route.priority
    return account.priority


def refuse_as_stopping() -> refusals.Refusal:
    """Returns the refusal of a request that no server has got."""
    return _refuse(refusals.Reason.STOPPING, "this host stops")


def _refuse(reason: refusals.Reason, detail: str) -> refusals.Refusal:
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail)
