"""Authentication and authorization of requests by the table in force."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from hoistmoor.core import refusals
from hoistmoor.core.requests import parsing
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Iterable

_WILDCARD = "*"


def authenticate(table: model.Table, bearer: str) -> model.Account:
    """Returns the client account that owns a bearer key.

    Raises:
        parsing.RefusedError: No client account has the key.
    """
    key_hash = hashlib.sha256(bearer.encode()).hexdigest()
    account = table.account_by_key_hash.get(key_hash)
    if account is None:
        raise parsing.refusal_error(
            refusals.Reason.WRONG_KEY, "no client account has this key"
        )
    return account


def check_model(table: model.Table, account: str, name: str) -> None:
    """Checks that an account may use a model, a pinned version or ``auto``.

    Raises:
        parsing.RefusedError: The model is unknown, withdrawn or not granted.
    """
    versions = _matching_versions(table, name)
    if not versions:
        raise parsing.refusal_error(
            refusals.Reason.UNKNOWN_MODEL, f"the table has no model {name!r}"
        )
    granted = [v for v in versions if table.grant_for(account, v)]
    if not granted:
        raise parsing.refusal_error(
            refusals.Reason.NOT_GRANTED, f"{account} may not use {name!r}"
        )
    if all(v.stage is model.Stage.WITHDRAWN for v in granted):
        raise parsing.refusal_error(
            refusals.Reason.VERSION_WITHDRAWN,
            f"each version of {name!r} granted to {account} is withdrawn",
        )


def _matching_versions(table: model.Table, name: str) -> list[model.Version]:
    if name == model.AUTO_MODEL:
        return list(table.versions.values())
    pinned = table.versions.get(name)
    if pinned is not None:
        return [pinned]
    return list(table.versions_by_model.get(name, ()))


def granted_versions(
    table: model.Table, account: str
) -> Iterable[model.Version]:
    """Yields the versions that an account may currently use."""
    for key in sorted(table.versions):
        version = table.versions[key]
        if version.stage is model.Stage.WITHDRAWN:
            continue
        if table.grant_for(account, version):
            yield version


def find_call(
    table: model.Table, account: str, service: str, method: str, path: str
) -> model.Call:
    """Returns the row of the table for a call of a plain service.

    Args:
        table: The table in force.
        account: Name of the client account.
        service: Name of the service.
        method: HTTP method, in upper case.
        path: Path below the service, excluding the query string.

    Raises:
        parsing.RefusedError: The service or call is unknown or not granted.
    """
    row = table.services.get(service)
    if row is None or row.kind is not model.ServiceKind.PLAIN:
        raise parsing.refusal_error(
            refusals.Reason.UNKNOWN_SERVICE, f"no plain service {service!r}"
        )
    if _WILDCARD not in row.accounts and account not in row.accounts:
        raise parsing.refusal_error(
            refusals.Reason.NOT_GRANTED, f"{account} may not call {service!r}"
        )
    for call in table.calls.values():
        if call.service != service or call.method != method:
            continue
        if _path_matches(call.path, path):
            return call
    raise parsing.refusal_error(
        refusals.Reason.UNKNOWN_CALL, f"{service} has no call {method} {path}"
    )


def _path_matches(pattern: str, path: str) -> bool:
    pattern_segments = pattern.strip("/").split("/")
    path_segments = path.strip("/").split("/")
    if len(pattern_segments) != len(path_segments):
        return False
    return all(
        expected in (_WILDCARD, segment)
        for expected, segment in zip(
            pattern_segments, path_segments, strict=True
        )
    )
