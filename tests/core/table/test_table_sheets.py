"""Tests of parsing, validating and rendering sheets."""

from __future__ import annotations

import pathlib

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.table import check
from hoistmoor.core.table import limits
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets


def test_rendered_sheets_round_trip(
    table: model.Table,
) -> None:
    result = check.check_sheets(sheets.render_sheets(table))

    assert result.faults == ()
    assert result.table == table


def test_all_faults_are_reported_together_with_cell_and_remedy(
    table: model.Table,
) -> None:
    files = sheets.render_sheets(table)
    files["accounts.csv"] += "bo,,much,1,1\nbo,,1,1,1\n,,1,1,1\nshort\n"
    files["calls.csv"] += "till,POST,/pay,maybe,soon,1\n"
    files["grants.csv"] += "bo,m,1,1.5\nnobody,m,*,0.5\n"
    files["servers.csv"] = files["servers.csv"].replace(
        "10.0.0.1:80", "10.0.0.1"
    )
    files["limits.csv"] = "name,values\n"
    del files["services.csv"]
    files["notes.csv"] = "hello\n"

    result = check.check_sheets(files)

    found = {(f.sheet, f.line, f.column) for f in result.faults}
    assertions.assert_that(
        found,
        matchers.Equals(
            {
                ("accounts", 3, "spend_limit"),
                ("accounts", 4, ""),  # Duplicate row.
                ("accounts", 5, "account"),
                ("accounts", 6, ""),  # Too few cells.
                ("calls", 2, "service"),  # The services sheet is missing.
                ("calls", 3, "service"),
                ("calls", 3, "idempotent"),
                ("calls", 3, "priority"),
                ("grants", 3, "quality_target"),
                ("grants", 4, "account"),
                ("limits", 1, ""),
                ("notes", 0, ""),
                ("servers", 2, "address"),
                ("servers", 2, "service"),
                ("services", 0, ""),
                ("versions", 2, "service"),
            }
        ),
    )
    for fault in result.faults:
        assert fault.problem
        assert fault.remedy.endswith(".")


@pytest.mark.parametrize("cell", ["nan", "inf", "-inf", "1e999"])
def test_non_finite_numbers_are_faults(table: model.Table, cell: str) -> None:
    files = sheets.render_sheets(table)
    files["limits.csv"] = f"name,value\nmax_attempts,{cell}\n"
    (fault,) = check.check_sheets(files).faults
    assert (fault.line, fault.column) == (2, "value")


def _with(table: model.Table, sheet: str, row: model.Row) -> model.Table:
    rows = sheets.rows_of(table, sheet) | {row.key: row}
    return attrs.evolve(table, **{sheet: rows})


_HASH = "0" * 64


def _account(name: str, key_hash: str) -> model.Account:
    return model.Account(name, (key_hash,), 1, 1.0, 1)


def _version(name: str, service: str, weight: float) -> model.Version:
    return model.Version(
        name, "2", service, model.Stage.ACTIVE, weight, 1, 1, 0.5, 0, 1
    )


@pytest.mark.parametrize(
    ("sheet", "row", "column"),
    [
        ("accounts", _account("bo", "not a hash"), "key_hashes"),
        ("accounts", _account("a/b", _HASH), "account"),
        ("accounts", model.Account("bo", (), -1, 1.0, 1), "spend_limit"),
        ("versions", _version("m", "till", 1.0), "service"),
        ("versions", _version("n", "llm", -0.5), "weight"),
        ("versions", _version("auto", "llm", 1.0), "model"),
        ("grants", model.Grant("ann", "x", "*", 0.5), "model"),
        ("grants", model.Grant("ann", "m", "9", 0.5), "version"),
        (
            "servers",
            model.Server("s2", "llm", "10.0.0.1:80", "n", 1, True),
            "address",
        ),
        (
            "servers",
            model.Server("s2", "llm", "10.0.0.256:80", "n", 1, True),
            "address",
        ),
        (
            "calls",
            model.Call("llm", "GET", "/x", True, model.Priority.NORMAL, 0),
            "service",
        ),
        (
            "calls",
            model.Call("till", "get", "/x", True, model.Priority.NORMAL, 0),
            "method",
        ),
        ("limits", model.Limit("unheard_of", 1.0), "name"),
        ("limits", model.Limit("retry_ratio", 1.5), "value"),
    ],
)
def test_each_rule_reports_its_column(
    table: model.Table, sheet: str, row: model.Row, column: str
) -> None:
    (fault,) = check.check_table(_with(table, sheet, row))
    assert (fault.sheet, fault.column) == (sheet, column)


def test_accounts_cannot_share_a_key(table: model.Table) -> None:
    table = _with(table, "accounts", _account("bo", _HASH))
    table = _with(table, "accounts", _account("cy", _HASH))
    (fault,) = check.check_table(table)
    assert (fault.row, fault.column) == ("cy", "key_hashes")


def test_operators_page_lists_all_limits() -> None:
    docs = pathlib.Path(__file__).parents[3] / "docs"
    page = (docs / "operators" / "table.md").read_text(encoding="utf-8")
    for limit in limits.DEFINITIONS.values():
        numbers = (limit.default, limit.minimum, limit.maximum)
        default, low, high = (f"{number:.12g}" for number in numbers)
        row = f"| `{limit.name}` | {default} | {low} to {high} | {limit.doc} |"
        assert row in page
