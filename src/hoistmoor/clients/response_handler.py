"""Reads the bytes of responses, and rejects invalid and endless ones."""

from __future__ import annotations

from typing import Any

import aiohttp
from aiohttp import client_proto

from hoistmoor.core import chunk_scanner
from hoistmoor.core import framing
from hoistmoor.core import response_heads

# Bytes that are parsed at once before the end of a head, so that a bound is
# noticed soon. Most heads are shorter.
HEAD_SLICE = 4096
_SWITCHING_PROTOCOLS = 101
_INTERIM_STATUSES = frozenset(range(100, 200)) - {_SWITCHING_PROTOCOLS}


class FramingLimitError(aiohttp.ClientError):
    """A response has too many bytes that are not its body.

    Attributes:
        place: Part whose bound was exceeded.
        size: Bytes of the response received so far.
    """

    def __init__(self, place: framing.Place, size: int) -> None:
        super().__init__(f"{place} of a response exceeded after {size} bytes")
        self.place = place
        self.size = size


class InvalidResponseError(aiohttp.ClientError):
    """A response is not valid HTTP.

    Attributes:
        fault: Part that is not valid.
    """

    def __init__(self, fault: response_heads.ResponseFault) -> None:
        super().__init__(f"a response has an invalid {fault}")
        self.fault = fault


class ResponseHandler(client_proto.ResponseHandler):
    """Protocol of a connection to a server.

    aiohttp treats the end of a connection as the end of a response without a
    length, even if the connection was reset, and bounds lines, but not how many
    interim heads, empty lines or chunk extensions there are. It also accepts
    heads and chunks that are not valid.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._reset()
        self._is_closed = False

    def set_response_params(self, **options: Any) -> None:
        """Prepares for the response to the next request."""
        self._reset()
        super().set_response_params(**options)

    def _reset(self) -> None:
        self._meter = framing.FramingMeter()
        self._heads = response_heads.HeadSplitter()
        self._chunks: chunk_scanner.ChunkScanner | None = None
        self._received = 0

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and closes a connection that sends too many."""
        if not data:
            # Resumes parsing of what was received before.
            self._parse(data)
        begin = 0
        while begin < len(data) and not self._is_closed:
            end = len(data) if self._meter.has_head else begin + HEAD_SLICE
            self._parse(data[begin:end])
            begin = end

    def _parse(self, data: bytes) -> None:
        if not self._meter.has_head:
            self._heads.add(data)
        elif self._chunks is not None and not self._chunks.feed(data):
            fault = response_heads.ResponseFault.CHUNK
            self._reject(InvalidResponseError(fault))
            return
        before, payload = self._body_bytes(), self._payload
        super().data_received(data)
        body = self._body_bytes()
        if self._payload is payload:
            body -= before
        self._received += len(data)
        place = self._meter.record(len(data), body)
        # A paused parser has received bytes of the body that it has not parsed.
        if place is not None and not self._reading_paused:
            self._reject(FramingLimitError(place, self._received))

    def _body_bytes(self) -> int:
        return self._payload.total_bytes if self._payload is not None else 0

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queues a parsed head."""
        message, payload = data
        is_final = message.code not in _INTERIM_STATUSES
        if not self._meter.has_head:
            fault = self._find_fault(message, payload, is_final=is_final)
            if fault is not None:
                self._reject(InvalidResponseError(fault))
                return
        elif is_final:
            # Another response than the one that was asked for. The first one
            # is complete, and may still be read.
            self._close()
        if is_final:
            self._meter.has_head = True
        else:
            self._meter.interim_heads += 1
        super().feed_data(data, size)

    def _find_fault(
        self, message: Any, payload: Any, *, is_final: bool
    ) -> response_heads.ResponseFault | None:
        """Returns the fault of a head and what came with it, or None."""
        fault = response_heads.find_fault(self._heads.take())
        if fault is not None or not is_final:
            return fault
        begin = bytes(self._heads.received)
        self._heads.received.clear()
        if not message.chunked or payload is aiohttp.EMPTY_PAYLOAD:
            return None
        self._chunks = chunk_scanner.ChunkScanner()
        is_valid = self._chunks.feed(begin)
        return None if is_valid else response_heads.ResponseFault.CHUNK

    def _reject(self, error: aiohttp.ClientError) -> None:
        """Fails the response and closes the connection."""
        if self._is_closed:
            return
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        # Otherwise the end of the connection would replace the error.
        self._payload = None
        self._parser = None
        self._close()

    def _close(self) -> None:
        self._is_closed = True
        self._should_close = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the current response if the connection ended with an error."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientConnectionError(f"connection lost: {exc!r}")
            )
        super().connection_lost(exc)
