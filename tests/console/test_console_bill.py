"""Tests of ``hoistmoor bill`` against the log stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import test_utils
from aiohttp import web
import attrs
import orjson
import pytest
import pytest_asyncio
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import log as log_client
from hoistmoor.clients import sessions
from hoistmoor.console import application
from hoistmoor.console import exit_codes
from hoistmoor.core import codec
from hoistmoor.core import streams
from hoistmoor.core.billing import bills
from hoistmoor.standins import fault_registry
from hoistmoor.standins import log as log_standin

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@attrs.define
class BillLog:
    """Log stand-in that retains few records, with a client.

    Attributes:
        url: Base URL of the stand-in.
        client: Client of the stand-in.
        capture: Captures what the command prints.
    """

    url: str
    client: log_client.LogClient
    capture: pytest.CaptureFixture[str]

    async def append_bills(self, *serials: int) -> None:
        """Appends a batch with one bill per request serial."""
        batch_bills = tuple(
            bills.Bill("acme", f"e1.7.{n:x}", "m@1", 2, 3, 1_500_000, 1, 0.0, 1)
            for n in serials
        )
        batch = bills.BillBatch("e1", 7, "e1.7.1", batch_bills)
        await self.client.append(streams.BILLS, codec.encode(batch))

    async def run(self, *flags: str) -> tuple[int, str, str]:
        """Runs the command; returns exit code, output and error output."""
        arguments = ["bill", "--log-url", self.url, *flags]
        code = await asyncio.to_thread(application.main, arguments)
        captured = self.capture.readouterr()
        return code, captured.out, captured.err


@pytest_asyncio.fixture
async def bill_log(
    capsys: pytest.CaptureFixture[str],
) -> AsyncIterator[BillLog]:
    server_app = web.Application()
    standin = log_standin.LogStandin(
        fault_registry.FaultRegistry(), max_records=3
    )
    standin.add_routes(server_app)
    async with test_utils.TestServer(server_app) as server:
        url = str(server.make_url("/"))
        async with sessions.make_session() as session:
            yield BillLog(url, log_client.LogClient(session, url), capsys)


async def test_statement_shows_amount_and_repeats_of_an_account(
    bill_log: BillLog,
) -> None:
    await bill_log.append_bills(1, 2)
    await bill_log.append_bills(2)
    code, out, _ = await bill_log.run("--account", "acme")
    assertions.assert_that(code, matchers.Equals(exit_codes.ExitCode.DONE))
    assertions.assert_that(out, matchers.Contains("3.000000"))
    assertions.assert_that(out, matchers.Contains("1 repeated bills"))


async def test_checkpoint_preserves_totals_of_deleted_records(
    bill_log: BillLog,
) -> None:
    for serial in (1, 2):
        await bill_log.append_bills(serial)
        await bill_log.run("--checkpoint")
    for serial in (2, 3):
        await bill_log.append_bills(serial)
    code, out, err = await bill_log.run("--json")
    assertions.assert_that(err, matchers.Equals(""))
    assertions.assert_that(code, matchers.Equals(exit_codes.ExitCode.DONE))
    statement = orjson.loads(out)
    counts = (statement["lines"][0]["count"], statement["repeats"])
    assertions.assert_that(counts, matchers.Equals((3, 1)))


async def test_missing_and_invalid_records_are_reported(
    bill_log: BillLog,
) -> None:
    for serial in range(1, 5):
        await bill_log.append_bills(serial)
    await bill_log.client.append(streams.BILLS, b"no json")
    code, out, err = await bill_log.run()
    assertions.assert_that(code, matchers.Equals(exit_codes.ExitCode.FAULTS))
    assertions.assert_that(err, matchers.Contains("2 records are past"))
    assertions.assert_that(err, matchers.Contains("record 4 is not counted"))
    assertions.assert_that(out, matchers.Contains("3.000000"))
