"""Graceful stop on SIGTERM and SIGINT, and a look at settings on SIGHUP."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_event() -> asyncio.Event:
    """Returns an event that the first stop signal sets.

    Must be called inside the running event loop. A second signal changes
    nothing: the stop stays graceful, bounded by ``--stop-timeout``.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, event.set)
    return event


def on_reload(callback: Callable[[], None]) -> None:
    """Has ``callback`` called for each SIGHUP, which then ends no process.

    Must be called inside the running event loop.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, callback)
