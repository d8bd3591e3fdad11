"""Runs a stand-in until a signal arrives, then stops it gracefully."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
import contextlib
import signal
import sys
from typing import Any

from aiohttp import web
import attrs
import uvloop

from hoistmoor.standins import options
from hoistmoor.standins import web_application as standin_web

_IDLE_POLL_INTERVAL = 0.02  # Seconds between checks for work in flight.
_MAX_STOP_SECONDS = 60.0  # Time that work in flight gets to complete.
_CLOSE_TIMEOUT = 0.5  # Seconds for handlers that a fault blocks.
_BACKLOG = 4096  # Maximum number of connections waiting to be accepted.


@attrs.frozen
class Program:
    """A stand-in to run.

    Attributes:
        application: Application with the routes of the stand-in.
        tasks: Background tasks of the stand-in.
        stop: Called when a stop begins, before waiting for work in flight.
        is_idle: Returns whether no work is in flight.
        linger_seconds: Seconds for which a stopping stand-in continues to
            decline new work, so that requests already on their way are not cut
            off.
    """

    application: web.Application
    tasks: tuple[Callable[[], Coroutine[Any, Any, None]], ...] = ()
    stop: Callable[[], None] = lambda: None
    is_idle: Callable[[], bool] = lambda: True
    linger_seconds: float = 0.0


def run(make_program: Callable[[], Program], listen: str) -> None:
    """Runs a program on ``ip:port`` until SIGTERM or SIGINT."""
    uvloop.run(_serve(make_program, *options.parse_address(listen)))


@contextlib.asynccontextmanager
async def serve_program(
    program: Program,
    host: str = "127.0.0.1",
    port: int = 0,
    linger: float = 0.0,
) -> AsyncIterator[str]:
    """Serves a program within the context.

    Args:
        program: Program to serve.
        host: IP address to listen on.
        port: Port to listen on; 0 for any free port.
        linger: Seconds that open connections get to close gracefully.

    Yields:
        The ``ip:port`` that the program listens on.
    """
    runner = web.AppRunner(
        program.application, access_log=None, shutdown_timeout=_CLOSE_TIMEOUT
    )
    await runner.setup()
    tasks = [asyncio.create_task(run_task()) for run_task in program.tasks]
    try:
        site = web.TCPSite(runner, host, port, backlog=_BACKLOG)
        await site.start()
        bound_host, bound_port = runner.addresses[0][:2]
        yield f"{bound_host}:{bound_port}"
        # Accepts no new connections. Open ones close after their next response,
        # since closing at any other time could cut off a request on its way.
        await site.stop()
        program.application[standin_web.CLOSING].set()
        await asyncio.sleep(linger)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.cleanup()


async def _serve(
    make_program: Callable[[], Program], host: str, port: int
) -> None:
    program = make_program()
    stopped = _handle_signals()
    async with serve_program(
        program, host, port, program.linger_seconds
    ) as address:
        sys.stdout.write(f"LISTENING {address}\n")
        sys.stdout.flush()
        await stopped.wait()
        await _drain(program)


def _handle_signals() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def _drain(program: Program) -> None:
    program.stop()
    await asyncio.sleep(program.linger_seconds)
    deadline = asyncio.get_running_loop().time() + _MAX_STOP_SECONDS
    while not program.is_idle():
        if asyncio.get_running_loop().time() > deadline:
            return
        await asyncio.sleep(_IDLE_POLL_INTERVAL)
