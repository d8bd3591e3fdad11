"""Assembles a steward and runs it until a stop signal."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any, TYPE_CHECKING

import aiohttp
from aiohttp import web

from hoistmoor.clients import engines as engine_clients
from hoistmoor.clients import hosts
from hoistmoor.clients import log
from hoistmoor.clients import ratings
from hoistmoor.clients import sessions
from hoistmoor.clients import weights
from hoistmoor.core import errors
from hoistmoor.core import identity
from hoistmoor.core.steward import actor as actor_lib
from hoistmoor.entry import table_follower
from hoistmoor.steward import actor_stream
from hoistmoor.steward import background_tasks
from hoistmoor.steward import engines
from hoistmoor.steward import evidence_keeper
from hoistmoor.steward import status
from hoistmoor.utils import listening
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib
from hoistmoor.utils import signals

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine

    from hoistmoor.config import settings as settings_lib

# Bounds a graceful stop when the log does not respond.
LEASE_RELEASE_TIMEOUT = 3.0

_LOG = logs.PartLogger("steward")


async def serve(settings: settings_lib.StewardSettings) -> None:
    """Runs a steward until SIGTERM or SIGINT, then releases its lease."""
    stop = signals.stop_event()
    async with sessions.make_session() as session:
        context = make_context(settings, session)
        async with (
            _serve_status(settings, context),
            _run_tasks(_make_tasks(settings, session, context)) as tasks,
        ):
            await _wait_for_any(stop.wait(), tasks)
        await release_lease(context)
    context.metrics.close()


def make_context(
    settings: settings_lib.StewardSettings, session: aiohttp.ClientSession
) -> background_tasks.StewardContext:
    """Returns the state that the tasks share, for the given settings."""
    started_ms = int(time.time() * 1000)
    incarnation = identity.Incarnation(settings.host, started_ms)
    client = log.LogClient(session, settings.log_url)
    return background_tasks.StewardContext(
        client=client,
        stream=actor_stream.ActorStream(client, actor_lib.Actor(incarnation)),
        table=table_follower.TableFollower(client),
        metrics=metrics_lib.Metrics(settings.statsd),
    )


async def release_lease(context: background_tasks.StewardContext) -> None:
    """Releases the lease, so that another steward can take over at once."""
    record = context.stream.actor.release_record()
    if record is None:
        return
    try:
        async with asyncio.timeout(LEASE_RELEASE_TIMEOUT):
            await context.append(record)
    except (errors.PlatformError, TimeoutError):
        _LOG.warning("Could not release the lease; it will expire")


def _make_tasks(
    settings: settings_lib.StewardSettings,
    session: aiohttp.ClientSession,
    context: background_tasks.StewardContext,
) -> list[Coroutine[Any, Any, None]]:
    client = engine_clients.EngineClient(session)
    store = weights.WeightStoreClient(session, settings.weights_base)
    order_sender = engines.OrderSender(
        client, store, context.stream, context.metrics
    )
    reconciler = background_tasks.Reconciler(
        context,
        engines.EngineMonitor(client),
        order_sender,
        hosts.HostListClient(session, settings.hosts_base),
    )
    rating_client = ratings.RatingsClient(session, settings.ratings_base)
    return [
        context.stream.run(),
        context.table.run(),
        background_tasks.keep_lease(context),
        background_tasks.advance_rollouts(context),
        background_tasks.count_ratings(context, rating_client),
        background_tasks.keep_snapshots(context),
        evidence_keeper.EvidenceKeeper(context).run(),
        reconciler.run(),
    ]


@contextlib.asynccontextmanager
async def _serve_status(
    settings: settings_lib.StewardSettings,
    context: background_tasks.StewardContext,
) -> AsyncIterator[None]:
    runner = web.AppRunner(status.make_application(context))
    await runner.setup()
    try:
        listener = listening.bind(settings.listen)
        await web.SockSite(runner, listener).start()
        _LOG.info("Listening on %s", listening.address_of(listener))
        yield
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def _run_tasks(
    coroutines: list[Coroutine[Any, Any, None]],
) -> AsyncIterator[set[asyncio.Task[None]]]:
    """Runs the coroutines as tasks, and cancels them on exit."""
    tasks = {asyncio.create_task(coroutine) for coroutine in coroutines}
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_for_any(
    stop_requested: Coroutine[Any, Any, Any], tasks: set[asyncio.Task[None]]
) -> None:
    """Returns when a stop is requested; raises the error of a failed task."""
    stop_task = asyncio.create_task(stop_requested)
    done, _ = await asyncio.wait(
        {stop_task, *tasks}, return_when=asyncio.FIRST_COMPLETED
    )
    stop_task.cancel()
    for task in done:
        task.result()
