"""Proxies that forward and abort the connections between entry hosts."""

from __future__ import annotations

import asyncio
import contextlib

_CHUNK_BYTES = 1 << 16
_LINK_IP = "127.0.0.1"
_HOST_IP = "127.0.0.2"  # The host listens here, on the same port.


class PeerLink:
    """A proxy in front of the peer port of one host.

    Attributes:
        port: Port of the link and of the host, which differ in address.
        is_down: Whether new connections are aborted immediately.
        aborted_count: Number of aborted connections.
    """

    def __init__(self) -> None:
        self.port = 0
        self.is_down = False
        self.aborted_count = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def flags(self) -> tuple[str, ...]:
        """Flags of an entry host whose peers connect through this link."""
        return (
            "--peer-listen",
            f"{_HOST_IP}:{self.port}",
            "--peer-advertise",
            f"{_LINK_IP}:{self.port}",
        )

    async def open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, _LINK_IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        self.is_down = True
        self.abort_connections()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def abort_connections(self) -> None:
        """Aborts every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()
            self.aborted_count += 1
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_down:
            writer.transport.abort()
            return
        try:
            host_reader, host_writer = await asyncio.open_connection(
                _HOST_IP, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, host_writer}
        await asyncio.gather(
            self._forward(reader, host_writer),
            self._forward(host_reader, writer),
        )
        self._writers -= {writer, host_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        writer.close()
