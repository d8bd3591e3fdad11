"""A UDP listener in place of a statsd server."""

from __future__ import annotations

import asyncio

TIMEOUT = 30.0  # Seconds to wait for a datagram.


class StatsdListener(asyncio.DatagramProtocol):
    """Stores the datagrams that it receives.

    Attributes:
        address: ``ip:port`` on which it listens.
        lines: Received datagrams in order.
    """

    def __init__(self) -> None:
        self.address = ""
        self.lines: list[str] = []
        self._received = asyncio.Event()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Stores one datagram."""
        self.lines.append(data.decode())
        self._received.set()

    async def await_line(self, line: str) -> None:
        """Waits until ``line`` has been received."""
        async with asyncio.timeout(TIMEOUT):
            while line not in self.lines:
                await self._received.wait()
                self._received.clear()
