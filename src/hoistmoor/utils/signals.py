"""Handlers for SIGTERM and SIGINT (graceful stop) and SIGHUP (reload)."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_event() -> asyncio.Event:
    """Returns an event that is set by the first stop signal.

    Must be called inside the running event loop. Further signals have no
    effect: the stop remains graceful, limited by ``--stop-timeout``.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, event.set)
    return event


def on_reload(callback: Callable[[], None]) -> None:
    """Calls ``callback`` on each SIGHUP, which then no longer ends the process.

    Must be called inside the running event loop.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, callback)
