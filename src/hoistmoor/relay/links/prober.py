"""Opens a connection to a server to see whether it can be reached."""

from __future__ import annotations

import asyncio
import socket

from hoistmoor.core.relay.links import link as link_lib
from hoistmoor.utils import addresses

# Seconds. Connections open within a round trip; a lost packet is sent again
# only after a second.
PROBE_TIMEOUT = 0.3


async def probe(address: str) -> link_lib.ProbeResult:
    """Opens a connection to ``ip:port`` and closes it."""
    target = addresses.parse(address)
    family = socket.AF_INET6 if ":" in target.ip else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as connection:
        connection.setblocking(False)
        connecting = asyncio.get_running_loop().sock_connect(
            connection, (target.ip, target.port)
        )
        try:
            async with asyncio.timeout(PROBE_TIMEOUT):
                await connecting
        except (ConnectionRefusedError, ConnectionResetError):
            return link_lib.ProbeResult.REFUSED
        except OSError:  # Includes TimeoutError.
            return link_lib.ProbeResult.SILENT
    return link_lib.ProbeResult.CONNECTED
