"""One revision of the relay configuration, as set by the operators."""

from __future__ import annotations

import enum
import functools

import attrs


class RouteKind(enum.StrEnum):
    """Delivery semantics of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """Share of the requests of a route that is sent to one service.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Routing and service levels of requests for a host and path prefix.

    Attributes:
        name: Name given by the operators.
        host: Value of the Host header, in lower case.
        prefix: Path prefix; starts and ends with a slash.
        kind: Delivery semantics.
        timeout: Seconds within which a request gets its final response.
        target: Target latency in seconds to the response, or to the first
            event of a stream.
        priority: Default priority; 0 is the most urgent.
        max_attempts: Maximum number of backend servers that may run a request.
        anonymous: Whether requests need no API key.
        resumable: Whether an interrupted stream may be resumed at another
            backend server.
        longest_pause: Maximum seconds between two events of a stream; 0 for no
            limit.
        sizes: Models that may serve the request, smallest first; empty if the
            route has no models.
        shares: Services among which requests are distributed.
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
        """Whether a request that may already have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class Service:
    """A group of backend servers that serve the same requests.

    Attributes:
        name: Name given by the operators.
        max_connections: Maximum number of connections to one server, over all
            hosts.
        has_engine: Whether the servers are model inference engines.
        model_costs: Cost of a thousand generated tokens, by model.
        warmup_duration: Warm-up time of a server in seconds; 0 if it needs no
            warm-up.
        warmup_rate: Requests per second that a server can handle during its
            warm-up.
        memory_tokens: Tokens that the memory of one engine holds, for running
            requests and cached parts together; 0 if not known.
        health_path: Path at which a server that works responds at once; empty
            if there is none.
    """

    name: str
    max_connections: int
    has_engine: bool = False
    model_costs: dict[str, float] = attrs.field(factory=dict)
    warmup_duration: float = 0.0
    warmup_rate: float = 0.0
    memory_tokens: int = 0
    health_path: str = ""


@attrs.frozen
class ClientAccount:
    """A client account and its API keys.

    Attributes:
        name: Name given by the operators; forwarded to backend servers.
        keys: API keys of the account.
        priority: Overrides the priority of the route; None to use that of the
            route.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None


@attrs.frozen
class Limits:
    """Limits on callers' requests and connections.

    Attributes:
        header_bytes: Maximum size of the request headers.
        body_bytes: Maximum size of the request body.
        idle_timeout: Seconds after which an idle connection is closed.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    idle_timeout: float = 15.0


@attrs.frozen(slots=False)  # Lookup tables are cached properties.
class Configuration:
    """One revision of the configuration.

    Attributes:
        revision: Revision number; increases with each change, not necessarily
            by one.
        routes: Routes, in no particular order.
        services: Services by name.
        accounts: Client accounts; None if no route requires an API key. While
            there are none, no key is valid.
        limits: Limits on callers' requests and connections.
    """

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: tuple[ClientAccount, ...] | None = None
    limits: Limits = Limits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, if any.

        Args:
            host: Value of the Host header, in any case.
            path: Path without the query string.
        """
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """Returns the client account of an API key, if any."""
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
        return {
            key: account
            for account in self.accounts or ()
            for key in account.keys
        }
