"""Rows of a table with one account and one pool."""

from __future__ import annotations

import time

from hoistmoor.core.table import model

NOON = 20_000.5 * 86_400.0
BEGIN = time.monotonic()
AHEAD = [0.0]  # Seconds by which the clock was set forward.

ACCOUNT = "agents"


def clock() -> float:
    """Returns a time of day at which no next day is prepared."""
    return NOON + time.monotonic() - BEGIN + AHEAD[0]


def table_of(**changes: float) -> model.ActiveTable:
    """Returns a table with one account and a pool of two slots."""
    account = model.Account(
        ACCOUNT,
        (),
        int(changes.get("spend_limit", 1_000_000)),
        changes.get("rate_limit", 1_000.0),
        int(changes.get("concurrency", 100)),
    )
    server = model.Server("e1", "llm", "127.0.0.1:1", "d1", 2, False)
    table = model.Table(accounts={ACCOUNT: account}, servers={"e1": server})
    return model.ActiveTable(1, table)
