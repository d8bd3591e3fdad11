"""Holds back reads of the store while it is away."""

from __future__ import annotations

import asyncio

FIRST_BACKOFF = 0.1  # Seconds after the first failed call.
LONGEST_BACKOFF = 0.5  # Short, as the lease on the configuration is.
# For hosts that know no others yet: with the first of each failure domain
# trying twice a second, they may come a little later.
ALONE_BACKOFF = 1.0
# For hosts that learn of the store's return from others: they only look
# whether it is there for them while it is not for those.
RELAXED_BACKOFF = 4.0
FIRST_RELAXED = 2.0  # Seconds after their first failed call.
# Seconds after which a topic is tried though the store was not heard again.
LONGEST_HOLD = 10.0


class StoreGate:
    """Shared by all that read the store.

    One topic is tried again and again, from the start on; other calls wait
    until it is heard.

    Attributes:
        longest_backoff: Seconds between two tries of that topic, at most.
    """

    def __init__(self) -> None:
        self.longest_backoff = LONGEST_BACKOFF
        self._heard = asyncio.Event()
        self._backoff = FIRST_BACKOFF

    @property
    def is_heard(self) -> bool:
        """Whether the last call was answered."""
        return self._heard.is_set()

    def note_heard(self) -> None:
        """Notes that a call was answered."""
        self._backoff = FIRST_BACKOFF
        self._heard.set()

    def note_lost(self) -> None:
        """Notes that a call failed."""
        self._heard.clear()

    async def back_off(self) -> None:
        """Waits until the topic that is tried should be tried again."""
        wait = self._backoff
        if self.longest_backoff == RELAXED_BACKOFF:
            wait = max(wait, FIRST_RELAXED)
        wait = min(self.longest_backoff, wait)
        self._backoff = min(self.longest_backoff, 2 * wait)
        await asyncio.sleep(wait)

    async def wait_until_heard(self) -> None:
        """Waits until other calls than that one should be made."""
        try:
            async with asyncio.timeout(LONGEST_HOLD):
                await self._heard.wait()
        except TimeoutError:
            return  # Only that topic may be away: this one has to be tried.
