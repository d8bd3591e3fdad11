"""Builds tables of any size for the measurements."""

from __future__ import annotations

import hashlib
from typing import Any, Protocol, TYPE_CHECKING

from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Iterable

KEY = "bench-key"
DOMAIN_COUNT = 7
CALL_PRICE = 500  # Micros.
_SPEND_LIMIT = 10**12


class _KeyedRow(Protocol):
    """A row of any sheet."""

    @property
    def key(self) -> str:
        """Returns the row's key."""


def make_table(
    engines: dict[str, str],
    plain: dict[str, str],
    accounts: int = 10,
    versions: int = 1,
) -> model.Table:
    """Returns a table of the given size.

    Args:
        engines: Addresses of engines by name.
        plain: Addresses of backend servers of the plain service by name.
        accounts: Client accounts; the first one's key is ``KEY``.
        versions: Versions of the model ``bench-model``.
    """
    names = [f"account-{n}" for n in range(accounts)]
    return model.Table(
        accounts={name: _make_account(name, n) for n, name in enumerate(names)},
        versions=_by_key(_make_version(n + 1) for n in range(versions)),
        grants=_by_key(
            model.Grant(name, "bench-model", "*", 0.5) for name in names
        ),
        services=_by_key(
            (
                model.Service("llm", model.ServiceKind.ENGINE, 60.0, ()),
                model.Service(
                    "counter-api", model.ServiceKind.PLAIN, 5.0, ("*",)
                ),
            )
        ),
        calls=_by_key(
            (
                _make_call("POST", "/confirm", False),
                _make_call("GET", "/balance/*", True),
            )
        ),
        servers=_by_key(
            (
                *_make_servers(engines, "llm"),
                *_make_servers(plain, "counter-api"),
            )
        ),
        limits=_by_key((model.Limit("entry_concurrency", 10_000.0),)),
    )


def _by_key(rows: Iterable[_KeyedRow]) -> dict[str, Any]:
    return {row.key: row for row in rows}


def _make_account(name: str, number: int) -> model.Account:
    key = KEY if number == 0 else f"key-{number}"
    digest = hashlib.sha256(key.encode()).hexdigest()
    return model.Account(name, (digest,), _SPEND_LIMIT, 1e5, 10_000)


def _make_version(number: int) -> model.Version:
    return model.Version(
        "bench-model",
        str(number),
        "llm",
        model.Stage.ACTIVE,
        1.0,
        100,
        400,
        0.9,
        0,
        1,
    )


def _make_call(method: str, path: str, idempotent: bool) -> model.Call:
    return model.Call(
        "counter-api",
        method,
        path,
        idempotent,
        model.Priority.URGENT,
        CALL_PRICE,
    )


def _make_servers(
    addresses: dict[str, str], service: str
) -> list[model.Server]:
    return [
        model.Server(name, service, address, f"d{n % DOMAIN_COUNT}", 1000, True)
        for n, (name, address) in enumerate(addresses.items())
    ]
