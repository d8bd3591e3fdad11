"""Factories for the relay's types, for use in tests."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import attrs

from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.course import requests
from hoistmoor.core.relay.servers import server as server_lib

if TYPE_CHECKING:
    from collections.abc import Container

    from hoistmoor.core.relay.servers import fleet as fleet_lib

Kind = configuration.RouteKind

ROUTE = configuration.Route(
    name="look",
    host="shop.example",
    prefix="/look/",
    kind=Kind.IDEMPOTENT,
    timeout=2.0,
    target=0.1,
    priority=1,
    max_attempts=2,
    anonymous=False,
    resumable=False,
    longest_pause=0.0,
    sizes=(),
    shares=(configuration.ServiceShare("desk", 1.0),),
)
CONFIRM = attrs.evolve(
    ROUTE,
    name="confirm",
    prefix="/confirm/",
    kind=Kind.NON_IDEMPOTENT,
    max_attempts=1,
)
SIZES = ("small", "middle", "large")
CHAT = attrs.evolve(
    ROUTE,
    name="chat",
    prefix="/chat/",
    kind=Kind.STREAM,
    target=1.5,
    timeout=20.0,
    max_attempts=3,
    resumable=True,
    longest_pause=1.2,
    sizes=SIZES,
    shares=(configuration.ServiceShare("llm", 1.0),),
)
PROMPT = requests.Prompt(
    "*",
    tokens=1000,
    max_new_tokens=50,
    parts=(
        requests.PromptPart("a", 200),
        requests.PromptPart("b", 500),
        requests.PromptPart("own", 300),
    ),
)


def make_place(offset: int, era: int = 0) -> topics.Place:
    """Returns a position in a topic."""
    return topics.Place(era, offset)


def make_entry(server_id: str = "s0", **fields: Any) -> server_lib.ServerEntry:
    """Returns the registry entry of a server."""
    defaults = {
        "service": "desk",
        "address": "127.0.0.1:1",
        "version": "v1",
        "slots": 4,
    }
    return server_lib.ServerEntry(server_id, **{**defaults, **fields})


def make_host(
    number: int, zones: int = 6, *, forwards: bool = True
) -> replication.Host:
    """Returns the directory entry of a host."""
    return replication.Host(
        f"h{number}",
        f"z{number % zones}",
        f"10.0.0.{number % 250}:1",
        forwards=forwards,
    )


def make_request(
    route: configuration.Route = ROUTE, **fields: Any
) -> requests.RelayRequest:
    """Returns a request that arrived at 100 s with the route's timeout."""
    defaults: dict[str, Any] = {
        "request_id": "r1",
        "route": route,
        "service": route.shares[0].service,
        "account": "farm",
        "revision": 1,
        "arrived": 100.0,
        "deadline": 100.0 + route.timeout,
        "prompt": PROMPT if route.sizes else None,
        "model_costs": {"small": 0.1, "middle": 0.4, "large": 1.0},
    }
    return requests.RelayRequest(**{**defaults, **fields})


def ready_servers(
    fleet: fleet_lib.Fleet,
    service: str,
    versions: Container[str],
    excluded: Container[str],
    now: float,
    draw: float = 0.0,
) -> list[server_lib.ServerState]:
    """Returns the servers of a service that may receive new requests."""
    usable = fleet.eligible(service, now)
    return fleet.ready(usable, versions, excluded, now, draw)


def make_configuration(
    revision: int = 1,
    routes: tuple[configuration.Route, ...] = (ROUTE, CONFIRM, CHAT),
    **fields: Any,
) -> configuration.Configuration:
    """Returns a configuration with one client account."""
    defaults: dict[str, Any] = {
        "services": {
            "desk": configuration.Service("desk", 10),
            "llm": configuration.Service("llm", 10, has_engine=True),
        },
        "accounts": (
            configuration.ClientAccount("farm", frozenset({"key1", "key2"})),
        ),
    }
    return configuration.Configuration(
        revision, routes, **{**defaults, **fields}
    )
