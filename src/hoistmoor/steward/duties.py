"""What a steward does, one duty a task.

Each duty looks at the fold and the world afresh on every pass, so that it can
be cut short anywhere and taken up by another steward.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time
from typing import Any

import attrs

from hoistmoor.clients import hosts
from hoistmoor.clients import log
from hoistmoor.clients import ratings
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.steward import evidence
from hoistmoor.core.steward import planner as planner_lib
from hoistmoor.core.table import model
from hoistmoor.core.table import snapshots as table_snapshots
from hoistmoor.entry import table_follower
from hoistmoor.steward import engines
from hoistmoor.steward import watch
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

LEASE_TICK = 0.2  # Seconds between looks at the lease.
ROLLOUT_TICK = 1.0
RATINGS_TICK = 5.0  # Bounds the records on ratings, and how late they are.
RATINGS_PAGE = 1000
SNAPSHOT_TICK = 5.0

_LOG = logs.PartLogger("steward")


@attrs.define
class Tools:
    """What the duties share.

    Attributes:
        client: The platform's log.
        stream: This steward's reading of its stream.
        table: The table in force.
        metrics: Where counters go.
        clock: Returns seconds since the epoch.
    """

    client: log.LogClient
    stream: watch.WatchedStream
    table: table_follower.TableFollower
    metrics: metrics_lib.Metrics
    clock: Callable[[], float] = time.time

    def acting(self) -> int | None:
        """Returns the fencing number to act with, or None to stand by."""
        return self.stream.actor.active_fencing_token(self.clock())

    def rows(self) -> model.Table | None:
        """Returns the table in force, or None before there is one."""
        in_force = self.table.in_force
        return in_force.table if in_force else None

    async def append(self, record: Any) -> None:
        """Appends one record to the stream, and reads on past it.

        A reply may be lost after the record was stored: what counts is what
        is read back, so the outcome of the append itself is not needed.

        Raises:
            PlatformError: The log could not be reached or read.
        """
        try:
            await self.client.append(streams.STEWARD, codec.encode(record))
        finally:
            await self.stream.catch_up()


async def keep_lease(tools: Tools) -> None:
    """Asks for the lease when it is free, and renews it while held."""
    acted = False
    while True:
        record = tools.stream.actor.lease_record(tools.clock())
        if record is not None:
            try:
                await tools.append(record)
            except errors.PlatformError as error:
                _LOG.warning("Cannot ask for the lease: %s", error)
        acts = tools.acting() is not None
        if acts != acted:
            _LOG.info("Acting" if acts else "Standing by")
            tools.metrics.gauge("steward.acting", int(acts))
        acted = acts
        await asyncio.sleep(LEASE_TICK)


async def move_rollouts(tools: Tools) -> None:
    """Appends the roll-out records that are due."""
    while True:
        await asyncio.sleep(ROLLOUT_TICK)
        table = tools.rows()
        if table is None or tools.acting() is None:
            continue
        try:
            await tools.stream.catch_up()
            now = tools.clock()
            for record in tools.stream.actor.rollout_records(table, now):
                _LOG.info("Roll-out: %s", record)
                await tools.append(record)
        except errors.PlatformError as error:
            _LOG.warning("Roll-outs stand still: %s", error)


async def count_ratings(tools: Tools, client: ratings.RatingsClient) -> None:
    """Puts counts of new ratings on the log."""
    while True:
        counted = 0
        try:
            if tools.acting() is not None:
                counted = await _count_page(tools, client)
        except errors.PlatformError as error:
            _LOG.warning("Ratings wait: %s", error)
        if counted < RATINGS_PAGE:
            await asyncio.sleep(RATINGS_TICK)


async def _count_page(tools: Tools, client: ratings.RatingsClient) -> int:
    """Counts one page of ratings; returns how many there were."""
    start = tools.stream.fold.state.ratings_next
    page = await client.poll(start, RATINGS_PAGE)
    record = tools.stream.actor.evidence_record(
        evidence.count_ratings(page.ratings), start, page.next, tools.clock()
    )
    if record is not None:
        await tools.append(record)
    return len(page.ratings)


async def keep_snapshots(tools: Tools) -> None:
    """Appends snapshots of both streams before retention takes them."""
    known = table_snapshots.LogState(first=0, next=0)
    while True:
        await asyncio.sleep(SNAPSHOT_TICK)
        if tools.acting() is None:
            continue
        try:
            if tools.stream.actor.needs_snapshot(
                tools.stream.first, tools.clock()
            ):
                await tools.append(tools.stream.fold.snapshot())
            known = await _snapshot_table(tools, known)
        except errors.PlatformError as error:
            _LOG.warning("Snapshots wait: %s", error)


async def _snapshot_table(
    tools: Tools, known: table_snapshots.LogState
) -> table_snapshots.LogState:
    bounds = await tools.client.bounds(streams.TABLE)
    known = attrs.evolve(known, first=bounds.first, next=bounds.next)
    fold = tools.table.replay.fold
    now = tools.clock()
    if fold is None or not table_snapshots.is_due(fold, known, now):
        return known
    as_of = fold.as_of
    await tools.client.append(
        streams.TABLE, table_snapshots.encode_snapshot(fold)
    )
    return attrs.evolve(known, snapshot_as_of=as_of, snapshot_at=now)


class Reconciler:
    """Brings engines to the wanted condition, pass after pass.

    Attributes:
        monitor: What the engines said of themselves.
        planner: Decides on the orders.
        passes: Passes done in all.
    """

    def __init__(
        self,
        tools: Tools,
        monitor: engines.EngineMonitor,
        desk: engines.OrderDesk,
        host_list: hosts.HostListClient,
    ) -> None:
        """Makes a reconciler; ``run`` starts it."""
        self.tools = tools
        self.monitor = monitor
        self.desk = desk
        self.host_list = host_list
        self.planner = planner_lib.Planner()
        self.passes = 0
        self._fencing = -1
        self._leaving: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Makes passes until cancelled, while this steward acts."""
        while True:
            table = self.tools.rows()
            fencing = self.tools.acting()
            if table is None or fencing is None:
                await asyncio.sleep(engines.MIN_PASS_SECONDS)
                continue
            await self.make_pass(table, fencing)
            await self._pause(table)

    async def make_pass(self, table: model.Table, fencing: int) -> None:
        """Reads every engine back and gives the orders that are due."""
        if fencing != self._fencing:
            # What it remembers of a former term says nothing of the present.
            self.planner = planner_lib.Planner()
            self._fencing = fencing
        await self._read_leaving()
        rows = engines.listed_engines(table)
        await self.monitor.read_all(rows, self._leaving)
        orders = self.planner.plan(
            table,
            self.tools.stream.actor.view(),
            self.monitor.conditions,
            fencing,
            self.tools.clock(),
        )
        await self.desk.give(orders, fencing, self.monitor)
        self.passes += 1

    async def _pause(self, done: model.Table) -> None:
        """Waits for the next pass; less if what is wanted has changed."""
        count = len(engines.listed_engines(done))
        deadline = self.tools.clock() + engines.pass_seconds(count)
        soonest = self.tools.clock() + engines.MIN_CHANGE_SECONDS
        wish = self._wish(done)
        while self.tools.clock() < deadline:
            await asyncio.sleep(ROLLOUT_TICK)
            changed = self._wish(self.tools.rows() or done) != wish
            if changed and self.tools.clock() >= soonest:
                return

    def _wish(self, table: model.Table) -> tuple[Any, ...]:
        """Returns all that the wanted condition of engines rests on."""
        state = self.tools.stream.fold.state
        shares = {key: row.share for key, row in state.rollouts.items()}
        return (
            table.versions,
            table.servers,
            shares,
            state.withdrawn,
            state.draining,
        )

    async def _read_leaving(self) -> None:
        try:
            listed = await self.host_list.fetch()
        except errors.PlatformError:
            return  # The list lags anyway; the last one serves.
        self._leaving = frozenset(
            host.name
            for host in listed
            if host.role is hosts.Role.BACKEND
            and host.state is hosts.ListedState.LEAVING
        )
