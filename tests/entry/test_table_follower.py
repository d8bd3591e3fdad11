# ruff: noqa: D102
"""The table follower on a log with outages, bad records and retention."""

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
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import log as log_standin
from hoistmoor.standins import web_application as standin_web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_TIMEOUT_SECONDS = 20.0  # Only ends a test that hangs.
_POLL_SECONDS = 0.05


@attrs.define
class Bench:
    """A simulated log, a client for it and a running follower."""

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
        return await asyncio.wait_for(
            self.follower.wait_for_revision(revision), _TIMEOUT_SECONDS
        )

    def make_follower(self) -> table_follower.TableFollower:
        return table_follower.TableFollower(
            self.client, poll_seconds=_POLL_SECONDS
        )


@pytest_asyncio.fixture
async def bench() -> AsyncIterator[Bench]:
    book = fault_registry.FaultRegistry()
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
            client, tables.append, poll_seconds=_POLL_SECONDS
        )
        task = asyncio.create_task(follower.run())
        yield Bench(standin, client, follower, tables)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_edits_take_effect_in_order(bench: Bench) -> None:
    for name in ("a", "b", "c"):
        await bench.edit(name)

    table = (await bench.in_force(2)).table

    assert set(table.accounts) == {"a", "b", "c"}
    assert [in_force.revision for in_force in bench.tables] == [0, 1, 2]


async def test_bad_record_is_counted_and_the_table_is_kept(
    bench: Bench,
) -> None:
    await bench.edit("a")
    invalid_offset = await bench.append(b"not a record")
    bench.last = invalid_offset
    await bench.edit("b")

    await bench.in_force(2)

    assert bench.follower.undecodable == 1
    assert bench.follower.replay.recent_skipped[0].offset == invalid_offset
    assert [in_force.revision for in_force in bench.tables] == [0, 2]


async def test_follower_continues_after_an_outage(
    bench: Bench,
) -> None:
    await bench.edit("a")
    await bench.in_force(0)
    bench.standin.fault_registry.add(faults.Outage(method="GET"))
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        while bench.follower.outages == 0:
            await asyncio.sleep(_POLL_SECONDS)
    contact_before = bench.follower.last_contact
    await bench.edit("b")
    bench.standin.fault_registry.clear()

    await bench.in_force(1)

    assert contact_before > 0
    assert bench.follower.last_contact >= contact_before


async def test_start_past_retention_uses_the_snapshot(bench: Bench) -> None:
    for name in "abcde":
        await bench.edit(name)
    await bench.in_force(4)
    snapshot = bench.follower.snapshot()
    assert snapshot is not None
    bench.last = await bench.append(snapshot)
    for name in "fghi":
        await bench.edit(name)
    late_follower = bench.make_follower()

    task = asyncio.create_task(late_follower.run())
    table = await asyncio.wait_for(
        late_follower.wait_for_revision(bench.last), _TIMEOUT_SECONDS
    )
    task.cancel()

    assert table == await bench.in_force(bench.last)


async def test_start_without_a_snapshot_uses_the_table_of_a_peer(
    bench: Bench,
) -> None:
    for name in "abcdefghij":
        await bench.edit(name)
    before = await bench.in_force(9)
    late_follower = bench.make_follower()

    await late_follower.step()
    assert late_follower.in_force is None
    assert late_follower.last_contact == 0
    assert late_follower.replay.problem is not None

    offer = bench.follower.snapshot()
    assert offer is not None
    assert late_follower.adopt_if_newer(offer)
    assert late_follower.in_force == before
    await late_follower.step()
    assert late_follower.last_contact > 0


async def test_merging_a_payload_that_is_no_snapshot_raises_codec_error(
    bench: Bench,
) -> None:
    edit = edits.TableEdit("x", -1, "ann", 0.0, ())
    with pytest.raises(errors.CodecError):
        bench.follower.adopt_if_newer(codec.encode(edit))
    with pytest.raises(errors.CodecError):
        bench.follower.adopt_if_newer(b"junk")
