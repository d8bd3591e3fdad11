"""Submits a sample of the responses to the rating service."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from hoistmoor.clients import ratings

MAX_QUEUED = 1000  # Queued responses; the oldest is dropped on overflow.
BATCH_SIZE = 100
FLUSH_INTERVAL_SECONDS = 0.5  # Interval between flushes.

_LOG = logs.PartLogger("ratings")


class RatingQueue:
    """A bounded queue of responses that is submitted in batches.

    Losing some of them is harmless.

    Attributes:
        dropped: Responses that were not submitted.
    """

    def __init__(self, client: ratings.RatingsClient) -> None:
        self.client = client
        self.dropped = 0
        self._queue: deque[ratings.ModelResponse] = deque()

    def add(self, answer: ratings.ModelResponse) -> None:
        """Queues a response without waiting."""
        self._queue.append(answer)
        if len(self._queue) > MAX_QUEUED:
            self._queue.popleft()
            self.dropped += 1

    async def run(self) -> None:
        """Submits batches until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            await self.flush()

    async def flush(self) -> None:
        """Submits all queued responses, one batch at a time."""
        while self._queue:
            size = min(BATCH_SIZE, len(self._queue))
            batch = [self._queue.popleft() for _ in range(size)]
            try:
                await self.client.submit_all(batch)
            except errors.PlatformError as error:
                self.dropped += len(batch)
                _LOG.warning("Dropped %d responses to rate: %s", size, error)
                return
