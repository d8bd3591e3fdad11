"""A loopback proxy between two processes, with faults that can be set."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import attrs

DELAY = 0.2  # Seconds that a delayed link holds bytes back.
_BLOCK = 65536
_CALM, _DELAYED, _SILENT, _ONE_WAY, _RESET = (
    "",
    "delay",
    "silent",
    "one_way",
    "reset",
)
FAULTS = (_DELAYED, _SILENT, _ONE_WAY, _RESET)


@attrs.define(eq=False)
class Proxy:
    """Passes connections on to one address.

    Attributes:
        target: ``ip:port``.
        listen: ``ip:port``; set once it listens.
        fault: What the link does now, see ``FAULTS``; empty for nothing.
    """

    target: str
    listen: str = ""
    fault: str = _CALM
    _server: asyncio.Server | None = None
    _comeback: asyncio.Task[None] | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.listen = f"{ip}:{port}"

    def harm(self, fault: str) -> None:
        """Sets the fault; a reset strikes what is open, and then is over."""
        self.fault = _CALM if fault == _RESET else fault
        if fault == _RESET:
            for writer in tuple(self._writers):
                _reset(writer)

    def close(self) -> None:
        """Ends all connections."""
        if self._comeback is not None:
            self._comeback.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, is_answer=False),
                self._pass(far_reader, writer, is_answer=True),
            )
        finally:
            self._writers -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(_BLOCK):
                await self._hold(is_answer)
                writer.write(data)
                await writer.drain()
            if is_answer:
                await self._refuse_while_away()
        except OSError:
            if is_answer:
                await self._refuse_while_away()
            _reset(writer)
            return
        # A half-closed connection is not used by HTTP: end both halves.
        writer.close()

    async def _refuse_while_away(self) -> None:
        """Takes no connections while the target takes none, as it would."""
        is_up = await self._is_target_up()
        if self._server is None or is_up:  # Another connection may have been.
            return
        self._server.close()
        self._server = None
        self._comeback = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
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

    async def _hold(self, is_answer: bool) -> None:
        if self.fault == _DELAYED:
            await asyncio.sleep(DELAY)
        while self.fault == _SILENT or (self.fault == _ONE_WAY and is_answer):
            await asyncio.sleep(0.05)


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
