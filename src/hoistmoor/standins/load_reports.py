"""Lagging load reports, which all backend server stand-ins provide."""

from __future__ import annotations

import asyncio
from collections import deque
import time
from typing import Any, TYPE_CHECKING

from hoistmoor.standins import fault_registry
from hoistmoor.standins import responses

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

_PATH = "/load"
_MAX_SAMPLES = 2000


class LoadReporter:
    """Samples the load periodically and reports a sample as old as the lag."""

    def __init__(
        self,
        book: fault_registry.FaultRegistry,
        sample: Callable[[], dict[str, Any]],
        interval: float,
    ) -> None:
        """Creates a reporter.

        Args:
            book: Registry of the active faults.
            sample: Returns the current load.
            interval: Seconds between samples; 0 to sample on every request.
        """
        self.fault_registry = book
        self.sample = sample
        self.interval = interval
        self.samples: deque[dict[str, Any]] = deque(maxlen=_MAX_SAMPLES)

    def add_routes(self, application: web.Application) -> None:
        """Registers the route of the load report."""
        application.router.add_get(_PATH, self.handle_load)

    def take_sample(self) -> None:
        """Stores a sample of the current load."""
        self.samples.append({**self.sample(), "at": time.time()})

    async def run(self) -> None:
        """Takes samples until the task is cancelled; none if interval is 0."""
        while self.interval:
            self.take_sample()
            await asyncio.sleep(self.interval)

    async def handle_load(self, request: web.Request) -> web.Response:
        """Returns the newest sample that is at least as old as the lag.

        If no sample is that old, returns the oldest one.
        """
        if not self.interval or not self.samples:
            self.take_sample()
        as_of = time.time() - self.fault_registry.extra_lag(_PATH)
        report = next(
            (row for row in reversed(self.samples) if row["at"] <= as_of),
            self.samples[0],
        )
        return responses.json_response(report)
