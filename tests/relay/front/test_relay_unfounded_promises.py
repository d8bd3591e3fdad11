"""Servers whose responses promise that a request has not run, though it has.

Guards against passing such a status on to callers, who repeat the request.
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
PROMISES = (408, 429, 503)
LARGE = 3_000_000  # Bytes of a body that is too large to be held.


async def answer(
    status: int,
    extra: bytes,
    size: int,
    _: Backend,
    request: bytes,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(
        b"HTTP/1.1 %d Any\r\nX-Request-Id: r1\r\nX-Answer-Signature: s\r\n%b"
        b"Content-Length: %d\r\n\r\n%b" % (status, extra, size, b"a" * size)
    )


@pytest.mark.parametrize("path", [ONCE, AGAIN])
@pytest.mark.parametrize("size", [4, LARGE])
@pytest.mark.parametrize("status", PROMISES)
async def test_a_failure_is_not_passed_on_as_a_promise(
    harness: Harness, status: int, size: int, path: str
) -> None:
    extra = b"Retry-After: 1\r\n"
    server = await harness.add_backend(
        "s1", functools.partial(answer, status, extra, size)
    )
    async with harness.call(path, data=b"x") as response:
        assertions.assert_that(response.status, matchers.Equals(502))
        assertions.assert_that(
            response.headers, matchers.Not(matchers.Contains("Retry-After"))
        )
    if path == ONCE:
        assertions.assert_that(server.requests, matchers.HasLength(1))


@pytest.mark.parametrize("status", PROMISES)
async def test_a_promise_of_the_server_is_kept(
    harness: Harness, status: int
) -> None:
    extra = b"X-Not-Run: 1\r\n"
    await harness.add_backend("s1", functools.partial(answer, status, extra, 0))
    async with harness.call(ONCE, data=b"x") as response:
        assertions.assert_that(response.status, matchers.Equals(503))
        assertions.assert_that(
            response.headers, matchers.Contains("Retry-After")
        )


@pytest.mark.parametrize("status", [400, 404, 500, 504])
async def test_other_failures_are_passed_on_unchanged(
    harness: Harness, status: int
) -> None:
    await harness.add_backend("s1", functools.partial(answer, status, b"", 4))
    async with harness.call(ONCE, data=b"x") as response:
        assertions.assert_that(response.status, matchers.Equals(status))
        assertions.assert_that(
            response.headers, matchers.Contains("X-Answer-Signature")
        )
