"""Supervision of background tasks, so that no failure goes unnoticed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine


class SupervisedTasks:
    """Background tasks that run until stopped; an exception is a failure."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed = asyncio.Event()
        self._error: BaseException | None = None

    def start(self, coroutine: Coroutine[None, None, None], name: str) -> None:
        """Starts a background task."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_for_failure(self) -> None:
        """Waits until a task fails and raises its exception."""
        await self._failed.wait()
        if self._error is not None:
            raise self._error

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._error = task.exception()
            self._failed.set()
