"""Blocks calls to the store during an outage, except those of a probe."""

from __future__ import annotations

import asyncio

from hoistmoor.core.relay.beliefs import read_policy

# Seconds that a failed topic pauses before it waits for the probe to succeed.
FAILURE_DELAY = 0.1
# Seconds after which a topic is read even if the probe has not succeeded.
MAX_WAIT = 10.0


class StoreGate:
    """Tracks the store's availability for all callers, as a circuit breaker.

    One topic, the probe, is read repeatedly from the start on; other calls
    wait until it succeeds.

    Attributes:
        backoff: Delays between two attempts of the probe.
    """

    def __init__(self) -> None:
        self.backoff = read_policy.EAGER
        self._available = asyncio.Event()
        self._next_pause = 0.0

    @property
    def is_available(self) -> bool:
        """Whether the last call succeeded."""
        return self._available.is_set()

    def record_success(self) -> None:
        """Records a successful call."""
        self._next_pause = 0.0
        self._available.set()

    def record_failure(self) -> None:
        """Records a failed call."""
        self._available.clear()

    async def wait_before_probe(self) -> None:
        """Waits for the exponential delay before the next probe."""
        pause = max(self._next_pause, self.backoff.first)
        pause = min(pause, self.backoff.longest)
        self._next_pause = 2.0 * pause
        await asyncio.sleep(pause)

    async def wait_until_available(self) -> None:
        """Waits until the store is available, for ``MAX_WAIT`` at most."""
        try:
            async with asyncio.timeout(MAX_WAIT):
                await self._available.wait()
        except TimeoutError:
            return  # Only the probe topic may be unavailable: try this one.
