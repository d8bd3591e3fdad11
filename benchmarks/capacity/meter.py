"""Forwarder on loopback that counts bytes by traffic class."""

from __future__ import annotations

import asyncio
import collections
import re

import attrs

_CHUNK_BYTES = 1 << 16
# An address of the loopback network that nothing else uses: other programs may
# still connect to ports of 127.0.0.1 that they have released.
_LISTEN_IP = "127.0.77.1"
_REQUEST_LINE = re.compile(rb"(?:GET|POST|DELETE) (/\S*) HTTP/1.1\r\n")
_STREAM_PATH = re.compile(r"/streams/([^/?]+)")


@attrs.define
class Traffic:
    """Traffic of one class.

    Attributes:
        requests: Requests seen.
        sent: Bytes from the client.
        received: Bytes to the client.
    """

    requests: int = 0
    sent: int = 0
    received: int = 0


class Meter:
    """A forwarder to one address that counts its traffic.

    Attributes:
        counts: Traffic by class: a log stream or the path of a request.
        address: ``ip:port`` that it listens on.
    """

    def __init__(self, target: str, fixed: str = "") -> None:
        """Creates a forwarder that does not listen yet.

        Args:
            target: ``ip:port`` to forward to.
            fixed: Class of all traffic, if it is not HTTP/1.1.
        """
        self.counts: dict[str, Traffic] = collections.defaultdict(Traffic)
        self.address = ""
        self._target = target
        self._fixed = fixed
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, target: str = "") -> str:
        """Starts to listen; returns its ``ip:port``."""
        self._target = target or self._target
        self._server = await asyncio.start_server(
            self._serve, _LISTEN_IP, 0, limit=_CHUNK_BYTES
        )
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        return self.address

    def set_target(self, target: str) -> None:
        """Sets the target of new connections."""
        self._target = target

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Resets the counts."""
        self.counts.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        ip, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            writer.close()
            return
        traffic_class = [self._fixed or "other"]
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, traffic_class, sent=True),
                self._forward(target_reader, writer, traffic_class, sent=False),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        traffic_class: list[str],
        sent: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if sent:
                self._record_request(data, traffic_class)
            count = self.counts[traffic_class[0]]
            if sent:
                count.sent += len(data)
            else:
                count.received += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()

    def _record_request(self, data: bytes, traffic_class: list[str]) -> None:
        match = _REQUEST_LINE.match(data)
        if not match:
            return
        if not self._fixed:
            traffic_class[0] = _classify_path(match[1].decode())
        self.counts[traffic_class[0]].requests += 1


def _classify_path(path: str) -> str:
    match = _STREAM_PATH.match(path)
    if match:
        return f"log {match[1]}"
    return path.split("?")[0]
