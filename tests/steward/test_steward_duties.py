"""Duties against a log in memory: lost replies, retention, withdrawals."""

from __future__ import annotations

from typing import Any

import attrs
import pytest
import steward_rig

from hoistmoor.clients import log
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import identity
from hoistmoor.core import streams
from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import messages
from hoistmoor.core.steward import actor as actor_lib
from hoistmoor.core.steward import records
from hoistmoor.core.table import edits
from hoistmoor.core.table import model
from hoistmoor.entry import table_follower
from hoistmoor.steward import duties
from hoistmoor.steward import evidence_keeper
from hoistmoor.steward import feed
from hoistmoor.steward import operator_records
from hoistmoor.steward import stream
from hoistmoor.steward import watch
from hoistmoor.utils import metrics

NOW = 1000.0


@attrs.define
class FakeLog:
    """Streams with retention by count; an append may lose its reply."""

    kept: int = 10_000
    loses_replies: bool = False
    rows: dict[str, list[bytes]] = attrs.field(factory=dict)

    def first(self, name: str) -> int:
        """Returns the oldest offset kept."""
        return max(0, len(self.rows.get(name, [])) - self.kept)

    async def append(self, name: str, payload: bytes) -> int:
        """Stores a record, and perhaps says nothing of it."""
        self.rows.setdefault(name, []).append(payload)
        if self.loses_replies:
            raise errors.LogOutcomeUnknownError("no reply", "Read on.")
        return len(self.rows[name]) - 1

    async def bounds(self, name: str) -> log.LogBounds:
        """Returns what is kept."""
        return log.LogBounds(self.first(name), len(self.rows.get(name, [])))

    async def read(
        self, name: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log.LogPage:
        """Returns one page."""
        first = self.first(name)
        if start < first:
            raise errors.LogOffsetExpiredError(name, start, first)
        page = self.rows.get(name, [])[start : start + limit]
        rows = tuple(
            log.LogRecord(start + n, NOW, payload)
            for n, payload in enumerate(page)
        )
        return log.LogPage(first, start + len(rows), rows)


async def make_tools(fake: Any) -> duties.Tools:
    """Returns the tools of a steward that acts and has a table."""
    actor = actor_lib.Actor(identity.Incarnation("a", 1))
    reader = watch.WatchedStream(fake, actor, clock=lambda: NOW)
    follower = table_follower.TableFollower(fake, poll_seconds=0.0)
    tools = duties.Tools(
        fake, reader, follower, metrics.Metrics(), clock=lambda: NOW
    )
    changes = edits.diff(model.Table(), steward_rig.make_table("10.0.0.1:1"))
    edit = edits.TableEdit("first", -1, "test", 0.0, changes)
    await fake.append(streams.TABLE, codec.encode(edit))
    await follower.step()
    await reader.catch_up()
    actor.lease_record_sent_at = NOW
    await tools.append(records.LeaseRequest(actor.incarnation, 15.0))
    assert tools.acting() == 0
    return tools


async def test_lost_reply_of_a_roll_out_record_is_read_back() -> None:
    fake = FakeLog()
    tools = await make_tools(fake)
    fake.loses_replies = True
    table = tools.rows()
    assert table
    for _ in range(4):
        for record in tools.stream.actor.rollout_records(table, NOW):
            with pytest.raises(errors.LogOutcomeUnknownError):
                await tools.append(record)
    rollout = tools.stream.fold.state.rollouts[steward_rig.NEW]
    assert rollout.stage_index == 0
    assert len(fake.rows[streams.STEWARD]) == 3


async def test_operator_record_with_a_lost_reply_is_settled() -> None:
    fake: Any = FakeLog(loses_replies=True)
    record = records.ServerDrain("s0", True, "op")
    view = await operator_records.put(
        fake, record, lambda view: view.is_draining("s0")
    )
    assert view.is_draining("s0")
    with pytest.raises(errors.LogOutcomeUnknownError):
        await operator_records.put(fake, record, lambda view: False)


async def test_tally_and_withdrawals_outlive_retention() -> None:
    fake = FakeLog()
    tools = await make_tools(fake)
    table = tools.rows()
    assert table
    digest = exposure.row_digest(table.versions[steward_rig.NEW])
    bad = messages.Withdrawal(steward_rig.NEW, "*", digest, "x.1", NOW, "e")
    stale = attrs.evolve(bad, version=steward_rig.OLD, row_digest="older")
    for record in (bad, stale, *(make_claim(n, digest) for n in range(40))):
        await fake.append(streams.EVIDENCE, codec.encode(record))
    keeper = evidence_keeper.EvidenceKeeper(tools)
    await keeper.step()
    view = tools.stream.actor.view()
    assert view.is_withdrawn(table.versions[steward_rig.NEW])
    assert not view.is_withdrawn(table.versions[steward_rig.OLD])

    fake.kept = 20  # Retention takes the withdrawals and half the claims.
    await keeper.step()
    await keeper.step()
    offset = fake.first(streams.EVIDENCE)
    late = exposure.ExposureLedger()
    late.on_gap(offset)
    withdrawn = []
    for payload in fake.rows[streams.EVIDENCE][offset:]:
        record = codec.decode(payload)
        if isinstance(record, messages.ExposureTally):
            late.on_tally(record)
        if isinstance(record, messages.Withdrawal):
            withdrawn.append(record)
    assert late.is_complete
    assert late.granted == keeper.fold.granted == {digest: 30}
    assert withdrawn == [bad]


def make_claim(number: int, digest: str) -> messages.ExposureClaim:
    return messages.ExposureClaim(
        f"x.1/{number}", steward_rig.NEW, digest, "x.1", 1, 30
    )


async def test_starter_reads_the_tail_or_else_everything() -> None:
    fake: Any = FakeLog()
    tools = await make_tools(fake)
    drain = codec.encode(records.ServerDrain("s0", True, "op"))
    await fake.append(streams.STEWARD, drain)
    for _ in range(2500):
        await fake.append(streams.STEWARD, b"not a record")
    reader = stream.StewardStream(fake)
    await reader.catch_up()
    assert (reader.fold.start, reader.fold.complete) == (0, True)
    await tools.stream.catch_up()
    await tools.append(tools.stream.fold.snapshot())
    reader = stream.StewardStream(fake)
    await reader.catch_up()
    assert reader.fold.start > 0
    assert reader.fold.view().is_draining("s0")
    assert reader.undecodable < 2500


async def test_feed_tells_of_table_and_stream() -> None:
    fake: Any = FakeLog()
    tools = await make_tools(fake)
    told: list[model.ActiveTable] = []
    entry = feed.SteeringFeed(fake, told.append, clock=lambda: NOW)
    in_force = tools.table.in_force
    assert in_force
    entry.on_table(in_force)
    assert told[-1].table.versions[steward_rig.NEW].weight == 0
    for _ in range(3):
        for record in tools.stream.actor.rollout_records(in_force.table, NOW):
            await tools.append(record)
    await entry.stream.catch_up()
    assert told[-1].table.versions[steward_rig.NEW].weight == 0.25
    assert len(told) == 2
    drain = records.ServerDrain("s0", True, "op")
    await fake.append(streams.STEWARD, codec.encode(drain))
    await entry.stream.catch_up()
    assert told[-1].table.servers == {}
    assert told[-1].revision == in_force.revision


async def test_page_read_before_a_restart_leaves_no_gap() -> None:
    fake: Any = FakeLog()
    for name in ("s0", "s1", "s2"):
        drain = codec.encode(records.ServerDrain(name, True, "op"))
        await fake.append(streams.STEWARD, drain)
    reader = stream.StewardStream(fake)
    reader.begin(2)
    page = await fake.read(streams.STEWARD, 2)
    reader.begin(0)
    for record in page.records:
        reader.on_record(record, codec.decode(record.payload))
    assert reader.fold.next_offset == 0
    await reader.catch_up()
    assert len(reader.fold.state.draining) == 3
