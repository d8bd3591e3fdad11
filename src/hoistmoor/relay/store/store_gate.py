"""Holds back reads of the store while it is away."""

from __future__ import annotations

import asyncio

from hoistmoor.core.relay.beliefs import reading

PAUSE = 0.1  # Seconds before a topic that failed waits for the others.
# Seconds after which a topic is tried though the store was not heard again.
LONGEST_HOLD = 10.0


class StoreGate:
    """Shared by all that read the store.

    One topic is tried again and again, from the start on; other calls wait
    until it is heard.

    Attributes:
        backoff: Pauses between two tries of that topic.
    """

    def __init__(self) -> None:
        self.backoff = reading.EAGER
        self._heard = asyncio.Event()
        self._next_pause = 0.0

    @property
    def is_heard(self) -> bool:
        """Whether the last call was answered."""
        return self._heard.is_set()

    def note_heard(self) -> None:
        """Notes that a call was answered."""
        self._next_pause = 0.0
        self._heard.set()

    def note_lost(self) -> None:
        """Notes that a call failed."""
        self._heard.clear()

    async def back_off(self) -> None:
        """Waits until the topic that is tried should be tried again."""
        pause = max(self._next_pause, self.backoff.first)
        pause = min(pause, self.backoff.longest)
        self._next_pause = 2.0 * pause
        await asyncio.sleep(pause)

    async def wait_until_heard(self) -> None:
        """Waits until other calls than that one should be made."""
        try:
            async with asyncio.timeout(LONGEST_HOLD):
                await self._heard.wait()
        except TimeoutError:
            return  # Only that topic may be away: this one has to be tried.
