"""Ends the requests that are in progress when this host stops."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Set as AbstractSet

    from hoistmoor.relay import state as state_lib

# Seconds in which callers may take their responses, shorter than what is left
# until the process is killed.
END_SECONDS = 0.4


async def end_requests(
    state: state_lib.RelayState, running: AbstractSet[asyncio.Task[Any]]
) -> None:
    """Gives requests in progress their final response.

    Args:
        state: State of the relay.
        running: Tasks of the requests, which call ``take_cancellation``. Those
            that already send it are not interrupted.
    """
    state.ending = True
    for task in running - state.delivering:
        task.cancel()
    if running:
        await asyncio.wait(running, timeout=END_SECONDS)


@contextlib.contextmanager
def delivering(state: state_lib.RelayState) -> Iterator[None]:
    """Lets the current task send its final response although the host ends."""
    task = asyncio.current_task()
    assert task is not None
    state.delivering.add(task)
    try:
        yield
    finally:
        state.delivering.discard(task)


def take_cancellation(state: state_lib.RelayState) -> bool:
    """Returns whether the current task was cancelled by ``end_requests``.

    If so, the task goes on. Otherwise its caller has left.
    """
    task = asyncio.current_task()
    if not state.ending or task is None:
        return False
    task.uncancel()
    return True
