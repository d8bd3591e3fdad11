"""Fixtures that start a deployment and a statsd listener for each test."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import system_deployment
import system_statsd

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib


@pytest.fixture
async def deployment(
    tmp_path: pathlib.Path,
) -> AsyncIterator[system_deployment.Deployment]:
    async with system_deployment.open_session() as session:
        created = system_deployment.Deployment(session, tmp_path)
        try:
            yield created
        finally:
            await created.processes.kill_all()


@pytest.fixture
async def statsd() -> AsyncIterator[system_statsd.StatsdListener]:
    """Yields a statsd listener on an ephemeral port."""
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        system_statsd.StatsdListener, local_addr=("127.0.0.1", 0)
    )
    host, port = transport.get_extra_info("sockname")
    protocol.address = f"{host}:{port}"
    yield protocol
    transport.close()
