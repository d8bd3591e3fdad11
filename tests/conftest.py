"""Fixtures shared by all tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import system_processes

from hoistmoor.clients import sessions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib


@pytest.fixture
async def processes(
    tmp_path: pathlib.Path,
) -> AsyncIterator[system_processes.Processes]:
    """Starts programs as processes and kills them after the test."""
    async with sessions.make_session() as session:
        started = system_processes.Processes(session, tmp_path)
        try:
            yield started
        finally:
            await started.kill_all()
