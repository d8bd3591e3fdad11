"""Fixtures of the process tests of stewards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import steward_rig

if TYPE_CHECKING:
    import system_processes


@pytest.fixture
async def rig(processes: system_processes.Processes) -> steward_rig.Rig:
    running = steward_rig.Rig(processes)
    await running.start()
    return running
