"""Detects whether a backend server that cut a connection has terminated.

A connection may be cut for many reasons, but a terminated server also refuses
a new one, to this host and to others. One check serves all attempts of this
host that were cut at the same time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.links import link_monitor

# Seconds after which a server counts as running if nothing is known. The checks
# take a few round trips unless hosts or servers are silent.
CHECK_TIMEOUT = 0.7


class ServerEndDetector:
    """Detects terminated servers for the attempts of one host."""

    def __init__(
        self, state: state_lib.RelayState, monitor: link_monitor.LinkMonitor
    ) -> None:
        self._state = state
        self._monitor = monitor
        self._checks: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, server: server_lib.ServerState) -> bool:
        """Returns whether this incarnation of a server has terminated."""
        if server.has_ended:
            return True
        identity = server.entry.identity
        check = self._checks.get(identity)
        if check is None:
            check = asyncio.create_task(self._check(server))
            self._checks[identity] = check
            check.add_done_callback(lambda _: self._checks.pop(identity, None))
        # The shield keeps the check running for the other waiters when one of
        # them is cancelled.
        return await asyncio.shield(check)

    async def _check(self, server: server_lib.ServerState) -> bool:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT):
                has_ended = await self._monitor.has_ended(server)
        except TimeoutError:
            return False
        if has_ended:
            self._state.record_server_end(server)
        elif has_ended is False:
            self._state.record_running(server)
        return bool(has_ended)
