"""Fixtures for platform tests: a stand-in store on loopback."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
import pytest
import store_standin

from hoistmoor.clients import sessions
from hoistmoor.core.relay.beliefs import store_era
from hoistmoor.platform import store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TOPIC = "keyed.things"


@pytest.fixture
async def standin() -> AsyncIterator[
    tuple[store_standin.StoreStandin, store_standin.Topic, store.StoreTopic]
]:
    """The stand-in store, one of its topics, and a client for that topic."""
    store_server = store_standin.StoreStandin()
    runner = web.AppRunner(store_server.application())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    ip, port = runner.addresses[0]
    async with sessions.make_session() as session:
        client = store.StoreTopic(
            session, f"{ip}:{port}", TOPIC, store_era.StoreEra()
        )
        yield store_server, store_server.topic(TOPIC), client
    await runner.cleanup()
