"""Builders of rows, edits and tables for the table tests."""

from __future__ import annotations

from hoistmoor.core.table import edits
from hoistmoor.core.table import model


def account(name: str, spend: int = 100) -> model.Account:
    return model.Account(name, (), spend, 10.0, 4)


def add_account(name: str, spend: int = 100) -> edits.RowSet:
    return edits.RowSet("accounts", name, account(name, spend))


def edit(
    edit_id: str, base: int, *changes: edits.Change, author: str = "ann"
) -> edits.TableEdit:
    return edits.TableEdit(edit_id, base, author, 0.0, changes)


def small_table() -> model.Table:
    return model.Table(
        accounts={"ann": account("ann")},
        versions={
            "m@1": model.Version(
                "m", "1", "llm", model.Stage.ACTIVE, 1.0, 1, 2, 0.8, 0, 1
            )
        },
        grants={"ann/m@1": model.Grant("ann", "m", "1", 0.8)},
        services={
            "llm": model.Service("llm", model.ServiceKind.ENGINE, 5.0, ()),
            "till": model.Service("till", model.ServiceKind.PLAIN, 5.0, ("*",)),
        },
        calls={
            "till POST /confirm": model.Call(
                "till", "POST", "/confirm", False, model.Priority.URGENT, 5
            )
        },
        servers={
            "s1": model.Server("s1", "llm", "10.0.0.1:80", "north", 4, True)
        },
        limits={"max_attempts": model.Limit("max_attempts", 3.0)},
    )
