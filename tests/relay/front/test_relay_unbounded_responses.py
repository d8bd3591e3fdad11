"""Servers that send bytes which are no response, without an end.

Guards against a host that reads on for as long as such a server sends: hosts
grew to gigabytes, and callers of other servers were not answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import TYPE_CHECKING

import aiohttp
import pytest
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    from conftest import Backend
    from conftest import Harness

ONCE = "/confirm/x"
AGAIN = "/look/x"
STATUS = b"HTTP/1.1 200 OK\r\n"
NAMES = b"X-Request-Id: r1\r\nX-Answer-Signature: s\r\n"
CHUNKED = STATUS + NAMES + b"Transfer-Encoding: chunked\r\n\r\n"
# What such a server sends first, and what it repeats.
ENDLESS = {
    "interim_heads": (b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
    "empty_lines": (b"", b"\r\n"),
    "status_line": (b"HTTP/1.1 200 ", b"O"),
    "header_line": (STATUS + b"X-Long: ", b"a"),
    "header_lines": (STATUS, b"X-Line: a\r\n"),
    "chunk_size": (CHUNKED, b"0"),
    "chunk_extension": (CHUNKED + b"4;a=", b"a"),
    "trailers": (CHUNKED + b"2\r\nab\r\n0\r\n", b"X-Trailer: a\r\n"),
    "body_of_a_failure": (
        b"HTTP/1.1 500 Broken\r\n" + NAMES + b"\r\n",
        b"a",
    ),
}
BLOCK = 65_536  # Bytes that are written at once.
# Bytes after which such a server gives up; kernels hold some megabytes of them.
ENOUGH = 64_000_000
MAX_TAKEN = 24_000_000
LARGE = 16_000_000  # Bytes of a large sound body.


async def send_endlessly(
    first: bytes,
    repeated: bytes,
    taken: list[int],
    _: Backend,
    request: bytes,
    writer: asyncio.StreamWriter,
) -> None:
    """Sends until the connection closes, and records the bytes taken."""
    block = repeated * (BLOCK // len(repeated))
    taken.append(0)
    writer.write(first)
    with contextlib.suppress(OSError):
        while taken[-1] < ENOUGH:
            writer.write(block)
            await writer.drain()
            taken[-1] += len(block)
    writer.close()


async def answer_well(
    _: Backend, request: bytes, writer: asyncio.StreamWriter
) -> None:
    writer.write(
        STATUS + NAMES + b"X-Load: 1,0,8\r\nContent-Length: 4\r\n\r\ndone"
    )


async def send_large(
    with_length: bool, _: Backend, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Sends a large body, with a length or until the connection ends."""
    head = STATUS + NAMES
    if with_length:
        head += b"Content-Length: %d\r\n" % LARGE
    writer.write(head + b"\r\n" + b"a" * LARGE)
    await writer.drain()
    writer.close()


@pytest.mark.parametrize("part", ENDLESS)
async def test_an_endless_part_ends_the_attempt_only(
    harness: Harness, part: str
) -> None:
    taken: list[int] = []
    await harness.add_backend(
        "s1", functools.partial(send_endlessly, *ENDLESS[part], taken)
    )
    await harness.add_backend("s2", answer_well, zone="south")
    while not taken:
        async with harness.call(AGAIN, data=b"x") as response:
            assertions.assert_that(response.status, matchers.Equals(200))
            assertions.assert_that(
                await response.read(), matchers.Equals(b"done")
            )
    assertions.assert_that(max(taken), matchers.LessThan(MAX_TAKEN))


@pytest.mark.parametrize("part", ENDLESS)
async def test_a_request_with_an_endless_answer_is_not_sent_again(
    harness: Harness, part: str
) -> None:
    taken: list[int] = []
    server = await harness.add_backend(
        "s1", functools.partial(send_endlessly, *ENDLESS[part], taken)
    )
    async with harness.call(ONCE, data=b"x") as response:
        assertions.assert_that(response.status, matchers.Equals(502))
    assertions.assert_that(server.requests, matchers.HasLength(1))
    assertions.assert_that(max(taken), matchers.LessThan(MAX_TAKEN))


async def test_an_endless_body_is_read_as_its_caller_reads(
    harness: Harness,
) -> None:
    taken: list[int] = []
    first = STATUS + NAMES + b"\r\n"
    server = await harness.add_backend(
        "s1", functools.partial(send_endlessly, first, b"a", taken)
    )
    async with harness.call(ONCE, data=b"x") as response:
        assertions.assert_that(response.status, matchers.Equals(200))
        await response.content.readexactly(BLOCK)
        before = -1
        while taken[0] != before:  # Until nothing more is taken.
            before = taken[0]
            await asyncio.sleep(0.2)
        assertions.assert_that(taken[0], matchers.LessThan(MAX_TAKEN))
        assertions.assert_that(
            harness.state.memory.total, matchers.LessThan(1_000_000)
        )
        response.close()
    await asyncio.wait_for(server.left.wait(), 10.0)


async def test_an_endless_body_that_ends_early_does_not_look_complete(
    harness: Harness,
) -> None:
    async def reset(
        _: Backend, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        head = STATUS + NAMES + b"Content-Length: 9000000\r\n\r\n"
        writer.write(head + b"a" * 4_000_000)
        await writer.drain()
        writer.close()

    await harness.add_backend("s1", reset)
    with pytest.raises(aiohttp.ClientPayloadError):
        async with harness.call(ONCE, data=b"x") as response:
            await response.read()


@pytest.mark.parametrize("with_length", [True, False])
@pytest.mark.parametrize("path", [ONCE, AGAIN])
async def test_a_large_body_passes_whole(
    harness: Harness, path: str, with_length: bool
) -> None:
    await harness.add_backend("s1", functools.partial(send_large, with_length))
    async with harness.call(path, data=b"x") as response:
        assertions.assert_that(response.status, matchers.Equals(200))
        size = 0
        async for data in response.content.iter_chunked(BLOCK):
            size += len(data)
    assertions.assert_that(size, matchers.Equals(LARGE))


async def test_a_resumed_stream_has_no_length_of_its_first_part(
    harness: Harness,
) -> None:
    async def answer(
        _: Backend, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Breaks off a stream with a length, or sends a longer rest."""
        first = b"id: 1\ndata: a\n\n"
        rest = b"id: 2\ndata: a longer event\n\n"
        is_resumed = b"last-event-id" in request.lower()
        body = rest if is_resumed else first
        writer.write(
            STATUS
            + NAMES
            + b"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n"
            % (len(body) if is_resumed else 2 * len(first))
            + body
        )
        await writer.drain()
        writer.close()

    await harness.add_backend("s1", answer, service="llm")
    await harness.add_backend("s2", answer, service="llm")
    headers = {
        "X-Model": "small",
        "X-Tokens": "10,5",
        "X-Prompt-Parts": "a:4,b:6",
    }
    async with harness.call("/chat/x", data=b"x", headers=headers) as response:
        body = await response.read()
    assertions.assert_that(
        body,
        matchers.Equals(b"id: 1\ndata: a\n\nid: 2\ndata: a longer event\n\n"),
    )
