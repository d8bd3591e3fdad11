"""The table of the system tests."""

from __future__ import annotations

import hashlib

from hoistmoor.core.table import model

ACCOUNT = "agents"
OTHER_ACCOUNT = "auditors"
CONFIRM_ITEM = "POST /confirm"
ONCE_ITEMS = (CONFIRM_ITEM,)
CHEAP_VERSION = "khao@1"
EXPENSIVE_VERSION = "khao@2"
DOMAINS = ("bangna", "latkrabang", "nonburi")


def api_key(account: str) -> str:
    """Returns the API key of a client account."""
    return f"key-of-{account}"


def _account(name: str) -> model.Account:
    digest = hashlib.sha256(api_key(name).encode()).hexdigest()
    return model.Account(name, (digest,), 10**12, 10_000, 1_000)


def _version(number: str, price: int, quality: float) -> model.Version:
    return model.Version(
        "khao", number, "llm", model.Stage.ACTIVE, 1, price, price, quality,
        0, 1,
    )  # fmt: skip


def _server(name: str, service: str, address: str, index: int) -> model.Server:
    domain = DOMAINS[index % len(DOMAINS)]
    return model.Server(name, service, address, domain, 64, False)


def make_table(
    engines: dict[str, str], counters: dict[str, str]
) -> model.Table:
    """Returns a table that lists backend servers by their addresses.

    Args:
        engines: Addresses of the engines by name.
        counters: Addresses of the counter servers by name.
    """
    rows = [_account(ACCOUNT), _account(OTHER_ACCOUNT)]
    versions = [_version("1", 1000, 0.7), _version("2", 10_000, 0.95)]
    grants = [model.Grant(ACCOUNT, "khao", "*", 0.8)]
    services = [
        model.Service("llm", model.ServiceKind.ENGINE, 10.0, ()),
        model.Service("counter", model.ServiceKind.PLAIN, 5.0, (ACCOUNT,)),
    ]
    calls = [
        model.Call(
            "counter", "POST", "/confirm", False, model.Priority.URGENT, 2000
        ),
        model.Call(
            "counter", "GET", "/balance/*", True, model.Priority.URGENT, 100
        ),
    ]
    servers = [
        _server(name, "llm", address, index)
        for index, (name, address) in enumerate(engines.items())
    ] + [
        _server(name, "counter", address, index)
        for index, (name, address) in enumerate(counters.items())
    ]
    return model.Table(
        accounts={row.key: row for row in rows},
        versions={row.key: row for row in versions},
        grants={row.key: row for row in grants},
        services={row.key: row for row in services},
        calls={row.key: row for row in calls},
        servers={row.key: row for row in servers},
    )
