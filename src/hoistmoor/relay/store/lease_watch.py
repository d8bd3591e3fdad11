"""Says when the configuration is too old to be sure of, and when it is new.

Where revocation is strict, that is the end of the lease too; where it is not,
requests go on being served by it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib

PERIOD = 0.25  # Seconds between two looks; a line is at most that late.


class LeaseWatch:
    """Logs each end and each return of a current configuration.

    Decisions ask the lease itself; this task only tells of it.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._was: tuple[bool, bool] = (False, False)

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            await asyncio.sleep(PERIOD)
            self.look()

    def look(self) -> None:
        """Logs a change since the last look."""
        now = self._state.clock()
        lease = self._state.lease
        holds, is_current = lease.holds(now), lease.is_current(now)
        self._state.counters.configuration_age.set(lease.age(now))
        if (holds, is_current) == self._was:
            return
        self._was = holds, is_current
        found = self._state.configuration
        self._state.believe(
            "lease",
            holds=holds,
            current=is_current,
            strict=lease.is_strict,
            age=round(lease.age(now), 3),
            bound=lease.bound,
            revision=found.revision if found else None,
            source=self._state.source or "store",
        )
