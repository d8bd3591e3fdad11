"""Tests the outcomes that the log client reports when the log fails."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import log
from hoistmoor.core import errors
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import log as log_standin
from hoistmoor.standins import runner
from hoistmoor.standins import web_application

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp


LONG_TIMEOUT = 30.0  # Seconds; avoids failures on a busy machine.
SHORT_TIMEOUT = 0.2  # Seconds; for faults that leave the client waiting.
HANGING_FAULTS = (
    faults.ApplyButLoseReply(hang=True),
    faults.CutAfterBytes(bytes=3, hang=True),
    faults.Freeze(),
    faults.Delay(seconds=60.0),
)


@attrs.frozen
class LogFixture:
    """A client, the stand-in log that it calls, and the faults of that log."""

    client: log.LogClient
    standin: log_standin.LogStandin
    book: fault_registry.FaultRegistry

    def stored(self) -> int:
        """Returns the number of records stored in stream ``s``."""
        stream = self.standin.streams.get("s")
        return stream.next_offset if stream else 0


@pytest.fixture
async def log_fixture(
    session: aiohttp.ClientSession,
) -> AsyncIterator[LogFixture]:
    book = fault_registry.FaultRegistry()
    standin = log_standin.LogStandin(book)
    application = web_application.make_application(book)
    standin.add_routes(application)
    async with runner.serve_program(runner.Program(application)) as address:
        yield LogFixture(
            log.LogClient(session, f"http://{address}", LONG_TIMEOUT),
            standin,
            book,
        )


async def test_reads_back_what_was_appended(log_fixture: LogFixture) -> None:
    payloads = [b"a", b"\x00\xff", b""]
    offsets = [await log_fixture.client.append("s", row) for row in payloads]
    page = await log_fixture.client.read("s", 0)
    assertions.assert_that(offsets, matchers.Equals([0, 1, 2]))
    assertions.assert_that(
        [row.payload for row in page.records], matchers.Equals(payloads)
    )
    assertions.assert_that(page.next, matchers.Equals(3))
    rest = await log_fixture.client.read("s", 1, limit=1)
    assertions.assert_that(rest.next, matchers.Equals(2))
    bounds = await log_fixture.client.bounds("s")
    assertions.assert_that(bounds, matchers.Equals(log.LogBounds(0, 3)))


async def test_long_poll_wakes_with_the_record(log_fixture: LogFixture) -> None:
    reader = asyncio.create_task(log_fixture.client.read("s", 0, wait=20.0))
    while "s" not in log_fixture.standin.streams:
        await asyncio.sleep(0)
    await log_fixture.client.append("s", b"a")
    page = await asyncio.wait_for(reader, 10)
    assertions.assert_that(page.records, matchers.HasLength(1))


Unavailable = errors.LogUnavailableError
Unknown = errors.LogOutcomeUnknownError


@pytest.mark.parametrize(
    ("fault", "error", "stored"),
    [
        (faults.Outage(), Unavailable, 0),
        (faults.ApplyButLoseReply(), Unknown, 1),
        (faults.CutBeforeAnswer(), Unknown, 0),
        (faults.CutAfterBytes(bytes=3), Unknown, 1),
        *zip(HANGING_FAULTS, [Unknown] * 4, [1, 1, 0, 0], strict=True),
    ],
)
async def test_append_under_a_fault(
    log_fixture: LogFixture,
    fault: faults.Fault,
    error: type[Exception],
    stored: int,
) -> None:
    # The first append succeeds, so the second one reuses its connection.
    log_fixture.book.add(attrs.evolve(fault, after=1))
    await log_fixture.client.append("s", b"a")
    log_fixture.client.timeout = (
        SHORT_TIMEOUT if fault in HANGING_FAULTS else LONG_TIMEOUT
    )
    with pytest.raises(error) as raised:
        await log_fixture.client.append("s", b"b")
    assertions.assert_that(raised.type, matchers.Is(error))
    assertions.assert_that(log_fixture.stored(), matchers.Equals(1 + stored))


@pytest.mark.parametrize(
    "fault",
    [
        faults.Outage(),
        faults.CutBeforeAnswer(),
        faults.CutAfterBytes(bytes=3),
        faults.Freeze(),
    ],
)
async def test_read_under_a_fault(
    log_fixture: LogFixture, fault: faults.Fault
) -> None:
    log_fixture.book.add(fault)
    log_fixture.client.timeout = (
        SHORT_TIMEOUT if fault in HANGING_FAULTS else LONG_TIMEOUT
    )
    with pytest.raises(Unavailable):
        await log_fixture.client.read("s", 0)


async def test_append_without_a_listener_is_unavailable(
    session: aiohttp.ClientSession,
) -> None:
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    client = log.LogClient(session, f"http://127.0.0.1:{port}")
    with pytest.raises(Unavailable):
        await client.append("s", b"a")


async def test_expired_offset_errors_have_the_first_offset(
    log_fixture: LogFixture,
) -> None:
    log_fixture.standin.max_records = 2
    for _ in range(5):
        await log_fixture.client.append("s", b"a")
    with pytest.raises(errors.LogOffsetExpiredError) as raised:
        await log_fixture.client.read("s", 2)
    assertions.assert_that(raised.value.first_offset, matchers.Equals(3))
    page = await log_fixture.client.read("s", 3)
    assertions.assert_that(
        [row.offset for row in page.records], matchers.Equals([3, 4])
    )


async def test_rate_limited_appends_are_not_stored(
    log_fixture: LogFixture,
) -> None:
    log_fixture.standin.append_limiter.per_second = 3.0
    log_fixture.standin.append_limiter.tokens = 3.0
    results = await asyncio.gather(
        *(log_fixture.client.append("s", b"a") for _ in range(20)),
        return_exceptions=True,
    )
    rejected = [row for row in results if isinstance(row, Unavailable)]
    assertions.assert_that(
        log_fixture.stored(), matchers.Equals(len(results) - len(rejected))
    )
    assertions.assert_that(len(rejected), matchers.GreaterThan(0))


NOT_BASE64 = (
    b'{"first":0,"next":1,"records":[{"offset":0,"at":0.0,"payload":"a"}]}'
)


@pytest.mark.parametrize(
    "body", [b"no", b"{}", b"[]", b'{"offset":null}', NOT_BASE64]
)
async def test_malformed_responses_raise_typed_errors(
    session: aiohttp.ClientSession, make_backend: Any, body: bytes
) -> None:
    async def respond(_: bytes, writer: asyncio.StreamWriter) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(head + body)

    backend = await make_backend(respond)
    client = log.LogClient(session, f"http://{backend.address}")
    with pytest.raises(Unknown):
        await client.append("s", b"a")
    with pytest.raises(Unavailable):
        await client.read("s", 0)


async def test_a_redirected_append_is_not_sent_again(
    session: aiohttp.ClientSession, make_backend: Any
) -> None:
    async def respond(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /other\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    backend = await make_backend(respond)
    client = log.LogClient(session, f"http://{backend.address}")
    with pytest.raises(errors.PlatformError):
        await client.append("s", b"a")
    assertions.assert_that(backend.requests, matchers.HasLength(1))


async def test_a_log_that_lost_records_is_neither_written_nor_read(
    log_fixture: LogFixture,
) -> None:
    for payload in (b"a", b"b", b"c"):
        await log_fixture.client.append("s", payload)
    del log_fixture.standin.streams["s"].records[1:]
    with pytest.raises(errors.LogRewoundError):
        await log_fixture.client.append("s", b"d")
    stored = log_fixture.stored()
    # This holds for appends and reads, also after the stream has grown again.
    for _ in range(3):
        with pytest.raises(errors.LogRewoundError):
            await log_fixture.client.append("s", b"e")
    with pytest.raises(errors.LogRewoundError):
        await log_fixture.client.read("s", 0)
    assertions.assert_that(log_fixture.stored(), matchers.Equals(stored))
    await log_fixture.client.append("other", b"f")


async def test_responses_out_of_order_are_not_taken_for_lost_records(
    log_fixture: LogFixture,
) -> None:
    appends = [
        log_fixture.client.append("s", b"%d" % each) for each in range(20)
    ]
    offsets = await asyncio.gather(*appends)
    assertions.assert_that(sorted(offsets), matchers.Equals(list(range(20))))
