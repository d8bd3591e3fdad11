"""A deployment at design scale: 1,000 servers and 360 entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.table import model

if TYPE_CHECKING:
    from hoistmoor.load.experiment import deployment as deployment_lib

HOSTS = 360
ENGINES = 964
PLAIN_SERVERS = 36
FAILURE_DOMAINS = 7
# Concurrent calls; small, so that the pools are one half to two thirds full at
# the rates below and the choice of the server matters.
ENGINE_CAPACITY = 2
PLAIN_CAPACITY = 4
MODEL_RATE = 320.0
PLAIN_RATE = 530.0
# Fractions of the engines by rank of price, chosen for about equal utilization
# of the pools.
ENGINE_FRACTIONS = (0.16, 0.5, 0.34)
_DOMAIN_FORMAT = "domain-{}"


def at_design_scale(
    small: deployment_lib.Deployment,
) -> deployment_lib.Deployment:
    """Returns ``small`` with servers, hosts and rates at design scale."""
    table = small.table
    runners = [
        _make_server(i, small.engine_service, ENGINE_CAPACITY)
        for i in range(ENGINES)
    ]
    plain = [
        _make_server(ENGINES + i, small.plain_service, PLAIN_CAPACITY)
        for i in range(PLAIN_SERVERS)
    ]
    versions = _spread_active_versions(table)
    return attrs.evolve(
        small,
        name=f"{small.name}, {ENGINES + PLAIN_SERVERS} servers",
        table=attrs.evolve(
            table,
            versions=versions,
            servers={row.server: row for row in (*runners, *plain)},
        ),
        hosts=HOSTS,
        model_rate=MODEL_RATE,
        plain_rate=PLAIN_RATE,
    )


def _spread_active_versions(table: model.Table) -> dict[str, model.Version]:
    active = [
        row
        for row in table.versions.values()
        if row.stage is model.Stage.ACTIVE
    ]
    active.sort(key=lambda row: row.output_price)
    remaining = ENGINES
    versions = {}
    for row, share in zip(active, ENGINE_FRACTIONS, strict=True):
        replicas = remaining if row is active[-1] else round(share * ENGINES)
        remaining -= replicas
        versions[row.key] = attrs.evolve(row, replicas=replicas)
    return versions


def _make_server(number: int, service: str, capacity: int) -> model.Server:
    return model.Server(
        f"server-{number}",
        service,
        f"10.0.{number // 250}.{number % 250}:80",
        _DOMAIN_FORMAT.format(number % FAILURE_DOMAINS),
        capacity,
        checks_fencing=True,
    )
