"""Detects that the machine was suspended and adjusts pending deadlines.

Event loop timers do not advance while a machine is suspended, whereas leases,
ages, back-offs and budgets use a clock that does. Timers that wait for a
deadline are therefore rescheduled after a suspension.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoistmoor.relay import state as state_lib

# Seconds between checks; overdue requests end up to this much late.
POLL_INTERVAL = 0.5
# Seconds; the clocks are not read at the same instant, so smaller differences
# are not suspensions.
MIN_SUSPENSION = 0.1


class SuspensionAwareTimeouts:
    """Timeouts that are armed only after the machine was suspended.

    Without a suspension, the waiting operations rely on their own timers.
    """

    def __init__(self) -> None:
        # Due time of each timeout, on the event loop's clock.
        self._due: dict[asyncio.Timeout, float] = {}

    @contextlib.contextmanager
    def track(self, timer: asyncio.Timeout, seconds: float) -> Iterator[None]:
        """Makes a timeout account for suspensions while the block runs.

        Args:
            timer: Timeout that is not armed yet.
            seconds: Seconds from now until it is due.
        """
        now = asyncio.get_running_loop().time()
        self._due[timer] = now + seconds
        try:
            yield
        finally:
            del self._due[timer]

    def advance(self, seconds: float) -> None:
        """Moves all due times earlier by the length of a suspension."""
        for timer in self._due:
            self._due[timer] -= seconds
            if not timer.expired():
                timer.reschedule(self._due[timer])


class SuspensionMonitor:
    """Compares the event loop's clock with one that includes suspensions."""

    def __init__(
        self, state: state_lib.RelayState, deadlines: SuspensionAwareTimeouts
    ) -> None:
        self._state = state
        self._deadlines = deadlines

    async def run(self) -> None:
        """Checks for suspensions until cancelled."""
        loop = asyncio.get_running_loop()
        offset = self._state.clock() - loop.time()
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            new_offset = self._state.clock() - loop.time()
            suspended = new_offset - offset
            if suspended < MIN_SUSPENSION:
                continue
            offset = new_offset
            self._deadlines.advance(suspended)
            self._state.log_change("resumed", suspended=round(suspended, 3))
