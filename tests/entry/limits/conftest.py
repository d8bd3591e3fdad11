"""Fixtures: an in-memory log and admission control that uses it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import limits_log
import limits_rows
import pytest

from hoistmoor.core import identity
from hoistmoor.core.limits import records
from hoistmoor.entry import admission_control

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
def log() -> limits_log.FakeLog:
    log = limits_log.FakeLog(limits_rows.clock)
    log.hold.set()
    return log


@pytest.fixture
async def idle_controller(
    log: limits_log.FakeLog,
) -> AsyncIterator[admission_control.AdmissionController]:
    controller = admission_control.AdmissionController(
        log, identity.Incarnation("h1", 1), limits_rows.clock
    )
    controller.on_table(limits_rows.table_of())
    yield controller
    await controller.stop()


@pytest.fixture
async def controller(
    idle_controller: admission_control.AdmissionController,
    monkeypatch: pytest.MonkeyPatch,
) -> admission_control.AdmissionController:
    """Returns a started controller that holds its minimum share."""
    idle_controller.start()
    await _wait_for_share(idle_controller, 1)
    # After this time, the host assumes that it knows all other hosts.
    monkeypatch.setattr(
        limits_rows, "CLOCK_OFFSET", [limits_rows.CLOCK_OFFSET[0] + 60.0]
    )
    idle_controller.on_table(limits_rows.table_of())
    await _wait_for_share(idle_controller, 100_000)
    return idle_controller


async def _wait_for_share(
    controller: admission_control.AdmissionController, amount: int
) -> None:
    day = records.day_of(limits_rows.clock())
    wallet = controller.share_sync.ledger.local_shares
    while wallet.share(limits_rows.ACCOUNT, day).granted < amount:
        await asyncio.sleep(0)
