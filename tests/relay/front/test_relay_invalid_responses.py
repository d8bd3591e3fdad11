"""Servers whose responses are no valid HTTP, or whose framing is.

Guards against passing such a response on to callers, as it is or as one of the
library's own.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import pytest
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import asyncio

    from conftest import Backend
    from conftest import Harness

ONCE = "/confirm/x"
AGAIN = "/look/x"
STATUS = b"HTTP/1.1 200 OK\r\n"
NAMES = b"X-Request-Id: r1\r\nX-Answer-Signature: s\r\n"
LENGTH = b"Content-Length: 4\r\n"
SOUND = STATUS + NAMES + LENGTH + b"\r\ndone"
CALLS = 40
STREAM = "/chat/x"
MODEL = {"X-Model": "*", "X-Tokens": "10,5", "X-Prompt-Parts": "a:4,b:6"}
EVENTS = b"Content-Type: text/event-stream\r\n\r\n"
FIRST = b"id: 1\ndata: t\n\n"
SECOND = b"id: 2\ndata: t\n\n"


def with_status_line(line: bytes) -> bytes:
    """Returns a response that is sound but for its status line."""
    return line + b"\r\n" + NAMES + LENGTH + b"\r\nfake"


def with_line(line: bytes) -> bytes:
    """Returns a response with one more line among those of its fields."""
    return STATUS + NAMES + line + b"\r\n" + LENGTH + b"\r\nfake"


def with_coding(coding: bytes, version: bytes = b"1.1") -> bytes:
    """Returns a chunked response with a value of Transfer-Encoding."""
    status = b"HTTP/%b 200 OK\r\n" % version
    field = b"Transfer-Encoding: %b\r\n\r\n" % coding
    return status + NAMES + field + b"4\r\nfake\r\n0\r\n\r\n"


def with_chunks(chunks: bytes) -> bytes:
    """Returns a response with a chunked body."""
    return STATUS + NAMES + b"Transfer-Encoding: chunked\r\n\r\n" + chunks


STATUS_LINES = {
    line.decode(): with_status_line(line)
    for line in (
        b"HTTP/1.1 000 OK",
        b"HTTP/1.1 001 OK",
        b"HTTP/1.1 099 OK",
        b"HTTP/1.1 101 OK",
        b"HTTP/1.1 600 OK",
        b"HTTP/1.1 999 OK",
        b"HTTP/1.1 00 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 +200 OK",
        b"HTTP/1.1 0200 OK",
        b"HTTP/0.9 200 OK",
        b"HTTP/2.0 200 OK",
        b"HTTP/1.2 200 OK",
        b"RTSP/1.0 200 OK",
        b"ICE/1.0 200 OK",
        b"HTTX/1.1 200 OK",
        b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 000 OK",
    )
}
NAMES_OF_FIELDS = {
    repr(name): with_line(name + b": v")
    for name in (
        b"X A",
        b"X\tA",
        b"X\x01A",
        b"X\x00A",
        b"X\x7fA",
        b"X\xe9A",
        b"X(A",
        b"X ",
        b"X\t",
        b"",
    )
} | {"no_colon": with_line(b"novalue")}
FOLDED_LINES = {
    "space_after_status_line": STATUS + b" \r\n" + NAMES + LENGTH + b"\r\nfake",
    "field_after_status_line": STATUS
    + b" X-A: v\r\n"
    + NAMES
    + LENGTH
    + b"\r\nfake",
    "space": with_line(b" X-A: v"),
    "tab": with_line(b"\tX-A: v"),
    "blank_only": with_line(b" "),
    "length": with_line(b" Content-Length: 2"),
    "in_interim_head": b"HTTP/1.1 103 E\r\nA: a\r\n b\r\n\r\n" + SOUND,
}
CONTROL_CHARACTERS = {
    repr(value): with_line(b"X-A: " + value)
    for value in (
        b"a\x01b",
        b"a\x00b",
        b"a\x0bb",
        b"a\x1fb",
        b"a\x7fb",
        b"a\rb",
        b"\x01",
    )
} | {"in_reason": with_status_line(b"HTTP/1.1 200 O\x01K")}
LENGTHS = {
    repr(value): STATUS + NAMES + b"Content-Length: %b\r\n\r\nfake" % value
    for value in (
        b"4, 4",
        b"4\r\nContent-Length: 4",
        b"4\r\nContent-Length: 2",
        b"-4",
        b"+4",
        b"0x4",
        b"4 4",
        b"",
        b"99999999999999999999",
        b"4\r\nTransfer-Encoding: chunked",
    )
}
CODINGS = {
    repr(value): with_coding(value)
    for value in (
        b"",
        b"gzip",
        b"identity",
        b"xchunked",
        b"chunked;q=1",
        b'"chunked"',
        b"chunked, gzip",
        b"gzip, chunked",
        b"chunked, chunked",
        b"chunked\r\nTransfer-Encoding: chunked",
        b"\x0bchunked",
    )
} | {"old_version": with_coding(b"chunked", b"1.0")}
CHUNKS = {
    repr(chunks): with_chunks(chunks)
    for chunks in (
        b"5\r\nfake\r\n0\r\n\r\n",
        b"3\r\nfake\r\n0\r\n\r\n",
        b"4\r\nfake\n0\r\n\r\n",
        b"4\nfake\r\n0\r\n\r\n",
        b"4;a=\nfake\r\n0\r\n\r\n",
        b"-4\r\nfake\r\n0\r\n\r\n",
        b"+4\r\nfake\r\n0\r\n\r\n",
        b"0x4\r\nfake\r\n0\r\n\r\n",
        b" 4\r\nfake\r\n0\r\n\r\n",
        b"4\r\nfake0\r\n\r\n",
        b"4\r\nfake\r\n\r\n",
    )
}
INVALID = (
    STATUS_LINES
    | NAMES_OF_FIELDS
    | FOLDED_LINES
    | CONTROL_CHARACTERS
    | {f"length {name}": each for name, each in LENGTHS.items()}
    | {f"coding {name}": each for name, each in CODINGS.items()}
    | {f"chunks {name}": each for name, each in CHUNKS.items()}
)
# Unusual responses that are valid, or that cannot be taken for another one.
SOUND_VARIANTS = {
    "old_version": b"HTTP/1.0 200 OK\r\n" + NAMES + LENGTH + b"\r\ndone",
    "no_reason": b"HTTP/1.1 200\r\n" + NAMES + LENGTH + b"\r\ndone",
    "no_length": b"HTTP/1.0 200 OK\r\n" + NAMES + b"\r\ndone",
    "interim_heads": b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\n"
    + SOUND,
    "empty_lines": b"\r\n\r\n" + SOUND,
    "line_feeds": SOUND.replace(b"\r\n", b"\n"),
    "obs_text": SOUND.replace(b"200 OK", b"200 \xe9t\xe9").replace(
        NAMES, NAMES + b"X-A: \x80\xe9\xff\r\n"
    ),
    "tab": SOUND.replace(NAMES, NAMES + b"X-A:\ta\tb\t\r\n"),
    "empty_value": SOUND.replace(NAMES, NAMES + b"X-A:\r\n"),
    "same_field_twice": SOUND.replace(NAMES, NAMES + 2 * b"Server: a\r\n"),
    "chunks": with_chunks(b"2\r\ndo\r\n002;a=b\r\nne\r\n0\r\nT: x\r\n\r\n"),
    "padded_sizes": with_chunks(b"4  \r\ndone\r\n0  \r\n\r\n"),
    "coding_in_capitals": with_coding(b"CHUNKED").replace(b"fake", b"done"),
}


async def send(
    response: bytes, _: Backend, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Sends a response and ends the connection regularly."""
    writer.write(response)
    await writer.drain()
    writer.close()


@pytest.mark.parametrize("response", INVALID.values(), ids=INVALID.keys())
async def test_an_invalid_response_does_not_reach_callers(
    harness: Harness, response: bytes
) -> None:
    broken = await harness.add_backend("s1", functools.partial(send, response))
    await harness.add_backend("s2", functools.partial(send, SOUND))
    while not broken.requests:
        async with harness.call(AGAIN, data=b"x") as answer:
            assertions.assert_that(answer.status, matchers.Equals(200))
            assertions.assert_that(
                await answer.read(), matchers.Equals(b"done")
            )


@pytest.mark.parametrize("response", INVALID.values(), ids=INVALID.keys())
async def test_a_request_with_an_invalid_response_is_not_sent_again(
    harness: Harness, response: bytes
) -> None:
    broken = await harness.add_backend("s1", functools.partial(send, response))
    async with harness.call(ONCE, data=b"x") as answer:
        assertions.assert_that(answer.status, matchers.Equals(502))
        assertions.assert_that(
            answer.headers,
            matchers.Not(matchers.Contains("X-Answer-Signature")),
        )
    assertions.assert_that(broken.requests, matchers.HasLength(1))


@pytest.mark.parametrize("is_resumption", [False, True])
@pytest.mark.parametrize("response", INVALID.values(), ids=INVALID.keys())
async def test_an_invalid_response_is_no_part_of_a_stream(
    harness: Harness, response: bytes, is_resumption: bool
) -> None:
    async def answer(
        backend: Backend, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Breaks the stream off, and sends the invalid response once."""
        is_resumed = b"last-event-id: 1" in request.lower()
        if is_resumed == is_resumption and not invalid:
            invalid.append(request)
            await send(response, backend, request, writer)
            return
        length = b"" if is_resumed else b"Content-Length: 99\r\n"
        event = SECOND if is_resumed else FIRST
        head = STATUS + NAMES + length + EVENTS
        await send(head + event, backend, request, writer)

    invalid: list[bytes] = []
    for number in range(3):
        await harness.add_backend(f"s{number}", answer, service="llm")
    async with harness.call(STREAM, data=b"x", headers=MODEL) as got:
        status, body = got.status, await got.read()
    assertions.assert_that(invalid, matchers.HasLength(1))
    assertions.assert_that(status, matchers.Equals(200))
    assertions.assert_that(body, matchers.Equals(FIRST + SECOND))


@pytest.mark.parametrize("path", [ONCE, AGAIN])
@pytest.mark.parametrize(
    "response", SOUND_VARIANTS.values(), ids=SOUND_VARIANTS.keys()
)
async def test_an_unusual_response_passes_unchanged(
    harness: Harness, response: bytes, path: str
) -> None:
    server = await harness.add_backend("s1", functools.partial(send, response))
    async with harness.call(path, data=b"x") as answer:
        assertions.assert_that(answer.status, matchers.Equals(200))
        assertions.assert_that(
            answer.headers["X-Answer-Signature"], matchers.Equals("s")
        )
        assertions.assert_that(await answer.read(), matchers.Equals(b"done"))
    assertions.assert_that(server.requests, matchers.HasLength(1))


async def test_a_server_with_invalid_responses_is_avoided(
    harness: Harness,
) -> None:
    response = STATUS_LINES["HTTP/1.1 000 OK"]
    broken = await harness.add_backend("s1", functools.partial(send, response))
    await harness.add_backend("s2", functools.partial(send, SOUND))
    for _ in range(CALLS):
        async with harness.call(ONCE, data=b"x") as answer:
            await answer.read()
    assertions.assert_that(len(broken.requests), matchers.LessThan(CALLS // 4))
    metrics = harness.state.counters.text().decode()
    counted = (
        'hoistmoor_relay_invalid_responses_total{fault="status_line"}'
        f" {len(broken.requests)}.0\n"
    )
    assertions.assert_that(metrics, matchers.Contains(counted))
