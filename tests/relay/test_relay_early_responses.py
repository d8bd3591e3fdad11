"""Servers that respond during an upload, then reset the connection.

Guards against taking the part of a body without a length for a complete one.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import TYPE_CHECKING

import aiohttp
import attrs
import link_proxy
import orjson
import pytest
import relay_process
import soak_world
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

UPLOAD = b"u" * 8_000_000
BLOCK = 262_144  # Bytes that a caller sends at once.
HEAD = (
    b"HTTP/1.1 200 OK\r\nHoistmoor-Request-Id: r1\r\n"
    b"Hoistmoor-Response-Signature: s\r\n"
)
EVENT = b"id: 1\ndata: a\n\n"
FRAMINGS = {
    "none": b"\r\n" + EVENT,
    "close": b"Connection: close\r\n\r\n" + EVENT,
    "length": b"Content-Length: 900\r\n\r\n" + EVENT,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\nf\r\n" + EVENT + b"\r\n",
}
DELAYS = (0.0, 0.02, 0.2)  # Seconds from the part to the reset.
HEADERS = {
    "Host": "soak.example",
    "Hoistmoor-Request-Id": "r1",
    "Hoistmoor-Deadline-Ms": "4000",
    "Authorization": "Token k1",
}
MODEL = {
    "Hoistmoor-Model": "m",
    "Hoistmoor-Token-Usage": "10,5",
    "Hoistmoor-Prefix-Hash": "a:10",
}


@attrs.define(eq=False)
class Server:
    """A server that responds before it has read the body.

    Attributes:
        response: What it sends.
        delay: Seconds until it resets the connection; None if it reads the
            body and keeps the connection.
        requests: Number of requests.
    """

    response: bytes = b""
    delay: float | None = None
    requests: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Responds to the requests of a connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self.response)
                await writer.drain()
                if self.delay is None:
                    await reader.readexactly(_length_of(head))
                    continue
                await asyncio.sleep(self.delay)
                link_proxy.reset(writer)
        writer.close()


def _length_of(head: bytes) -> int:
    match = re.search(rb"(?i)content-length: *(\d+)", head)
    return int(match[1]) if match else 0


@pytest.fixture
async def relay(
    tmp_path: pathlib.Path,
) -> AsyncIterator[relay_process.RelayProcess]:
    """A relay's process that accepts large uploads."""
    async with relay_process.open_relay(tmp_path) as opened:
        fields = orjson.loads(soak_world.configuration(2, ["k1"]))
        fields["limits"] = {"max_body_bytes": 2 * len(UPLOAD)}
        opened.write("keyed.op", "config", orjson.dumps(fields))
        await opened.until(
            lambda: any(
                line["revision"] == 2 for line in opened.lines("configuration")
            )
        )
        yield opened


@contextlib.asynccontextmanager
async def registered(
    relay: relay_process.RelayProcess, server: Server, service: str
) -> AsyncIterator[None]:
    """Starts a server and registers it."""
    opened = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    ip, port = opened.sockets[0].getsockname()
    name = f"s-{port}"
    async with opened:
        relay.add_server(name, service, "v1", f"{ip}:{port}")
        await relay.until(
            lambda: any(
                line["server"] == name for line in relay.lines("server")
            )
        )
        yield
        relay.write("keyed.servers", name, b"")


async def in_blocks() -> AsyncIterator[bytes]:
    """Yields the upload in parts, which are sent as chunks."""
    for begin in range(0, len(UPLOAD), BLOCK):
        yield UPLOAD[begin : begin + BLOCK]


async def upload(
    relay: relay_process.RelayProcess, path: str, *, is_chunked: bool
) -> tuple[int, bytes]:
    """Returns status and body; status 0 if the response is incomplete."""
    headers = {**HEADERS, **(MODEL if path.startswith("/stream") else {})}
    try:
        async with relay.session.post(
            f"http://{relay.listen}{path}",
            data=in_blocks() if is_chunked else UPLOAD,
            headers=headers,
        ) as response:
            return response.status, await response.read()
    except aiohttp.ClientError:
        return 0, b""


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("response", FRAMINGS.values(), ids=FRAMINGS.keys())
async def test_a_part_of_an_early_response_does_not_look_complete(
    relay: relay_process.RelayProcess, response: bytes, is_chunked: bool
) -> None:
    for delay in DELAYS:
        server = Server(HEAD + response, delay)
        async with registered(relay, server, "desk"):
            status, _ = await upload(relay, "/once/x", is_chunked=is_chunked)
        assertions.assert_that(status, matchers.Equals(502))
        assertions.assert_that(server.requests, matchers.Equals(1))


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_part_of_an_early_stream_does_not_look_complete(
    relay: relay_process.RelayProcess, framing: str
) -> None:
    field = b"Content-Type: text/event-stream\r\n"
    for delay in DELAYS:
        server = Server(HEAD + field + FRAMINGS[framing], delay)
        async with registered(relay, server, "llm"):
            status, _ = await upload(relay, "/stream/x", is_chunked=False)
        assertions.assert_that(status, matchers.Not(matchers.Equals(200)))


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_an_upload_with_a_part_of_an_early_response_is_sent_again(
    relay: relay_process.RelayProcess, framing: str
) -> None:
    length = b"Content-Length: 4\r\n\r\ndone"
    early = Server(HEAD + FRAMINGS[framing], 0.02)
    sound = Server(HEAD + length)
    async with (
        registered(relay, early, "desk"),
        registered(relay, sound, "desk"),
    ):
        while not early.requests:
            found = await upload(relay, "/again/x", is_chunked=False)
            assertions.assert_that(found, matchers.Equals((200, b"done")))
