"""What the relay's libraries report."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import relay_process
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import pathlib

REQUESTS = 300  # More than a kind of line may have at once.


async def send_malformed(relay: relay_process.RelayProcess) -> None:
    """Sends a request whose header has a control character."""
    ip, _, port = relay.listen.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nX-Bad: \x7f\r\n\r\n")
    await reader.read()
    writer.close()


async def test_malformed_requests_write_bounded_lines_only(
    tmp_path: pathlib.Path,
) -> None:
    async with relay_process.open_relay(tmp_path) as relay:
        for _ in range(REQUESTS):
            await send_malformed(relay)
        lines = relay.log.read_bytes().splitlines()
        # Nothing but events is written, on either output.
        others = [line for line in lines if not line.startswith(b"{")]
        assertions.assert_that(others, matchers.Equals([]))
        written = relay.lines("library_message")
    assertions.assert_that(len(written), matchers.GreaterThan(0))
    (logger,) = {line["logger"] for line in written}
    assertions.assert_that(logger, matchers.Equals("aiohttp.server"))
