"""Runs the components of an entry host until it is signalled to stop."""

from __future__ import annotations

import asyncio
import sys
from typing import Any, TYPE_CHECKING

from aiohttp import web

from hoistmoor.clients import sessions as http_sessions
from hoistmoor.entry import factory
from hoistmoor.entry import listening_sockets as listening_sockets_lib
from hoistmoor.utils import listening
from hoistmoor.utils import logs
from hoistmoor.utils import signals

if TYPE_CHECKING:
    from hoistmoor.config import settings as settings_lib

CLOSE_TIMEOUT_SECONDS = 3.0  # For connections, after requests end.

_LOG = logs.PartLogger("entry")


async def serve(settings: settings_lib.EntrySettings) -> None:
    """Runs an entry host until SIGTERM or SIGINT, then shuts down gracefully.

    Args:
        settings: Validated settings.
    """
    stop = signals.stop_event()
    listeners = listening_sockets_lib.ListeningSockets.bind(settings)
    bound = listeners.with_bound_ports(settings)
    async with (
        http_sessions.make_session() as session,
        http_sessions.make_session(total_timeout=None) as backend_session,
    ):
        entry = factory.EntryFactory(bound, session, backend_session).make()
        await _run(entry, bound, listeners, stop)


async def _run(
    entry: factory.Entry,
    settings: settings_lib.EntrySettings,
    listeners: listening_sockets_lib.ListeningSockets,
    stop: asyncio.Event,
) -> None:
    runner = web.AppRunner(
        entry.web,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=CLOSE_TIMEOUT_SECONDS,
    )
    await runner.setup()
    tasks = _start(entry)
    try:
        site = await _listen(entry, settings, listeners, runner)
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait(
            {stopping, *tasks}, return_when=asyncio.FIRST_COMPLETED
        )
        _raise_first_failure(tasks)
        await _stop_gracefully(entry, settings.stop_timeout)
        tls = entry.auth.tls.caller_context if entry.auth.tls else None
        await entry.connection_drainer.close(
            runner, site, listeners.callers, tls
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await _stop_components(entry)
        await entry.peers.close()
        await runner.cleanup()


def _start(entry: factory.Entry) -> list[asyncio.Task[Any]]:
    parts = entry.parts
    parts.once.start()
    parts.biller.start()
    parts.admission.start()
    loops = {
        "table": entry.follower.run(),
        "membership": entry.members.run(),
        "ratings": parts.ratings.run(),
        "evidence": entry.evidence.run(),
        "steering": entry.steering.run(),
        "loads": parts.load_poller.run(),
        "decisions": parts.decision_log.run(),
        "claims": parts.once.watch(),
        "bills": parts.biller.watch(),
    }
    if entry.auth.tls:
        loops["tls"] = entry.auth.tls.reload_periodically()
    return [asyncio.create_task(loop, name=n) for n, loop in loops.items()]


def _raise_first_failure(tasks: list[asyncio.Task[Any]]) -> None:
    """Raises the exception of a failed task.

    The process must not keep serving with one of its tasks missing.
    """
    for task in tasks:
        if task.done():
            task.result()


async def _listen(
    entry: factory.Entry,
    settings: settings_lib.EntrySettings,
    listeners: listening_sockets_lib.ListeningSockets,
    runner: web.AppRunner,
) -> web.BaseSite:
    await entry.peers.start_on(listeners.peers)
    site = web.SockSite(
        runner,
        listeners.callers,
        backlog=listening.BACKLOG,
        ssl_context=entry.auth.tls.caller_context if entry.auth.tls else None,
    )
    await site.start()
    _LOG.info(
        "Listening for callers on %s and for peers on %s",
        settings.listen,
        settings.peer_listen,
    )
    sys.stdout.write(f"LISTENING {settings.listen}\n")
    sys.stdout.flush()
    return site


async def _stop_gracefully(entry: factory.Entry, timeout: float) -> None:
    """Completes running requests, then flushes or hands over pending data.

    Args:
        entry: The components of this host.
        timeout: Seconds to wait for requests, for claims and for bills, each.
    """
    _LOG.info("Shutting down; refusing new requests")
    entry.readiness.is_stopping = True
    await entry.members.leave()
    try:
        async with asyncio.timeout(timeout):
            await entry.reception.drain()
    except TimeoutError:
        remaining = len(entry.reception.request_tasks)
        _LOG.error("%d requests still running at the stop timeout", remaining)
    await entry.parts.ratings.flush()
    await entry.evidence.flush()
    await entry.parts.decision_log.flush(timeout)
    await entry.parts.admission.drain()
    await entry.parts.once.drain(timeout, entry.parts.biller.hand_over)
    await entry.parts.biller.drain(timeout)
    _LOG.info("Shutdown complete; bills, claims and evidence were drained")


async def _stop_components(entry: factory.Entry) -> None:
    await entry.parts.admission.stop()
    await entry.parts.once.stop()
    await entry.parts.biller.stop()
    entry.parts.metrics.close()
