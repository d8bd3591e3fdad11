"""Runs a relay's background tasks, and starts one that failed again.

Requests go on meanwhile. What a task no longer keeps current ages: without a
current configuration, a host reports itself as not ready and refuses requests.
"""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from hoistmoor.utils import error_place

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from hoistmoor.relay import state as state_lib


# Seconds until a task that failed starts again. The delay doubles with each
# failure in a row, as the same input may make the task fail again.
FIRST_RESTART_DELAY = 1.0
MAX_RESTART_DELAY = 30.0
# Seconds without a failure after which the next one is the first in a row.
STABLE_SECONDS = 60.0


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

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, name: str) -> None:
        delay = FIRST_RESTART_DELAY
        while True:
            began = self._state.clock()
            try:
                await self._loops[name]()
            except Exception as error:
                if self._state.clock() - began >= STABLE_SECONDS:
                    delay = FIRST_RESTART_DELAY
                self._report(name, error, delay)
            else:
                return
            await asyncio.sleep(delay)
            delay = min(MAX_RESTART_DELAY, delay * 2.0)

    def _report(self, name: str, error: Exception, delay: float) -> None:
        self._state.counters.task_failures.labels(name).inc()
        self._state.log_change(
            "task_failed",
            task=name,
            error=repr(error),
            place=error_place.innermost(error),
            starts_in=delay,
        )
