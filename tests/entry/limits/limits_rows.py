"""Clock and table for the limit tests: one account and one pool."""

from __future__ import annotations

import time

from hoistmoor.core.table import model

NOON = 20_000.5 * 86_400.0
START = time.monotonic()
CLOCK_OFFSET = [0.0]  # Seconds added to the clock; tests replace the list.

ACCOUNT = "agents"


def clock() -> float:
    """Returns a time around noon, when no shares of the next day are due."""
    return NOON + time.monotonic() - START + CLOCK_OFFSET[0]


def table_of(**changes: float) -> model.ActiveTable:
    """Returns a table with one account and one pool of two slots."""
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
