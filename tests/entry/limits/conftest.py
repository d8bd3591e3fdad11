"""A gate on a log in memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import limits_log
import limits_rows
import pytest

from hoistmoor.core import identity
from hoistmoor.core.limits import records
from hoistmoor.entry import limits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
def log() -> limits_log.FakeLog:
    log = limits_log.FakeLog(limits_rows.clock)
    log.hold.set()
    return log


@pytest.fixture
async def idle_gate(log: limits_log.FakeLog) -> AsyncIterator[limits.Gate]:
    gate = limits.Gate(log, identity.Incarnation("h1", 1), limits_rows.clock)
    gate.on_table(limits_rows.table_of())
    yield gate
    await gate.stop()


@pytest.fixture
async def gate(
    idle_gate: limits.Gate, monkeypatch: pytest.MonkeyPatch
) -> limits.Gate:
    """Returns a gate that holds its floor."""
    idle_gate.start()
    await _await_share(idle_gate, 1)
    # By now it would know the other hosts.
    monkeypatch.setattr(limits_rows, "AHEAD", [limits_rows.AHEAD[0] + 60.0])
    idle_gate.on_table(limits_rows.table_of())
    await _await_share(idle_gate, 100_000)
    return idle_gate


async def _await_share(gate: limits.Gate, amount: int) -> None:
    day = records.day_of(limits_rows.clock())
    wallet = gate.keeper.book.local_shares
    while wallet.share(limits_rows.ACCOUNT, day).granted < amount:
        await asyncio.sleep(0)
