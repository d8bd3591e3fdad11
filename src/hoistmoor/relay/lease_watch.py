"""Says when the lease on the configuration ends, and when it holds again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib

PERIOD = 0.25  # Seconds between two looks; a line is at most that late.


class LeaseWatch:
    """Logs each end and each return of the lease.

    Decisions ask the lease itself; this task only tells of it.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._held = False

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            await asyncio.sleep(PERIOD)
            self.look()

    def look(self) -> None:
        """Logs a change since the last look."""
        now = self._state.clock()
        lease = self._state.lease
        holds = lease.holds(now)
        if holds == self._held:
            return
        self._held = holds
        found = self._state.configuration
        self._state.believe(
            "lease",
            holds=holds,
            age=round(lease.age(now), 3),
            bound=lease.bound,
            revision=found.revision if found else None,
            source=self._state.source or "store",
        )
