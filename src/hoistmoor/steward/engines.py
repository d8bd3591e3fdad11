"""Reads engines' conditions back and gives them orders."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import engines
from hoistmoor.clients import replies
from hoistmoor.clients import weights
from hoistmoor.core import errors
from hoistmoor.core.steward import placement
from hoistmoor.core.steward import planner
from hoistmoor.core.table import model
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hoistmoor.steward import watch

READS_PER_SECOND = 10.0  # Bounds the traffic when there are many engines.
MIN_PASS_SECONDS = 2.0
MIN_CHANGE_SECONDS = 5.0  # Until a pass that a change of wishes brings on.
READS_AT_ONCE = 8

_LOG = logs.PartLogger("steward")


def pass_seconds(servers: int) -> float:
    """Returns how long one pass over that many engines should take."""
    return max(MIN_PASS_SECONDS, servers / READS_PER_SECOND)


class EngineMonitor:
    """Keeps what each engine said of itself when last read.

    Attributes:
        conditions: Engines' conditions by name of the server.
    """

    def __init__(self, client: engines.EngineClient) -> None:
        """Makes a monitor that knows no engine yet."""
        self.client = client
        self.conditions: dict[str, placement.EngineCondition] = {}

    async def read_all(
        self, servers: list[model.Server], leaving: frozenset[str]
    ) -> None:
        """Reads each engine once, a few at a time.

        Args:
            servers: The engines in the table.
            leaving: Names of those that the platform lists as leaving.
        """
        limit = asyncio.Semaphore(READS_AT_ONCE)

        async def read(server: model.Server) -> None:
            async with limit:
                await self.read_one(server, server.server in leaving)

        await asyncio.gather(*(read(server) for server in servers))
        gone = self.conditions.keys() - {server.server for server in servers}
        for name in gone:
            del self.conditions[name]

    async def read_one(
        self, server: model.Server, leaving: bool | None = None
    ) -> None:
        """Reads one engine back; a failed read counts as missed.

        Args:
            server: The engine.
            leaving: Whether the platform lists it as leaving; None if that
                was not asked again.
        """
        known = self.conditions.get(server.server)
        if leaving is None:
            leaving = known is not None and known.leaving
        try:
            state = await self.client.state(server.address)
        except errors.PlatformError:
            if known is not None:
                missed = attrs.evolve(
                    known, failed_reads=known.failed_reads + 1
                )
                self.conditions[server.server] = missed
            return
        self.conditions[server.server] = _condition(state, leaving)


def _condition(
    state: engines.EngineState, leaving: bool
) -> placement.EngineCondition:
    return placement.EngineCondition(
        fencing=state.fencing,
        wanted=frozenset(state.wanted),
        loaded=frozenset(state.loaded),
        loading=frozenset(state.loading),
        leaving=leaving,
    )


class OrderDesk:
    """Gives orders, each under the fencing number of the lease.

    Attributes:
        weights_blocked_until: No load is ordered before, as the weight store
            asked to wait.
    """

    def __init__(
        self,
        client: engines.EngineClient,
        store: weights.WeightStoreClient,
        stream: watch.WatchedStream,
        metrics: metrics_lib.Metrics,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Makes a desk that orders nothing by itself."""
        self.client = client
        self.store = store
        self.stream = stream
        self.metrics = metrics
        self.weights_blocked_until = 0.0
        self._clock = clock

    async def give(
        self,
        orders: tuple[planner.PlannedOrder, ...],
        fencing: int,
        monitor: EngineMonitor,
    ) -> None:
        """Gives the orders one by one, and reads each outcome back.

        Stops where the lease is found to be lost. A log that cannot be read
        stops only orders to engines that ignore fencing numbers.
        """
        for order in orders:
            if not await self._weights_allow(order):
                continue
            if not await self._still_acting(order.server, fencing):
                return
            await self._give_one(order, fencing)
            await monitor.read_one(order.server)

    async def _still_acting(self, server: model.Server, fencing: int) -> bool:
        """Returns whether this steward should still give orders.

        An engine that ignores fencing numbers obeys anybody, so the stream is
        read to its end just before. That narrows the window in which a late
        order can slip through; the next pass of whoever acts closes it.
        """
        if not server.checks_fencing:
            try:
                await self.stream.catch_up()
            except errors.PlatformError:
                return False
        return self.stream.actor.active_fencing_token(self._clock()) == fencing

    async def _weights_allow(self, order: planner.PlannedOrder) -> bool:
        """Returns whether the weight store can serve the order's loads."""
        if not order.loads:
            return True
        if self._clock() < self.weights_blocked_until:
            return False
        try:
            for key in sorted(order.loads):
                name, _, version = key.partition("@")
                await self.store.fetch_info(name, version)
        except replies.RateLimitedError as error:
            self.weights_blocked_until = self._clock() + error.retry_after
            return False
        except errors.PlatformError as error:
            _LOG.warning("No order to %s: %s", order.server.server, error)
            return False
        return True

    async def _give_one(
        self, planned: planner.PlannedOrder, fencing: int
    ) -> None:
        wanted = tuple(sorted(planned.wanted))
        name = planned.server.server
        try:
            await self.client.order(
                planned.server.address, engines.Order(fencing, wanted)
            )
        except errors.PlatformError as error:
            _LOG.warning("Order to %s failed: %s", name, error)
            return
        self.metrics.count("steward.order")
        _LOG.info("Ordered %s to have %s", name, ", ".join(wanted) or "none")


def listed_engines(table: model.Table) -> list[model.Server]:
    """Returns the rows of all backend servers that are model engines."""
    kinds: Mapping[str, model.Service] = table.services
    return [
        server
        for server in table.servers.values()
        if kinds[server.service].kind is model.ServiceKind.ENGINE
    ]
