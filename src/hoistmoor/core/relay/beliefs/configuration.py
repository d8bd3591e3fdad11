"""What the operators have put in force for the relay: one revision of it."""

from __future__ import annotations

import enum
import functools

import attrs


class RouteKind(enum.StrEnum):
    """How often the requests of a route may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """Part of a route's requests that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Its weight against the route's other services.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests for a host and a path go, and what they are promised.

    Attributes:
        name: The operators' name for it.
        host: Value of the Host header, in lower case.
        prefix: Start of the path; begins and ends with a slash.
        kind: How often its requests may run.
        timeout: Seconds after which its requests get their final answer.
        target: Seconds to the answer, or to a stream's first event.
        priority: Rank; 0 is the most urgent.
        max_attempts: Backend servers that may run one request, at most.
        anonymous: Whether requests need no key.
        resumable: Whether a cut stream may go on at another server.
        longest_pause: Seconds between two events of a stream; 0 for no bound.
        sizes: Model sizes that may answer, smallest first; empty for none.
        shares: Services that its requests are spread over.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    target: float
    priority: int
    max_attempts: int
    anonymous: bool
    resumable: bool
    longest_pause: float
    sizes: tuple[str, ...]
    shares: tuple[ServiceShare, ...]

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class Service:
    """A group of backend servers that answer the same requests.

    Attributes:
        name: The operators' name for it.
        max_connections: Connections that one of its servers takes in all.
        has_engine: Whether its servers are model engines.
        model_costs: Cost of a thousand generated tokens, by model.
        warmup_duration: Seconds for which a server is cold after its start;
            0 if it is as good as any at once.
        warmup_rate: Requests a second that a cold server bears.
    """

    name: str
    max_connections: int
    has_engine: bool = False
    model_costs: dict[str, float] = attrs.field(factory=dict)
    warmup_duration: float = 0.0
    warmup_rate: float = 0.0


@attrs.frozen
class ClientAccount:
    """A client account and its keys.

    Attributes:
        name: The operators' name for it; backend servers are told it.
        keys: Keys that belong to it.
        priority: Rank that goes before the route's; None for the route's.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None


@attrs.frozen
class Limits:
    """What one caller may send, and how long it may take.

    Attributes:
        header_bytes: Size of a request's head.
        body_bytes: Size of a request's body.
        idle_timeout: Seconds that an unused connection is kept.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    idle_timeout: float = 15.0


@attrs.frozen(slots=False)  # Its look-ups are cached properties.
class Configuration:
    """One revision of what is in force.

    Attributes:
        revision: Rises with each change, not always by one.
        routes: In no order that matters.
        services: By name.
        accounts: Client accounts; empty where no request needs a key.
        limits: Bounds on what callers send.
    """

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: tuple[ClientAccount, ...] = ()
    limits: Limits = Limits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, if any fits.

        Args:
            host: Value of the Host header; case does not matter.
            path: Path without its query.
        """
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """Returns the client account that holds a key, if any does."""
        return self._accounts_by_key.get(key)

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return by_host

    @functools.cached_property
    def _accounts_by_key(self) -> dict[str, ClientAccount]:
        return {key: each for each in self.accounts for key in each.keys}
