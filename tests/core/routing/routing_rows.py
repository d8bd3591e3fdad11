"""Factories of tables, rows, queries and events for the routing tests."""

from __future__ import annotations

from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import messages
from hoistmoor.core.table import model

DOMAINS = ("bangna", "latkrabang", "nonburi", "samutprakan")


def version_row(
    name: str,
    stage: model.Stage = model.Stage.ACTIVE,
    price: int = 100,
    quality: float = 0.9,
    cap: int = 40,
    weight: float = 1.0,
) -> model.Version:
    model_name, _, version = name.partition("@")
    return model.Version(
        model=model_name,
        version=version,
        service="moor-llm",
        stage=stage,
        weight=weight,
        input_price=price,
        output_price=2 * price,
        prior_quality=quality,
        exposure_cap=cap,
        replicas=1,
    )


DEFAULT_VERSIONS = (
    version_row("small@v1", price=100, quality=0.8),
    version_row("medium@v1", price=400, quality=0.9),
    version_row("large@v1", price=1600, quality=0.97),
)


def query(number: int = 0, **changes: object) -> messages.RouteQuery:
    fields: dict[str, object] = {
        "request_id": f"bangna-1.1.{number:x}",
        "account": "agents",
        "model": "auto",
        "kind": "answer",
        "prompt_tokens": 100,
        "max_tokens": 100,
    }
    return messages.RouteQuery(**(fields | changes))  # type: ignore[arg-type]


def rating(
    version: str, good: bool, answer: str = "a", kind: str = "answer"
) -> messages.Rating:
    model_name, _, name = version.partition("@")
    return messages.Rating(answer, model_name, name, kind, good, 0.0)


def report(server: str, at: float, **changes: object) -> messages.LoadReport:
    fields: dict[str, object] = {
        "server": server,
        "incarnation": 1,
        "state": "live",
        "running": 0,
        "queued": 0,
        "capacity": 8,
        "versions": (),
        "at": at,
    }
    return messages.LoadReport(**(fields | changes))  # type: ignore[arg-type]


def table(
    versions: tuple[model.Version, ...] = DEFAULT_VERSIONS,
    servers: int = 8,
    granted: tuple[str, ...] = ("small", "medium", "large"),
    target: float = 0.9,
    concurrency: int = 8,
) -> model.Table:
    grants = [model.Grant("agents", name, "*", target) for name in granted]
    rows = [
        model.Server(
            f"llm-{i}",
            "moor-llm",
            f"10.0.0.{i}:80",
            DOMAINS[i % len(DOMAINS)],
            concurrency,
            checks_fencing=True,
        )
        for i in range(servers)
    ]
    return model.Table(
        accounts={"agents": model.Account("agents", (), 1, 1.0, 1)},
        versions={row.key: row for row in versions},
        grants={row.key: row for row in grants},
        services={
            "moor-llm": model.Service(
                "moor-llm", model.ServiceKind.ENGINE, 30.0, ()
            )
        },
        servers={row.server: row for row in rows},
    )


def digest(row: model.Version) -> str:
    return exposure.row_digest(row)
