"""The command that lists and lifts quarantines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
import pytest
import store_standin
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import sessions
from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import store_era
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.platform import quarantines
from hoistmoor.platform import store
from hoistmoor.relay import records

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEY = "llm bad"


@pytest.fixture
async def address() -> AsyncIterator[str]:
    """Address of a store that lists one quarantine."""
    server = store_standin.StoreStandin()
    runner = web.AppRunner(server.application())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    ip, port = runner.addresses[0]
    value = records.encode(part_evidence.PartQuarantine("llm", ("bad",)))
    async with sessions.make_session() as session:
        topics = store.open_topics(
            session, f"{ip}:{port}", store_era.StoreEra()
        )
        await topics.quarantine.put(KEY, value)
    yield f"{ip}:{port}"
    await runner.cleanup()


async def test_quarantines_are_listed_and_lifted(address: str) -> None:
    (line,) = await quarantines.run(address, "")
    assertions.assert_that(line, matchers.StartsWith(f"{KEY}\t"))
    assertions.assert_that(
        await quarantines.run(address, KEY), matchers.Equals([f"lifted {KEY}"])
    )
    assertions.assert_that(
        await quarantines.run(address, ""), matchers.Equals([])
    )


async def test_an_unknown_quarantine_is_not_lifted(address: str) -> None:
    with pytest.raises(errors.ConfigurationError):
        await quarantines.run(address, "llm other")
