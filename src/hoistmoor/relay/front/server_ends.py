"""Finds out whether a backend server that cut an answer has ended.

A connection is cut for many reasons. A server that has ended takes no other
one: one more is tried, for all of this host's attempts that were cut together.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoistmoor.utils import addresses

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import state as state_lib

# Seconds for the connection that is tried. A server that has ended refuses it
# within one way there and back; one that is cut off proves nothing.
TIMEOUT = 0.3


class ServerEnds:
    """Tells attempts of one host which servers have ended."""

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._checks: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, server: server_lib.ServerState) -> bool:
        """Returns whether this start of a server is over."""
        if server.has_ended:
            return True
        identity = server.entry.identity
        check = self._checks.get(identity)
        if check is None:
            check = asyncio.create_task(self._check(server))
            self._checks[identity] = check
            check.add_done_callback(lambda _: self._checks.pop(identity, None))
        # Whoever gives up waiting leaves the others their answer.
        return await asyncio.shield(check)

    async def _check(self, server: server_lib.ServerState) -> bool:
        if await _takes_connections(server.entry.address):
            return False
        self._state.note_server_end(server)
        return True


async def _takes_connections(text: str) -> bool:
    """Returns false if a server is known to take none."""
    address = addresses.parse(text)
    try:
        async with asyncio.timeout(TIMEOUT):
            _, writer = await asyncio.open_connection(address.ip, address.port)
    except ConnectionRefusedError:
        return False
    except OSError:  # Times out too: whoever is cut off may still run.
        return True
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return True
