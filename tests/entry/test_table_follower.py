# ruff: noqa: D102
"""The follower against a log with outages, noise and retention."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import test_utils
import attrs
import pytest
import pytest_asyncio

from hoistmoor.clients import log as log_client
from hoistmoor.clients import sessions
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.table import edits
from hoistmoor.core.table import model
from hoistmoor.entry import table_follower
from hoistmoor.standins import fault_book
from hoistmoor.standins import faults
from hoistmoor.standins import log as log_standin
from hoistmoor.standins import web as standin_web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_BOUND = 20.0  # Seconds; generous, as it only ends a test that hangs.
_POLL = 0.05


@attrs.define
class Bench:
    """A log stand-in, a client of it and a follower that runs."""

    standin: log_standin.LogStandin
    client: log_client.LogClient
    follower: table_follower.TableFollower
    tables: list[model.ActiveTable]
    last: int = -1

    async def edit(self, name: str) -> int:
        row = model.Account(name, (), 1, 1.0, 1)
        change = edits.RowSet("accounts", name, row)
        edit = edits.TableEdit(name, self.last, "ann", 0.0, (change,))
        self.last = await self.append(codec.encode(edit))
        return self.last

    async def append(self, payload: bytes) -> int:
        return await self.client.append(streams.TABLE, payload)

    async def in_force(self, revision: int) -> model.ActiveTable:
        return await asyncio.wait_for(self.follower.wait_for(revision), _BOUND)

    def make_follower(self) -> table_follower.TableFollower:
        return table_follower.TableFollower(self.client, poll_seconds=_POLL)


@pytest_asyncio.fixture
async def bench() -> AsyncIterator[Bench]:
    book = fault_book.FaultBook()
    application = standin_web.make_application(book)
    standin = log_standin.LogStandin(book, max_records=6)
    standin.add_routes(application)
    async with (
        test_utils.TestServer(application) as server,
        sessions.make_session() as session,
    ):
        client = log_client.LogClient(session, str(server.make_url("")))
        tables: list[model.ActiveTable] = []
        follower = table_follower.TableFollower(
            client, tables.append, poll_seconds=_POLL
        )
        task = asyncio.create_task(follower.run())
        yield Bench(standin, client, follower, tables)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_edits_come_into_force_in_order(bench: Bench) -> None:
    for name in ("a", "b", "c"):
        await bench.edit(name)

    table = (await bench.in_force(2)).table

    assert set(table.accounts) == {"a", "b", "c"}
    assert [told.revision for told in bench.tables] == [0, 1, 2]


async def test_noise_is_counted_and_the_table_stays(bench: Bench) -> None:
    await bench.edit("a")
    noise = await bench.append(b"not a record")
    bench.last = noise
    await bench.edit("b")

    await bench.in_force(2)

    assert bench.follower.undecodable == 1
    assert bench.follower.replay.recent_skipped[0].offset == noise
    assert [told.revision for told in bench.tables] == [0, 2]


async def test_an_outage_is_outlived_and_shows_in_last_contact(
    bench: Bench,
) -> None:
    await bench.edit("a")
    await bench.in_force(0)
    bench.standin.book.add(faults.Outage(method="GET"))
    async with asyncio.timeout(_BOUND):
        while bench.follower.outages == 0:
            await asyncio.sleep(_POLL)
    contact = bench.follower.last_contact
    await bench.edit("b")
    bench.standin.book.clear()

    await bench.in_force(1)

    assert contact > 0
    assert bench.follower.last_contact >= contact


async def test_a_starter_past_retention_uses_the_snapshot(bench: Bench) -> None:
    for name in "abcde":
        await bench.edit(name)
    await bench.in_force(4)
    snapshot = bench.follower.snapshot()
    assert snapshot is not None
    bench.last = await bench.append(snapshot)
    for name in "fghi":
        await bench.edit(name)
    starter = bench.make_follower()

    task = asyncio.create_task(starter.run())
    table = await asyncio.wait_for(starter.wait_for(bench.last), _BOUND)
    task.cancel()

    assert table == await bench.in_force(bench.last)


async def test_a_starter_without_snapshot_asks_peers(bench: Bench) -> None:
    for name in "abcdefghij":
        await bench.edit(name)
    before = await bench.in_force(9)
    starter = bench.make_follower()

    await starter.step()
    assert starter.in_force is None
    assert starter.last_contact == 0
    assert starter.replay.problem is not None

    offer = bench.follower.snapshot()
    assert offer is not None
    assert starter.offer(offer)
    assert starter.in_force == before
    await starter.step()
    assert starter.last_contact > 0


async def test_an_offer_that_is_no_table_is_an_error(bench: Bench) -> None:
    edit = edits.TableEdit("x", -1, "ann", 0.0, ())
    with pytest.raises(errors.CodecError):
        bench.follower.offer(codec.encode(edit))
    with pytest.raises(errors.CodecError):
        bench.follower.offer(b"junk")
