"""Runs a relay's background tasks and reports which one fails, and where."""

from __future__ import annotations

import asyncio
import traceback
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from hoistmoor.relay import state as state_lib


class BackgroundTasks:
    """The background tasks of a relay, by name."""

    def __init__(
        self,
        state: state_lib.RelayState,
        loops: Mapping[str, Callable[[], Coroutine[Any, Any, None]]],
    ) -> None:
        """Creates the tasks without starting them.

        Args:
            state: Shared state of the relay.
            loops: Background tasks by name; each runs until cancelled.
        """
        self._state = state
        self._loops = loops
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts all tasks."""
        self._tasks = [
            asyncio.create_task(self._run(name), name=name)
            for name in self._loops
        ]

    async def wait(self, stop: asyncio.Event) -> None:
        """Waits until ``stop`` is set; raises the error of a failed task."""
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait(
            {stopping, *self._tasks}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in self._tasks:
            if task.done():
                task.result()

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, name: str) -> None:
        try:
            await self._loops[name]()
        except Exception as error:
            self._state.counters.task_failures.labels(name).inc()
            self._state.log_change(
                "task_failed",
                task=name,
                error=repr(error),
                place=_innermost_place(error),
            )
            raise


def _innermost_place(error: Exception) -> str:
    """Returns the function and line that raised an error."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{last.filename.rpartition('/')[2]}:{last.lineno} {last.name}"
