"""The background tasks of a steward.

Each task reads the fold and the state of the system again on every pass, so it
can be cancelled at any point and continued by another steward.
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
from hoistmoor.steward import actor_stream
from hoistmoor.steward import engines
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

LEASE_CHECK_INTERVAL = 0.2  # Seconds between checks of the lease.
ROLLOUT_INTERVAL = 1.0
# Limits how many records of ratings are written, and how late they are.
RATINGS_INTERVAL = 5.0
RATINGS_PAGE_SIZE = 1000
SNAPSHOT_INTERVAL = 5.0

_LOG = logs.PartLogger("steward")


@attrs.define
class StewardContext:
    """State and clients that the tasks share.

    Attributes:
        client: Client of the platform's log.
        stream: The stream ``steward``, read through this steward's actor.
        table: Follower of the active table.
        metrics: Sends the metrics.
        clock: Returns seconds since the epoch.
    """

    client: log.LogClient
    stream: actor_stream.ActorStream
    table: table_follower.TableFollower
    metrics: metrics_lib.Metrics
    clock: Callable[[], float] = time.time

    def active_fencing_token(self) -> int | None:
        """Returns the fencing token of the lease, or None while on standby."""
        return self.stream.actor.active_fencing_token(self.clock())

    def active_table(self) -> model.Table | None:
        """Returns the active table, or None before there is one."""
        active = self.table.in_force
        return active.table if active else None

    async def append(self, record: Any) -> None:
        """Appends a record to the stream, then reads to the stream's end.

        The reply may be lost after the record was stored, so only the stream
        as read back tells whether the append succeeded.

        Raises:
            PlatformError: The log could not be written or read.
        """
        try:
            await self.client.append(streams.STEWARD, codec.encode(record))
        finally:
            await self.stream.catch_up()


async def keep_lease(context: StewardContext) -> None:
    """Requests the lease when it is free, and renews it while held."""
    was_active = False
    while True:
        record = context.stream.actor.next_lease_record(context.clock())
        if record is not None:
            try:
                await context.append(record)
            except errors.PlatformError as error:
                _LOG.warning("Could not request or renew the lease: %s", error)
        is_active = context.active_fencing_token() is not None
        if is_active != was_active:
            _LOG.info("Acting" if is_active else "Standing by")
            context.metrics.gauge("steward.acting", int(is_active))
        was_active = is_active
        await asyncio.sleep(LEASE_CHECK_INTERVAL)


async def advance_rollouts(context: StewardContext) -> None:
    """Appends the rollout records that are due."""
    while True:
        await asyncio.sleep(ROLLOUT_INTERVAL)
        table = context.active_table()
        if table is None or context.active_fencing_token() is None:
            continue
        try:
            await context.stream.catch_up()
            now = context.clock()
            for record in context.stream.actor.rollout_records(table, now):
                _LOG.info("Rollout: %s", record)
                await context.append(record)
        except errors.PlatformError as error:
            _LOG.warning("Could not advance rollouts: %s", error)


async def count_ratings(
    context: StewardContext, client: ratings.RatingsClient
) -> None:
    """Appends counts of new ratings to the log."""
    while True:
        counted = 0
        try:
            if context.active_fencing_token() is not None:
                counted = await _count_ratings_page(context, client)
        except errors.PlatformError as error:
            _LOG.warning("Could not count ratings: %s", error)
        if counted < RATINGS_PAGE_SIZE:
            await asyncio.sleep(RATINGS_INTERVAL)


async def _count_ratings_page(
    context: StewardContext, client: ratings.RatingsClient
) -> int:
    """Counts one page of ratings and returns its size."""
    start = context.stream.fold.state.ratings_next
    page = await client.poll(start, RATINGS_PAGE_SIZE)
    record = context.stream.actor.evidence_record(
        evidence.count_ratings(page.ratings), start, page.next, context.clock()
    )
    if record is not None:
        await context.append(record)
    return len(page.ratings)


async def keep_snapshots(context: StewardContext) -> None:
    """Appends snapshots of both streams before their records expire."""
    log_state = table_snapshots.LogState(first=0, next=0)
    while True:
        await asyncio.sleep(SNAPSHOT_INTERVAL)
        if context.active_fencing_token() is None:
            continue
        try:
            if context.stream.actor.needs_snapshot(
                context.stream.first_offset, context.clock()
            ):
                await context.append(context.stream.fold.snapshot())
            log_state = await _snapshot_table(context, log_state)
        except errors.PlatformError as error:
            _LOG.warning("Could not write a snapshot: %s", error)


async def _snapshot_table(
    context: StewardContext, log_state: table_snapshots.LogState
) -> table_snapshots.LogState:
    bounds = await context.client.bounds(streams.TABLE)
    log_state = attrs.evolve(log_state, first=bounds.first, next=bounds.next)
    fold = context.table.replay.fold
    now = context.clock()
    if fold is None or not table_snapshots.is_due(fold, log_state, now):
        return log_state
    as_of = fold.as_of
    await context.client.append(
        streams.TABLE, table_snapshots.encode_snapshot(fold)
    )
    return attrs.evolve(log_state, snapshot_as_of=as_of, snapshot_at=now)


class Reconciler:
    """Brings the engines to their desired state in repeated passes.

    Attributes:
        monitor: The engines' reported states.
        planner: Plans the orders.
        passes: Number of completed passes.
    """

    def __init__(
        self,
        context: StewardContext,
        monitor: engines.EngineMonitor,
        order_sender: engines.OrderSender,
        host_list: hosts.HostListClient,
    ) -> None:
        """Creates a reconciler; ``run`` starts it."""
        self.context = context
        self.monitor = monitor
        self.order_sender = order_sender
        self.host_list = host_list
        self.planner = planner_lib.Planner()
        self.passes = 0
        self._fencing = -1
        self._leaving_servers: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Makes passes while this steward is active, until cancelled."""
        while True:
            table = self.context.active_table()
            fencing = self.context.active_fencing_token()
            if table is None or fencing is None:
                await asyncio.sleep(engines.MIN_PASS_INTERVAL)
                continue
            await self.reconcile(table, fencing)
            await self._wait_for_next_pass(table)

    async def reconcile(self, table: model.Table, fencing: int) -> None:
        """Reads the state of every engine and sends the orders that are due."""
        if fencing != self._fencing:
            # The planner's state from an earlier lease may be outdated.
            self.planner = planner_lib.Planner()
            self._fencing = fencing
        await self._refresh_leaving_servers()
        rows = engines.listed_engines(table)
        await self.monitor.read_all(rows, self._leaving_servers)
        orders = self.planner.plan(
            table,
            self.context.stream.actor.view(),
            self.monitor.conditions,
            fencing,
            self.context.clock(),
        )
        await self.order_sender.send_all(orders, fencing, self.monitor)
        self.passes += 1

    async def _wait_for_next_pass(self, done: model.Table) -> None:
        """Waits for the next pass, which a new desired state brings forward."""
        count = len(engines.listed_engines(done))
        deadline = self.context.clock() + engines.pass_interval(count)
        earliest = self.context.clock() + engines.MIN_CHANGE_INTERVAL
        desired = self._desired_state(done)
        while self.context.clock() < deadline:
            await asyncio.sleep(ROLLOUT_INTERVAL)
            changed = (
                self._desired_state(self.context.active_table() or done)
                != desired
            )
            if changed and self.context.clock() >= earliest:
                return

    def _desired_state(self, table: model.Table) -> tuple[Any, ...]:
        """Returns everything that determines the desired state of engines."""
        state = self.context.stream.fold.state
        shares = {key: row.share for key, row in state.rollouts.items()}
        return (
            table.versions,
            table.servers,
            shares,
            state.withdrawn,
            state.draining,
        )

    async def _refresh_leaving_servers(self) -> None:
        try:
            listed = await self.host_list.fetch()
        except errors.PlatformError:
            return  # The list is delayed anyway; keeps the last one.
        self._leaving_servers = frozenset(
            host.name
            for host in listed
            if host.role is hosts.Role.BACKEND
            and host.state is hosts.ListedState.LEAVING
        )
