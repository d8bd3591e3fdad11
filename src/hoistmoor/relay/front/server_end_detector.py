"""Detects whether a backend server that cut a connection has terminated.

A connection may be cut for many reasons, but a terminated server also refuses
a new one. A single probe connection serves all attempts of this host that were
cut at the same time.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoistmoor.utils import addresses

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import state as state_lib

# Seconds. The address of a terminated server refuses the probe within one
# round trip; a timeout proves nothing, since the network may be partitioned.
PROBE_TIMEOUT = 0.3


class ServerEndDetector:
    """Detects terminated servers for the attempts of one host."""

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._probes: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, server: server_lib.ServerState) -> bool:
        """Returns whether this incarnation of a server has terminated."""
        if server.has_ended:
            return True
        identity = server.entry.identity
        probe = self._probes.get(identity)
        if probe is None:
            probe = asyncio.create_task(self._probe(server))
            self._probes[identity] = probe
            probe.add_done_callback(lambda _: self._probes.pop(identity, None))
        # The shield keeps the probe running for the other waiters when one of
        # them is cancelled.
        return await asyncio.shield(probe)

    async def _probe(self, server: server_lib.ServerState) -> bool:
        if await _accepts_connections(server.entry.address):
            return False
        self._state.record_server_end(server)
        return True


async def _accepts_connections(text: str) -> bool:
    """Returns false only if the address refuses connections."""
    address = addresses.parse(text)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(address.ip, address.port)
    except ConnectionRefusedError:
        return False
    except OSError:  # Includes TimeoutError: the server may still be running.
        return True
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return True
