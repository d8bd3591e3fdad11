"""Reads the state of engines and sends them orders."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import engines
from hoistmoor.clients import service_client
from hoistmoor.clients import weights
from hoistmoor.core import errors
from hoistmoor.core.steward import placement
from hoistmoor.core.steward import planner
from hoistmoor.core.table import model
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hoistmoor.steward import actor_stream

MAX_READS_PER_SECOND = 10.0  # Limits the traffic with many engines.
MIN_PASS_INTERVAL = 2.0
MIN_CHANGE_INTERVAL = 5.0  # Before a pass that a new desired state triggers.
MAX_CONCURRENT_READS = 8

_LOG = logs.PartLogger("steward")


def pass_interval(servers: int) -> float:
    """Returns the seconds from one pass over the engines to the next."""
    return max(MIN_PASS_INTERVAL, servers / MAX_READS_PER_SECOND)


class EngineMonitor:
    """Keeps the state that each engine last reported.

    Attributes:
        conditions: State of each engine, by name of the server.
    """

    def __init__(self, client: engines.EngineClient) -> None:
        """Creates a monitor that has read no engine yet."""
        self.client = client
        self.conditions: dict[str, placement.EngineCondition] = {}

    async def read_all(
        self, servers: list[model.Server], leaving: frozenset[str]
    ) -> None:
        """Reads each engine once, with limited concurrency.

        Args:
            servers: The engines in the table.
            leaving: Names of those that the platform lists as leaving.
        """
        limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def read(server: model.Server) -> None:
            async with limit:
                await self.read_one(server, server.server in leaving)

        await asyncio.gather(*(read(server) for server in servers))
        removed = self.conditions.keys() - {server.server for server in servers}
        for name in removed:
            del self.conditions[name]

    async def read_one(
        self, server: model.Server, leaving: bool | None = None
    ) -> None:
        """Reads the state of one engine, and counts failed reads.

        Args:
            server: The engine.
            leaving: Whether the platform lists it as leaving; None keeps the
                last known value.
        """
        known = self.conditions.get(server.server)
        if leaving is None:
            leaving = known is not None and known.leaving
        try:
            state = await self.client.fetch_state(server.address)
        except errors.PlatformError:
            if known is not None:
                failed = attrs.evolve(
                    known, failed_reads=known.failed_reads + 1
                )
                self.conditions[server.server] = failed
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


class OrderSender:
    """Sends orders, each with the fencing token of the lease.

    Attributes:
        weights_blocked_until: Time before which no load is ordered, as the
            weight store limits the rate of requests.
    """

    def __init__(
        self,
        client: engines.EngineClient,
        store: weights.WeightStoreClient,
        stream: actor_stream.ActorStream,
        metrics: metrics_lib.Metrics,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a sender; ``give`` sends orders."""
        self.client = client
        self.store = store
        self.stream = stream
        self.metrics = metrics
        self.weights_blocked_until = 0.0
        self._clock = clock

    async def send_all(
        self,
        orders: tuple[planner.PlannedOrder, ...],
        fencing: int,
        monitor: EngineMonitor,
    ) -> None:
        """Sends the orders one by one, and reads each engine afterwards.

        Stops once the lease is lost, or at an order to an engine that ignores
        fencing tokens while the log cannot be read.
        """
        for order in orders:
            if not await self._are_weights_available(order):
                continue
            if not await self._is_still_active(order.server, fencing):
                return
            await self._send_order(order, fencing)
            await monitor.read_one(order.server)

    async def _is_still_active(
        self, server: model.Server, fencing: int
    ) -> bool:
        """Returns whether this steward should still send orders.

        An engine that ignores fencing tokens accepts orders from any steward,
        so the stream is read to its end first. An outdated order can still be
        sent in the short time after the read; the next pass of the active
        steward corrects it.
        """
        if not server.checks_fencing:
            try:
                await self.stream.catch_up()
            except errors.PlatformError:
                return False
        return self.stream.actor.active_fencing_token(self._clock()) == fencing

    async def _are_weights_available(self, order: planner.PlannedOrder) -> bool:
        """Returns whether the weight store has the weights to be loaded."""
        if not order.loads:
            return True
        if self._clock() < self.weights_blocked_until:
            return False
        try:
            for key in sorted(order.loads):
                name, _, version = key.partition("@")
                await self.store.fetch_info(name, version)
        except service_client.RateLimitedError as error:
            self.weights_blocked_until = self._clock() + error.retry_after
            return False
        except errors.PlatformError as error:
            _LOG.warning(
                "Sent no order to %s; checking the weights failed: %s",
                order.server.server,
                error,
            )
            return False
        return True

    async def _send_order(
        self, planned: planner.PlannedOrder, fencing: int
    ) -> None:
        wanted = tuple(sorted(planned.wanted))
        name = planned.server.server
        try:
            await self.client.send_order(
                planned.server.address, engines.Order(fencing, wanted)
            )
        except errors.PlatformError as error:
            _LOG.warning("Order to %s failed: %s", name, error)
            return
        self.metrics.count("steward.order")
        _LOG.info(
            "Ordered %s to keep loaded: %s", name, ", ".join(wanted) or "none"
        )


def listed_engines(table: model.Table) -> list[model.Server]:
    """Returns the table rows of all backend servers that are engines."""
    kinds: Mapping[str, model.Service] = table.services
    return [
        server
        for server in table.servers.values()
        if kinds[server.service].kind is model.ServiceKind.ENGINE
    ]
