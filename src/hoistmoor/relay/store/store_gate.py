"""Blocks calls to the store during an outage, except those of a probe."""

from __future__ import annotations

import asyncio

from hoistmoor.core.relay.beliefs import reading

# Seconds that a failed topic pauses before it waits for the probe to succeed.
PAUSE = 0.1
# Seconds after which a topic is read even if the probe has not succeeded.
LONGEST_HOLD = 10.0


class StoreGate:
    """Tracks the store's availability for all callers, as a circuit breaker.

    One topic, the probe, is read repeatedly from the start on; other calls
    wait until it succeeds.

    Attributes:
        backoff: Delays between two attempts of the probe.
    """

    def __init__(self) -> None:
        self.backoff = reading.EAGER
        self._available = asyncio.Event()
        self._next_pause = 0.0

    @property
    def is_heard(self) -> bool:
        """Whether the last call succeeded."""
        return self._available.is_set()

    def note_heard(self) -> None:
        """Records a successful call."""
        self._next_pause = 0.0
        self._available.set()

    def note_lost(self) -> None:
        """Records a failed call."""
        self._available.clear()

    async def back_off(self) -> None:
        """Waits for the exponential delay before the next probe."""
        pause = max(self._next_pause, self.backoff.first)
        pause = min(pause, self.backoff.longest)
        self._next_pause = 2.0 * pause
        await asyncio.sleep(pause)

    async def wait_until_heard(self) -> None:
        """Waits until the store is available, for ``MAX_WAIT`` at most."""
        try:
            async with asyncio.timeout(LONGEST_HOLD):
                await self._available.wait()
        except TimeoutError:
            return  # Only the probe topic may be unavailable: try this one.
