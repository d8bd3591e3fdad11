"""Validation of a whole table: ranges, references and uniqueness.

Every host validates each edit with these rules and must come to the same
verdict. A change that accepts more or fewer tables therefore needs a new schema
number in ``RULES``; the rules of a published schema must not change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
import re
from typing import Any

import attrs

from hoistmoor.core.table import limits
from hoistmoor.core.table import model
from hoistmoor.core.table import problems
from hoistmoor.core.table import sheets

ALL_ACCOUNTS = "*"

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_METHOD = re.compile(r"[A-Z]{3,7}")
_ADDRESS = re.compile(
    r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII
)
_MAX_OCTET = 255
_MAX_PORT = 65_535
_MAX_INTEGER = 2**53

_Faults = Iterator[problems.Fault]


def check_table(table: model.Table) -> tuple[problems.Fault, ...]:
    """Returns all faults of ``table`` in a deterministic order."""
    faults: list[problems.Fault] = []
    for sheet, check_row in _ROW_CHECKS.items():
        rows = sheets.rows_of(table, sheet)
        for key in sorted(rows):
            faults.extend(check_row(table, rows[key]))
    for check_rows in _TABLE_CHECKS:
        faults.extend(check_rows(table))
    return tuple(faults)


def check_sheets(files: Mapping[str, str]) -> sheets.SheetsResult:
    """Parses and validates sheets, and reports all faults of both steps.

    Args:
        files: Text of each sheet by file name.
    """
    result = sheets.parse_sheets(files)
    unparsed = {
        (fault.sheet, fault.line, fault.column) for fault in result.faults
    }
    faults = list(result.faults)
    for fault in map(result.locate, check_table(result.table)):
        # A cell that failed to parse holds a placeholder; validation faults
        # of that placeholder would be misleading.
        if (fault.sheet, fault.line, fault.column) not in unparsed:
            faults.append(fault)
    return attrs.evolve(result, faults=tuple(sorted(faults)))


RULES: dict[int, Callable[[model.Table], tuple[problems.Fault, ...]]] = {
    1: check_table
}


def _check_account(table: model.Table, row: model.Account) -> _Faults:
    checker = _RowChecker("accounts", row.key)
    yield from checker.check_name("account", row.account)
    yield from checker.check_number(
        "spend_limit", row.spend_limit, 0, _MAX_INTEGER
    )
    yield from checker.check_number(
        "rate_limit", row.rate_limit, 0, _MAX_INTEGER
    )
    yield from checker.check_number(
        "concurrency", row.concurrency, 0, _MAX_INTEGER
    )
    for key_hash in row.key_hashes:
        if not _SHA256_HEX.fullmatch(key_hash):
            yield checker.make_fault(
                "key_hashes",
                f"{key_hash[:8]!r}... is not a SHA-256 in hex",
                "Write 64 hex digits in lower case, never the key itself.",
            )


def _check_version(table: model.Table, row: model.Version) -> _Faults:
    checker = _RowChecker("versions", row.key)
    yield from checker.check_name("model", row.model)
    yield from checker.check_name("version", row.version)
    yield from checker.check_reference(
        "service", row.service, "services", table.services
    )
    service = table.services.get(row.service)
    if service and service.kind is not model.ServiceKind.ENGINE:
        yield checker.make_fault(
            "service",
            f"service {row.service!r} is not an engine service",
            "Use a service of kind engine.",
        )
    if row.model == model.AUTO_MODEL:
        yield checker.make_fault(
            "model",
            f"{model.AUTO_MODEL!r} is reserved for cascades",
            "Give the model another name.",
        )
    yield from checker.check_number("weight", row.weight, 0, _MAX_INTEGER)
    yield from checker.check_number(
        "input_price", row.input_price, 0, _MAX_INTEGER
    )
    yield from checker.check_number(
        "output_price", row.output_price, 0, _MAX_INTEGER
    )
    yield from checker.check_number("prior_quality", row.prior_quality, 0, 1)
    yield from checker.check_number(
        "exposure_cap", row.exposure_cap, 0, _MAX_INTEGER
    )
    yield from checker.check_number("replicas", row.replicas, 0, _MAX_INTEGER)


def _check_grant(table: model.Table, row: model.Grant) -> _Faults:
    checker = _RowChecker("grants", row.key)
    yield from checker.check_reference(
        "account", row.account, "accounts", table.accounts
    )
    yield from checker.check_number("quality_target", row.quality_target, 0, 1)
    if row.version != model.ANY_VERSION:
        pinned = f"{row.model}@{row.version}"
        yield from checker.check_reference(
            "version", pinned, "versions", table.versions
        )
    elif row.model not in table.versions_by_model:
        yield checker.make_fault(
            "model",
            f"versions has no version of model {row.model!r}",
            "Add a version or correct the name.",
        )


def _check_service(table: model.Table, row: model.Service) -> _Faults:
    checker = _RowChecker("services", row.key)
    yield from checker.check_name("service", row.service)
    yield from checker.check_number("timeout", row.timeout, 0.001, 86_400)
    for account in row.accounts:
        if account != ALL_ACCOUNTS:
            yield from checker.check_reference(
                "accounts", account, "accounts", table.accounts
            )


def _check_call(table: model.Table, row: model.Call) -> _Faults:
    checker = _RowChecker("calls", row.key)
    yield from checker.check_reference(
        "service", row.service, "services", table.services
    )
    service = table.services.get(row.service)
    if service and service.kind is not model.ServiceKind.PLAIN:
        yield checker.make_fault(
            "service",
            f"service {row.service!r} is not a plain service",
            "Use a service of kind plain; engine services need no calls.",
        )
    if not _METHOD.fullmatch(row.method):
        yield checker.make_fault(
            "method",
            f"{row.method!r} is not an HTTP method",
            "Write it in capitals, such as POST.",
        )
    if not row.path.startswith("/") or " " in row.path:
        yield checker.make_fault(
            "path",
            f"{row.path!r} is not a path",
            "Start it with '/' and leave out spaces, such as /balance/*.",
        )
    yield from checker.check_number("price", row.price, 0, _MAX_INTEGER)


def _check_server(table: model.Table, row: model.Server) -> _Faults:
    checker = _RowChecker("servers", row.key)
    yield from checker.check_name("server", row.server)
    yield from checker.check_name("failure_domain", row.failure_domain)
    yield from checker.check_reference(
        "service", row.service, "services", table.services
    )
    yield from checker.check_number(
        "concurrency", row.concurrency, 0, _MAX_INTEGER
    )
    if not _is_address(row.address):
        yield checker.make_fault(
            "address",
            f"{row.address!r} is not an address",
            "Write ip:port, such as 10.0.0.7:8000.",
        )


def _check_limit(table: model.Table, row: model.Limit) -> _Faults:
    checker = _RowChecker("limits", row.key)
    definition = limits.DEFINITIONS.get(row.name)
    if definition is None:
        yield checker.make_fault(
            "name",
            f"{row.name!r} is not a known limit",
            f"Write one of: {', '.join(limits.DEFINITIONS)}.",
        )
        return
    yield from checker.check_number(
        "value", row.value, definition.minimum, definition.maximum
    )


def _check_key_hashes(table: model.Table) -> _Faults:
    owner_by_hash: dict[str, str] = {}
    for key in sorted(table.accounts):
        for key_hash in table.accounts[key].key_hashes:
            owner = owner_by_hash.setdefault(key_hash, key)
            if owner != key:
                yield _RowChecker("accounts", key).make_fault(
                    "key_hashes",
                    f"{key_hash[:8]!r}... is also a key of account {owner!r}",
                    "Give each client account its own keys.",
                )


def _check_addresses(table: model.Table) -> _Faults:
    owner_by_address: dict[str, str] = {}
    for key in sorted(table.servers):
        address = table.servers[key].address
        owner = owner_by_address.setdefault(address, key)
        if owner != key:
            yield _RowChecker("servers", key).make_fault(
                "address",
                f"{address} is also the address of server {owner!r}",
                "Give each backend server its own address.",
            )


_ROW_CHECKS: dict[str, Callable[[model.Table, Any], _Faults]] = {
    "accounts": _check_account,
    "versions": _check_version,
    "grants": _check_grant,
    "services": _check_service,
    "calls": _check_call,
    "servers": _check_server,
    "limits": _check_limit,
}
_TABLE_CHECKS = (_check_key_hashes, _check_addresses)


def _is_address(text: str) -> bool:
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return False
    *octets, port = (int(group) for group in match.groups())
    return max(octets) <= _MAX_OCTET and 0 < port <= _MAX_PORT


class _RowChecker:
    """Checks cells of one row and builds its faults."""

    def __init__(self, sheet: str, row: str) -> None:
        self.sheet = sheet
        self.row = row

    def make_fault(
        self, column: str, problem: str, remedy: str
    ) -> problems.Fault:
        return problems.Fault(self.sheet, self.row, column, problem, remedy)

    def check_name(self, column: str, text: str) -> _Faults:
        if not _NAME.fullmatch(text):
            yield self.make_fault(
                column,
                f"{text!r} is not a valid name",
                "Start with a letter or digit; use only letters, digits, "
                "'.', '_' and '-'.",
            )

    def check_number(
        self, column: str, number: float, low: float, high: float
    ) -> _Faults:
        if not low <= number <= high:
            yield self.make_fault(
                column,
                f"{number} is out of range",
                f"Write a number from {low} to {high}.",
            )

    def check_reference(
        self, column: str, key: str, sheet: str, rows: dict[str, Any]
    ) -> _Faults:
        if key not in rows:
            yield self.make_fault(
                column,
                f"{key!r} does not stand in {sheet}",
                f"Add it to {sheet} or correct the name.",
            )
