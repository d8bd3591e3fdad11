"""Notices that the machine was suspended, and ends what is overdue.

Timers stand still while a machine is suspended; leases, ages, rests and
budgets are read from a clock that does not. What waits on a timer until a
deadline has to be told.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoistmoor.relay import state as state_lib

PERIOD = 0.5  # Seconds between two looks; what is overdue ends that late.
LEAST = 0.1  # Seconds; the two clocks are not read at the same moment.


class Deadlines:
    """Timers that are started only once the machine was suspended.

    Until then whatever waits has a timer of its own.
    """

    def __init__(self) -> None:
        # When each is due, on the clock of timers.
        self._due: dict[asyncio.Timeout, float] = {}

    @contextlib.contextmanager
    def counted(self, timer: asyncio.Timeout, seconds: float) -> Iterator[None]:
        """Has a timer count suspensions while the block runs.

        Args:
            timer: Not started.
            seconds: From now on until it is due.
        """
        now = asyncio.get_running_loop().time()
        self._due[timer] = now + seconds
        try:
            yield
        finally:
            del self._due[timer]

    def advance(self, seconds: float) -> None:
        """Has all timers end by so many seconds sooner."""
        for timer in self._due:
            self._due[timer] -= seconds
            if not timer.expired():
                timer.reschedule(self._due[timer])


class SuspensionWatch:
    """Compares the clock of timers with the one that beliefs age by."""

    def __init__(
        self, state: state_lib.RelayState, deadlines: Deadlines
    ) -> None:
        self._state = state
        self._deadlines = deadlines

    async def run(self) -> None:
        """Looks until cancelled."""
        loop = asyncio.get_running_loop()
        ahead = self._state.clock() - loop.time()
        while True:
            await asyncio.sleep(PERIOD)
            now_ahead = self._state.clock() - loop.time()
            slept = now_ahead - ahead
            if slept < LEAST:
                continue
            ahead = now_ahead
            self._deadlines.advance(slept)
            self._state.believe("resumed", suspended=round(slept, 3))
