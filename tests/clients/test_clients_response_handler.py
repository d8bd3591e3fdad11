"""Responses of any framing and cut, sound ones and those without an end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import hypothesis
from hypothesis import strategies
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import response_handler
from hoistmoor.core import framing

if TYPE_CHECKING:
    from collections.abc import Iterable

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MIN_FINAL = 200  # Lowest status code of a head that is not an interim one.
MAX_BYTES = (
    framing.MAX_HEAD_BYTES
    + framing.MAX_FRAMING_BYTES
    + 2 * response_handler.HEAD_SLICE
)
# What a server may repeat, after what it has sent first.
ENDLESS = strategies.sampled_from(
    [
        (b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
        (b"", b"\r\n"),
        (HEAD + b"X-Long: ", b"a"),
        (HEAD, b"X-Line: a\r\n"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;a=", b"b"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-T: a\r\n"),
    ]
)


@attrs.define
class Transport(asyncio.Transport):
    """A connection without a peer.

    Attributes:
        is_aborted: Whether it was closed.
    """

    is_aborted: bool = False

    def abort(self) -> None:
        """Closes the connection."""
        self.is_aborted = True

    def close(self) -> None:
        """Closes the connection."""
        self.is_aborted = True

    def pause_reading(self) -> None:
        """Accepts that no more is read."""

    def resume_reading(self) -> None:
        """Accepts that more is read."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Returns nothing."""
        return default


@attrs.define
class Received:
    """What a handler made of received bytes.

    Attributes:
        body: Body of the response.
        is_complete: Whether the response has ended.
        taken: Bytes that it took until it closed the connection.
        is_closed: Whether it closed the connection.
    """

    body: bytes = b""
    is_complete: bool = False
    taken: int = 0
    is_closed: bool = False


def receive(parts: Iterable[bytes]) -> Received:
    """Returns what a handler makes of bytes that arrive in parts."""

    async def run() -> Received:
        handler = response_handler.ResponseHandler(asyncio.get_running_loop())
        transport = Transport()
        handler.connection_made(transport)
        handler.set_response_params(read_until_eof=True)
        received = Received()
        content = None
        for part in parts:
            received.taken += len(part)
            handler.data_received(part)
            while handler._buffer and content is None:
                message, payload = await handler.read()
                content = payload if message.code >= MIN_FINAL else None
            if transport.is_aborted:
                break
            # A caller that reads on makes room for more.
            if content is not None:
                received.body += content.read_nowait()
        received.is_closed = transport.is_aborted
        received.is_complete = content is not None and content.is_eof()
        return received

    return asyncio.run(run())


def cut(data: bytes, sizes: list[int]) -> Iterable[bytes]:
    """Cuts data into parts of some sizes in turn."""
    begin = 0
    turn = 0
    while begin < len(data):
        size = sizes[turn % len(sizes)]
        yield data[begin : begin + size]
        begin += size
        turn += 1


def encode(chunks: list[bytes], extension: bytes) -> bytes:
    """Returns a chunked response."""
    body = b"".join(
        b"%x%b\r\n%b\r\n" % (len(each), extension, each) for each in chunks
    )
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + body + b"0\r\nX-Trailer: a\r\n\r\n"


@hypothesis.settings(deadline=None, derandomize=True, max_examples=60)
@hypothesis.given(
    chunks=strategies.lists(
        strategies.integers(1, 70_000).map(bytes), min_size=1, max_size=8
    )
    | strategies.integers(1, 9_000).map(lambda count: [b"x"] * count),
    extension=strategies.sampled_from([b"", b";a=b"]),
    sizes=strategies.lists(strategies.integers(1, 90_000), min_size=1),
    interim=strategies.integers(0, 4),
)
def test_a_sound_body_passes_in_any_framing_and_cut(
    chunks: list[bytes], extension: bytes, sizes: list[int], interim: int
) -> None:
    data = b"HTTP/1.1 103 Early\r\n\r\n" * interim + encode(chunks, extension)
    # Thousands of parts of a few bytes take long and show nothing more.
    sizes = [max(size, len(data) // 2000 + 1) for size in sizes]
    received = receive(cut(data, sizes))
    assertions.assert_that(received.body == b"".join(chunks), matchers.Is(True))
    assertions.assert_that(received.is_complete, matchers.Is(True))
    assertions.assert_that(received.is_closed, matchers.Is(False))


@hypothesis.settings(deadline=None, derandomize=True, max_examples=60)
@hypothesis.given(
    endless=ENDLESS,
    sizes=strategies.lists(strategies.integers(500, 262_144), min_size=1),
)
def test_an_endless_part_closes_the_connection(
    endless: tuple[bytes, bytes], sizes: list[int]
) -> None:
    first, repeated = endless
    data = first + repeated * (3 * MAX_BYTES // len(repeated))
    received = receive(cut(data, sizes))
    assertions.assert_that(received.is_closed, matchers.Is(True))
    assertions.assert_that(
        received.taken, matchers.LessThan(MAX_BYTES + max(sizes))
    )


def test_another_response_closes_the_connection() -> None:
    answer = HEAD + b"Content-Length: 2\r\n\r\nok"
    received = receive([answer, answer * 100])
    assertions.assert_that(received.is_closed, matchers.Is(True))


@hypothesis.settings(deadline=None, derandomize=True, max_examples=200)
@hypothesis.given(
    head=strategies.sampled_from(
        [
            b"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nfake",
            b"RTSP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nfake",
            HEAD + b" \r\nContent-Length: 4\r\n\r\nfake",
            HEAD + b"A: b\r\n c\r\nContent-Length: 4\r\n\r\nfake",
            HEAD + b"A: \x01\r\nContent-Length: 4\r\n\r\nfake",
            HEAD + b"Transfer-Encoding: gzip\r\n\r\nfake",
            CHUNKED + b"5\r\nfake\r\n0\r\n\r\n",
            CHUNKED + b"4\r\nwell\r\n5\r\nfake\r\n0\r\n\r\n",
        ]
    ),
    sizes=strategies.lists(strategies.integers(1, 90), min_size=1),
    interim=strategies.integers(0, 2),
)
def test_an_invalid_response_is_not_complete_in_any_cut(
    head: bytes, sizes: list[int], interim: int
) -> None:
    data = b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" * interim + head
    received = receive(cut(data, sizes))
    assertions.assert_that(received.is_complete, matchers.Is(False))
    assertions.assert_that(received.is_closed, matchers.Is(True))
