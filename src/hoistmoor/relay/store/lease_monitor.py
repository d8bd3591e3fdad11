"""Reports when the configuration is no longer known to be current.

With strict revocation the lease ends at the same time; otherwise requests are
still served with the old configuration.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib

# Seconds between two checks; the longest delay of a log line.
POLL_INTERVAL = 0.25


class LeaseMonitor:
    """Logs when the configuration stops or starts being current.

    Routing decisions check the lease itself; this task only reports it.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._last_status: tuple[bool, bool] = (False, False)

    async def run(self) -> None:
        """Checks the lease periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            self.check()

    def check(self) -> None:
        """Logs a change since the last check."""
        now = self._state.clock()
        lease = self._state.lease
        holds, is_current = lease.is_valid(now), lease.is_current(now)
        self._state.counters.configuration_age.set(lease.age(now))
        if (holds, is_current) == self._last_status:
            return
        self._last_status = holds, is_current
        configuration = self._state.configuration
        self._state.log_change(
            "lease",
            holds=holds,
            current=is_current,
            strict=lease.is_strict,
            age=round(lease.age(now), 3),
            bound=lease.bound,
            revision=configuration.revision if configuration else None,
            source=self._state.source or "store",
        )
