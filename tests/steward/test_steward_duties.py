"""Tasks of a steward on an in-memory log: lost replies and retention."""

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
from hoistmoor.steward import actor_stream
from hoistmoor.steward import background_tasks
from hoistmoor.steward import evidence_keeper
from hoistmoor.steward import feed
from hoistmoor.steward import operator_records
from hoistmoor.steward import stream
from hoistmoor.utils import metrics

NOW = 1000.0


@attrs.define
class FakeLog:
    """Log that retains a number of records and can lose replies."""

    retained: int = 10_000
    loses_replies: bool = False
    payloads: dict[str, list[bytes]] = attrs.field(factory=dict)

    def first(self, name: str) -> int:
        """Returns the oldest retained offset."""
        return max(0, len(self.payloads.get(name, [])) - self.retained)

    async def append(self, name: str, payload: bytes) -> int:
        """Stores a record; fails afterwards if replies are lost."""
        self.payloads.setdefault(name, []).append(payload)
        if self.loses_replies:
            raise errors.LogOutcomeUnknownError("no reply", "Read the stream.")
        return len(self.payloads[name]) - 1

    async def bounds(self, name: str) -> log.LogBounds:
        """Returns the oldest retained and the next offset."""
        return log.LogBounds(self.first(name), len(self.payloads.get(name, [])))

    async def read(
        self, name: str, start: int, limit: int = 500, wait: float = 0.0
    ) -> log.LogPage:
        """Returns a page of records."""
        first = self.first(name)
        if start < first:
            raise errors.LogOffsetExpiredError(name, start, first)
        page = self.payloads.get(name, [])[start : start + limit]
        page_records = tuple(
            log.LogRecord(start + n, NOW, payload)
            for n, payload in enumerate(page)
        )
        return log.LogPage(first, start + len(page_records), page_records)


async def make_context(fake: Any) -> background_tasks.StewardContext:
    """Returns the context of an active steward that has a table."""
    actor = actor_lib.Actor(identity.Incarnation("a", 1))
    reader = actor_stream.ActorStream(fake, actor, clock=lambda: NOW)
    follower = table_follower.TableFollower(fake, poll_seconds=0.0)
    context = background_tasks.StewardContext(
        fake, reader, follower, metrics.Metrics(), clock=lambda: NOW
    )
    changes = edits.diff(model.Table(), steward_rig.make_table("10.0.0.1:1"))
    edit = edits.TableEdit("first", -1, "test", 0.0, changes)
    await fake.append(streams.TABLE, codec.encode(edit))
    await follower.step()
    await reader.catch_up()
    actor.lease_record_sent_at = NOW
    await context.append(records.LeaseRequest(actor.incarnation, 15.0))
    assert context.active_fencing_token() == 0
    return context


async def test_rollout_record_with_a_lost_reply_is_read_back() -> None:
    fake = FakeLog()
    context = await make_context(fake)
    fake.loses_replies = True
    table = context.active_table()
    assert table
    for _ in range(4):
        for record in context.stream.actor.rollout_records(table, NOW):
            with pytest.raises(errors.LogOutcomeUnknownError):
                await context.append(record)
    rollout = context.stream.fold.state.rollouts[steward_rig.NEW]
    assert rollout.stage_index == 0
    assert len(fake.payloads[streams.STEWARD]) == 3


async def test_operator_record_with_a_lost_reply_is_confirmed() -> None:
    fake: Any = FakeLog(loses_replies=True)
    record = records.ServerDrain("s0", True, "op")
    view = await operator_records.append_and_confirm(
        fake, record, lambda view: view.is_draining("s0")
    )
    assert view.is_draining("s0")
    with pytest.raises(errors.LogOutcomeUnknownError):
        await operator_records.append_and_confirm(
            fake, record, lambda view: False
        )


async def test_tally_and_withdrawals_are_kept_beyond_retention() -> None:
    fake = FakeLog()
    context = await make_context(fake)
    table = context.active_table()
    assert table
    digest = exposure.row_digest(table.versions[steward_rig.NEW])
    bad = messages.Withdrawal(steward_rig.NEW, "*", digest, "x.1", NOW, "e")
    stale = attrs.evolve(bad, version=steward_rig.OLD, row_digest="older")
    for record in (bad, stale, *(make_claim(n, digest) for n in range(40))):
        await fake.append(streams.EVIDENCE, codec.encode(record))
    keeper = evidence_keeper.EvidenceKeeper(context)
    await keeper.step()
    view = context.stream.actor.view()
    assert view.is_withdrawn(table.versions[steward_rig.NEW])
    assert not view.is_withdrawn(table.versions[steward_rig.OLD])

    fake.retained = 20  # The withdrawals and half the claims expire.
    await keeper.step()
    await keeper.step()
    offset = fake.first(streams.EVIDENCE)
    late = exposure.ExposureLedger()
    late.on_gap(offset)
    withdrawn = []
    for payload in fake.payloads[streams.EVIDENCE][offset:]:
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


async def test_new_reader_reads_the_tail_or_else_the_whole_stream() -> None:
    fake: Any = FakeLog()
    context = await make_context(fake)
    drain = codec.encode(records.ServerDrain("s0", True, "op"))
    await fake.append(streams.STEWARD, drain)
    for _ in range(2500):
        await fake.append(streams.STEWARD, b"not a record")
    reader = stream.StewardStream(fake)
    await reader.catch_up()
    assert (reader.fold.start, reader.fold.complete) == (0, True)
    await context.stream.catch_up()
    await context.append(context.stream.fold.snapshot())
    reader = stream.StewardStream(fake)
    await reader.catch_up()
    assert reader.fold.start > 0
    assert reader.fold.view().is_draining("s0")
    assert reader.undecodable < 2500


async def test_feed_delivers_changes_of_table_and_stream() -> None:
    fake: Any = FakeLog()
    context = await make_context(fake)
    delivered: list[model.ActiveTable] = []
    entry = feed.SteeringFeed(fake, delivered.append, clock=lambda: NOW)
    active_table = context.table.in_force
    assert active_table
    entry.on_table(active_table)
    assert delivered[-1].table.versions[steward_rig.NEW].weight == 0
    for _ in range(3):
        for record in context.stream.actor.rollout_records(
            active_table.table, NOW
        ):
            await context.append(record)
    await entry.stream.catch_up()
    assert delivered[-1].table.versions[steward_rig.NEW].weight == 0.25
    assert len(delivered) == 2
    drain = records.ServerDrain("s0", True, "op")
    await fake.append(streams.STEWARD, codec.encode(drain))
    await entry.stream.catch_up()
    assert delivered[-1].table.servers == {}
    assert delivered[-1].revision == active_table.revision


async def test_page_read_before_a_reset_leaves_no_gap() -> None:
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
