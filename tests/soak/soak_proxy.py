"""A loopback TCP proxy with injectable faults."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import attrs

DELAY = 0.2  # Seconds by which a delayed link holds back data.
_BLOCK = 65536
_NO_FAULT, _DELAYED, _SILENT, _ONE_WAY, _RESET = (
    "",
    "delay",
    "silent",
    "one_way",
    "reset",
)
FAULTS = (_DELAYED, _SILENT, _ONE_WAY, _RESET)


@attrs.define(eq=False)
class LinkProxy:
    """Forwards connections to one address.

    Attributes:
        target: ``ip:port`` that connections are forwarded to.
        listen: ``ip:port`` of the proxy; empty until it listens.
        fault: Active fault, one of ``FAULTS``; empty for none.
    """

    target: str
    listen: str = ""
    fault: str = _NO_FAULT
    _server: asyncio.Server | None = None
    _reopening: asyncio.Task[None] | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.listen = f"{ip}:{port}"

    def inject_fault(self, fault: str) -> None:
        """Sets the active fault.

        A reset affects the connections that are open now and does not last.
        """
        self.fault = _NO_FAULT if fault == _RESET else fault
        if fault == _RESET:
            for writer in tuple(self._writers):
                _reset(writer)

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._reopening is not None:
            self._reopening.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_response=False),
                self._forward(target_reader, writer, is_response=True),
            )
        finally:
            self._writers -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(_BLOCK):
                await self._apply_fault(is_response)
                writer.write(data)
                await writer.drain()
            if is_response:
                await self._close_while_target_is_down()
        except OSError:
            if is_response:
                await self._close_while_target_is_down()
            _reset(writer)
            return
        # HTTP does not use half-closed connections, so both directions end.
        writer.close()

    async def _close_while_target_is_down(self) -> None:
        """Refuses connections while the target refuses them."""
        is_up = await self._is_target_up()
        # Another connection may have stopped the listener meanwhile.
        if self._server is None or is_up:
            return
        self._server.close()
        self._server = None
        self._reopening = asyncio.create_task(self._reopen_with_target())

    async def _reopen_with_target(self) -> None:
        while not await self._is_target_up():
            await asyncio.sleep(0.05)
        ip, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def _is_target_up(self) -> bool:
        ip, _, port = self.target.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def _apply_fault(self, is_response: bool) -> None:
        if self.fault == _DELAYED:
            await asyncio.sleep(DELAY)
        while self.fault == _SILENT or (self.fault == _ONE_WAY and is_response):
            await asyncio.sleep(0.05)


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
