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
# Ways in which a link is cut: all connections hang; open ones are reset and new
# ones refused; or open ones live on and new ones are refused.
CUTS = (HANG, RESET, REFUSE) = ("hang", "reset", "refuse")
_BACKLOG_FILLERS = 4  # Connections that fill the backlog of a listener.


@attrs.define(eq=False)
class LinkProxy:
    """Forwards connections to one address.

    Attributes:
        target: ``ip:port`` that connections are forwarded to.
        listen: ``ip:port`` of the proxy; empty until it listens.
        fault: Active fault, one of ``FAULTS``; empty for none.
        cut: How the link is cut, one of ``CUTS``; empty if it is not.
        connections: Number of connections that are being forwarded.
    """

    target: str
    listen: str = ""
    fault: str = _NO_FAULT
    cut: str = ""
    connections: int = 0
    _server: asyncio.Server | None = None
    _blockers: list[socket.socket] = attrs.field(factory=list)
    _reopening: asyncio.Task[None] | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listens on a free port."""
        listener = _bind("127.0.0.1:0")
        ip, port = listener.getsockname()
        self.listen = f"{ip}:{port}"
        self._server = await asyncio.start_server(self._serve, sock=listener)

    def inject_fault(self, fault: str) -> None:
        """Sets the active fault.

        A reset affects the connections that are open now and does not last.
        """
        self.fault = _NO_FAULT if fault == _RESET else fault
        if fault == _RESET:
            for writer in tuple(self._writers):
                reset(writer)

    def cut_off(self, how: str) -> None:
        """Cuts the link, one of ``CUTS``, until it is healed."""
        self.cut = how
        self._stop_listening()
        if how == HANG:
            self.fault = _SILENT
            self._free_port()
            self._blockers = _open_full_listener(self.listen)
        elif how == RESET:
            self.inject_fault(_RESET)

    async def heal(self) -> None:
        """Restores a link that was cut; bytes that were held back arrive."""
        self.cut = ""
        self.fault = _NO_FAULT
        if await self._is_target_up():
            await self._listen_again()
        else:
            self._reopening = asyncio.create_task(self._reopen_with_target())

    def _stop_listening(self) -> None:
        if self._reopening is not None:
            self._reopening.cancel()
        self._close_listener()

    def _close_listener(self) -> None:
        """Refuses connections, but keeps the port."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self._blockers.append(_bind(self.listen))

    def _free_port(self) -> None:
        for blocker in self._blockers:
            blocker.close()
        self._blockers.clear()

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        self.fault = _NO_FAULT
        self._stop_listening()
        self._free_port()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = self.target.rpartition(":")
        source, *_ = writer.get_extra_info("peername")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port), local_addr=(source, 0)
            )
        except OSError:
            reset(writer)
            await self._close_while_target_is_down()
            return
        self._writers |= {writer, target_writer}
        self.connections += 1
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_response=False),
                self._forward(target_reader, writer, is_response=True),
            )
        finally:
            self.connections -= 1
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
            reset(writer)
            return
        # HTTP does not use half-closed connections, so both directions end.
        writer.close()

    async def _close_while_target_is_down(self) -> None:
        """Refuses connections while the target refuses them."""
        is_up = await self._is_target_up()
        # Another connection may have stopped the listener meanwhile.
        if self._server is None or is_up:
            return
        self._close_listener()
        self._reopening = asyncio.create_task(self._reopen_with_target())

    async def _reopen_with_target(self) -> None:
        while not await self._is_target_up():
            await asyncio.sleep(0.05)
        await self._listen_again()

    async def _listen_again(self) -> None:
        if self._server is not None:
            return
        self._free_port()
        listener = _bind(self.listen)
        self._server = await asyncio.start_server(self._serve, sock=listener)

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


def _bind(address: str) -> socket.socket:
    """Returns a socket that holds an address without listening."""
    ip, _, port = address.rpartition(":")
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((ip, int(port)))
    return bound


def _open_full_listener(address: str) -> list[socket.socket]:
    """Opens a listener that drops the packets which open connections."""
    ip, _, port = address.rpartition(":")
    listener = _bind(address)
    listener.listen(0)
    opened = [listener]
    for _ in range(_BACKLOG_FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((ip, int(port)))
        opened.append(filler)
    return opened


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
