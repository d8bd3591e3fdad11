"""Heads of requests and responses with long or many lines.

Guards against answers that are lost after a server has run the request, as its
response head is larger than the relay reads.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import asyncio

    from conftest import Backend
    from conftest import Harness

ONCE = "/look/x"
LINES = {
    "long_line": {"X-Long": "a" * 16000},
    "many_lines": {f"X-{number}": "a" for number in range(480)},
}


async def echo(
    _: Backend, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Responds with the headers of the request that begin with X-."""
    lines = request.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    kept = [line for line in lines if line.upper().startswith(b"X-")]
    head = b"\r\n".join(kept)
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Answer-Signature: s\r\n%b\r\n"
        b"Content-Length: 4\r\n\r\ndone" % head
    )


@pytest.mark.parametrize("lines", LINES.values(), ids=LINES)
async def test_a_response_with_a_large_head_reaches_the_caller(
    harness: Harness, lines: dict[str, str]
) -> None:
    server = await harness.add_backend("s1", echo)
    async with harness.call(
        ONCE,
        data=b"x",
        headers=lines,
        max_field_size=65536,
        max_headers=4096,
    ) as response:
        assertions.assert_that(response.status, matchers.Equals(200))
        for name, value in lines.items():
            assertions.assert_that(
                response.headers[name], matchers.Equals(value)
            )
    assertions.assert_that(server.requests, matchers.HasLength(1))


async def test_a_long_request_id_is_echoed(harness: Harness) -> None:
    await harness.add_backend("s1", echo)
    request_id = "f" * 16000
    async with harness.call(
        ONCE,
        data=b"x",
        headers={"X-Request-Id": request_id},
        max_field_size=65536,
    ) as response:
        assertions.assert_that(response.status, matchers.Equals(200))
        assertions.assert_that(
            response.headers["X-Request-Id"], matchers.Equals(request_id)
        )
