"""What servers tell of themselves with their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import multidict
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import reports
from hoistmoor.core.relay.servers import rests
from hoistmoor.platform import names as platform_names
from hoistmoor.relay.front import header_names
from hoistmoor.relay.front import server_reports

if TYPE_CHECKING:
    import asyncio

    from conftest import Backend
    from conftest import Harness

    from hoistmoor.core.relay.servers import server as server_lib

NAMES = header_names.HeaderNames()
HEAD = b"HTTP/1.1 %b\r\nX-Request-Id: r1\r\n%bContent-Length: 0\r\n\r\n"
SIGNED = b"X-Answer-Signature: s\r\n"


def parse(*headers: tuple[str, str], status: int = 200) -> reports.ServerReport:
    return server_reports.parse_report(
        status, multidict.CIMultiDict(headers), NAMES
    )


@pytest.mark.parametrize(
    ("text", "limit"), [("1.7", 1.7), ("30", 30.0), (".3", 0.3), ("0", 0.0)]
)
def test_a_limit_is_a_decimal_number(text: str, limit: float) -> None:
    report = parse(("X-Server-Limit", text))
    assertions.assert_that(report.limit, matchers.Equals(limit))
    assertions.assert_that(report.unreadable, matchers.Equals({}))


@pytest.mark.parametrize(
    "text",
    [
        "",
        "-1",
        "+2",
        "nan",
        "inf",
        "1e3",
        "2,5",
        "1.7, 3",
        "soon",
        "\u0663",
        "9" * 400,
    ],
)
def test_other_texts_are_no_limit(text: str) -> None:
    report = parse(("X-Server-Limit", text), ("X-Load", "3,0,8"))
    assertions.assert_that(report.limit, matchers.Is(None))
    shown = report.unreadable[reports.Word.LIMIT]
    assertions.assert_that(shown, matchers.Not(matchers.Equals("")))
    assertions.assert_that(
        len(shown), matchers.LessThan(server_reports.LONGEST_SHOWN + 1)
    )
    assert report.load is not None
    assertions.assert_that(report.load.running, matchers.Equals(3))


def test_a_server_says_that_it_leaves_in_one_way() -> None:
    said = ("x-server-leaving", "1")
    assertions.assert_that(parse(said).is_leaving, matchers.Is(True))
    assertions.assert_that(parse(said, said).is_leaving, matchers.Is(True))
    assertions.assert_that(parse().is_leaving, matchers.Is(False))


@pytest.mark.parametrize(
    "texts",
    [("",), ("0",), ("yes",), ("true",), ("1, 1",), ("1", "0"), ("11",)],
)
def test_other_texts_do_not_say_that_it_leaves(texts: tuple[str, ...]) -> None:
    report = parse(*(("X-Server-Leaving", text) for text in texts))
    assertions.assert_that(report.is_leaving, matchers.Is(False))
    assertions.assert_that(
        report.unreadable.keys(), matchers.Equals({reports.Word.LEAVING})
    )


@pytest.mark.parametrize(("text", "rest"), [("3", 3.0), ("0.25", 0.25)])
def test_a_rest_is_asked_for_with_503_alone(text: str, rest: float) -> None:
    asked = ("Retry-After", text)
    assertions.assert_that(parse(asked, status=503).rest, matchers.Equals(rest))
    for status in (200, 429, 500):
        report = parse(asked, status=status)
        assertions.assert_that(report.rest, matchers.Is(None))
        assertions.assert_that(report.unreadable, matchers.Equals({}))


@pytest.mark.parametrize(
    "texts",
    [
        ("",),
        ("-1",),
        ("nan",),
        ("1e9",),
        ("Thu, 03 Dec 2026 08:00:00 GMT",),
        ("3", "4"),
        ("9" * 40,),
    ],
)
def test_other_texts_ask_for_no_rest(texts: tuple[str, ...]) -> None:
    report = parse(*(("Retry-After", text) for text in texts), status=503)
    assertions.assert_that(report.rest, matchers.Is(None))
    assertions.assert_that(
        report.unreadable.keys(), matchers.Equals({reports.Word.REST})
    )


class Speaker:
    """A server that answers with the heads that it is given.

    Attributes:
        status: Status line, from the code on.
        headers: Header lines.
    """

    def __init__(self) -> None:
        self.status = b"200 OK"
        self.headers = SIGNED

    async def __call__(
        self, _: Backend, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        writer.write(HEAD % (self.status, self.headers))


async def ask(harness: Harness) -> None:
    async with harness.call("/look/a") as reply:
        await reply.read()


async def add_speaker(
    harness: Harness,
) -> tuple[Speaker, server_lib.ServerState]:
    """Starts a server; returns it, and what the relay knows of it."""
    speaker = Speaker()
    await harness.add_backend("s1", speaker)
    return speaker, harness.state.router.fleet.servers["s1"]


async def test_a_limit_holds_while_answers_name_it(harness: Harness) -> None:
    speaker, server = await add_speaker(harness)
    speaker.headers = SIGNED + b"X-Server-Limit: 50\r\n"
    await ask(harness)
    assertions.assert_that(server.limit.rate, matchers.Equals(50.0))
    speaker.headers = SIGNED + b"X-Server-Limit: 40\r\n"
    await ask(harness)
    assertions.assert_that(server.limit.rate, matchers.Equals(40.0))
    speaker.headers = SIGNED
    await ask(harness)
    assertions.assert_that(server.limit.rate, matchers.Is(None))


async def test_what_is_no_limit_changes_nothing(harness: Harness) -> None:
    speaker, server = await add_speaker(harness)
    speaker.headers = SIGNED + b"X-Server-Limit: -1\r\n"
    await ask(harness)
    assertions.assert_that(server.limit.rate, matchers.Is(None))
    speaker.headers = SIGNED + b"X-Server-Limit: 50\r\n"
    await ask(harness)
    speaker.headers = SIGNED + b"X-Server-Limit: many\r\n"
    await ask(harness)
    assertions.assert_that(server.limit.rate, matchers.Equals(50.0))


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (b"503 Full", b"X-Not-Run: 1\r\n"),
        (b"500 Failed", SIGNED),
        (b"421 Another", b"X-Not-Run: 1\r\nX-Server-Limit: 3\r\n"),
    ],
)
async def test_what_is_no_success_of_it_ends_no_limit(
    harness: Harness, status: bytes, headers: bytes
) -> None:
    speaker, server = await add_speaker(harness)
    speaker.headers = SIGNED + b"X-Server-Limit: 50\r\n"
    await ask(harness)
    speaker.status, speaker.headers = status, headers
    await ask(harness)
    assertions.assert_that(server.limit.rate, matchers.Equals(50.0))


async def test_what_a_server_says_of_its_end_and_rest_is_believed(
    harness: Harness,
) -> None:
    speaker, server = await add_speaker(harness)
    speaker.status, speaker.headers = (
        b"503 Resting",
        b"X-Not-Run: 1\r\nRetry-After: 30\r\nX-Server-Leaving: 1\r\n",
    )
    await ask(harness)
    left = server.rest.left(harness.state.clock())
    assertions.assert_that(left, matchers.GreaterThan(0.0))
    assertions.assert_that(
        server.departure.said_at, matchers.Not(matchers.Is(None))
    )


async def test_whoever_asks_for_rest_has_not_failed(harness: Harness) -> None:
    speaker, server = await add_speaker(harness)
    # It does not say that it has not run the request.
    speaker.status, speaker.headers = b"503 Resting", b"Retry-After: 0.01\r\n"
    for _ in range(5):
        await harness.until(lambda: not server.rest.left(harness.state.clock()))
        await ask(harness)
    assertions.assert_that(server.health.failures, matchers.Equals(0))
    assertions.assert_that(server.health.is_ejected, matchers.Is(False))


async def test_a_rest_is_kept_to_for_a_while_at_most(harness: Harness) -> None:
    speaker, server = await add_speaker(harness)
    speaker.status, speaker.headers = (
        b"503 Resting",
        b"X-Not-Run: 1\r\nRetry-After: 999999\r\n",
    )
    await ask(harness)
    assertions.assert_that(
        server.rest.left(harness.state.clock()),
        matchers.LessThan(rests.LONGEST + 1e-9),
    )


def test_a_word_that_nothing_reads_is_named() -> None:
    report = parse(
        ("X-Server-Mood", "low"), ("X-Server-Limit", "3"), ("Server", "any")
    )
    assertions.assert_that(report.unread, matchers.Equals(("X-Server-Mood",)))
    said = multidict.CIMultiDict(
        [
            ("Hoistmoor-Response-Signature", "s"),
            ("Hoistmoor-Instance-Load", "1,0,8"),
            ("Hoistmoor-Weight-Versions", "3"),
            ("Server-Leaving", "1"),
            ("Server-Limit", "2"),
        ]
    )
    read = server_reports.parse_report(200, said, platform_names.HEADERS)
    assertions.assert_that(read.unread, matchers.Equals(()))
    said["Server-Wish"] = "tea"
    read = server_reports.parse_report(200, said, platform_names.HEADERS)
    assertions.assert_that(read.unread, matchers.Equals(("Server-Wish",)))


async def test_a_late_answer_of_the_start_before_binds_nobody(
    harness: Harness,
) -> None:
    _, before = await add_speaker(harness)
    fleet, beliefs = harness.state.router.fleet, harness.state.server_beliefs
    fleet.put(relay_parts.entry("s1", address="127.0.0.1:9"), 0.0)
    beliefs.take_report(
        before,
        reports.ServerReport(is_leaving=True, rest=9.0),
        0.0,
        is_success=True,
    )
    now = harness.state.clock()
    assertions.assert_that(fleet.servers["s1"].leaves(now), matchers.Is(False))
    assertions.assert_that(
        fleet.servers["s1"].rest.left(now), matchers.Equals(0.0)
    )
