"""Results of complete, truncated, refused and unreachable responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.core import outcomes
from hoistmoor.load import arrivals
from hoistmoor.load import call_catalog
from hoistmoor.load import caller as caller_lib
from hoistmoor.load import calls
from hoistmoor.load import history
from hoistmoor.load import report as report_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

UNREACHABLE_URL = "http://127.0.0.1:1"  # No program listens on this port.
BEARER = "demo-secret-key"
REFUSAL = {"type": "not_granted", "message": "No.", "outcome": "not_run"}


async def _stream(request: web.Request, *frames: bytes) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = "text/event-stream"
    await response.prepare(request)
    for frame in frames:
        await response.write(frame)
    return response


async def _complete(request: web.Request) -> web.StreamResponse:
    return await _stream(request, b'data: {"a": 1}\n\n', b"data: [DONE]\n\n")


async def _no_end_marker(request: web.Request) -> web.StreamResponse:
    return await _stream(request, b'data: {"a": 1}\n\n')


async def _late_error(request: web.Request) -> web.StreamResponse:
    error = b'data: {"error": {"type": "backend_cut", "outcome": "unknown"}}'
    return await _stream(request, b'data: {"a": 1}\n\n', error)


async def _cut(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Length": "100"})
    await response.prepare(request)
    await response.write(b"half")
    assert request.transport is not None
    request.transport.close()
    return response


async def _refuse(request: web.Request) -> web.Response:
    return web.json_response(
        {"error": REFUSAL}, status=403, headers={"Retry-After": "3600"}
    )


@pytest.fixture
async def entry() -> AsyncIterator[str]:
    """Returns the base URL of a server with a path for each response."""
    application = web.Application()
    handlers = (_complete, _no_end_marker, _late_error, _cut, _refuse)
    for handler in handlers:
        application.router.add_get("/" + handler.__name__, handler)
    async with test_utils.TestServer(application) as server:
        yield str(server.make_url("")).rstrip("/")


@pytest.fixture
async def caller() -> AsyncIterator[caller_lib.HttpCaller]:
    """Returns a caller with its own HTTP session."""
    async with aiohttp.ClientSession() as session:
        yield caller_lib.HttpCaller(session)


@pytest.mark.parametrize(
    ("path", "served", "reason", "outcome"),
    [
        ("_complete", True, "", outcomes.Outcome.DONE),
        ("_no_end_marker", False, "entry_cut", outcomes.Outcome.UNKNOWN),
        ("_late_error", False, "backend_cut", outcomes.Outcome.UNKNOWN),
        ("_cut", False, "entry_cut", outcomes.Outcome.UNKNOWN),
        ("_refuse", False, "not_granted", outcomes.Outcome.NOT_RUN),
    ],
)
async def test_response_is_served_only_if_complete(
    entry: str,
    caller: caller_lib.HttpCaller,
    path: str,
    served: bool,
    reason: str,
    outcome: outcomes.Outcome,
) -> None:
    call = calls.Call("test", "GET", f"/{path}", None, BEARER)
    result = await caller.send(0, entry, call, due=0.0)
    assertions.assert_that(
        (result.served, result.reason, result.outcome),
        matchers.Equals((served, reason, outcome)),
    )


async def test_unreachable_entry_is_reported_as_not_run(
    caller: caller_lib.HttpCaller,
) -> None:
    call = calls.Call("test", "GET", "/", None, BEARER)
    result = await caller.send(0, UNREACHABLE_URL, call, due=0.0)
    assertions.assert_that(
        (result.reason, result.outcome),
        matchers.Equals(("entry_unreachable", outcomes.Outcome.NOT_RUN)),
    )


async def test_history_of_a_run_contains_no_bearer_key(
    entry: str, caller: caller_lib.HttpCaller, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "history.jsonl"
    writer = history.HistoryFile(path)
    report = report_lib.Report()
    call = calls.Call("test", "GET", "/_refuse", None, BEARER)
    plan = arrivals.LoadPlan([entry], [call], rate=500.0, count=20)

    def on_result(result: calls.RequestResult) -> None:
        writer.add(result)
        report.add(result)

    await arrivals.run(plan, caller, on_result)
    writer.close()
    read = list(history.read(path))
    assertions.assert_that(
        sorted(result.serial for result in read),
        matchers.Equals(list(range(20))),
    )
    assertions.assert_that(
        path.read_text(), matchers.Not(matchers.Contains(BEARER))
    )
    assertions.assert_that(
        report.lines()[-1], matchers.Contains("not_granted/not_run 20")
    )


def test_arrivals_are_deterministic_for_a_seed() -> None:
    call = calls.Call("test", "GET", "/", None, BEARER)
    plan = arrivals.LoadPlan(
        ["http://127.0.0.1:1"], [call], rate=50.0, count=2000
    )
    first = list(arrivals.arrival_offsets(plan))
    assertions.assert_that(
        first, matchers.Equals(list(arrivals.arrival_offsets(plan)))
    )
    assertions.assert_that(
        first[-1],
        matchers.MatchesAll(
            matchers.GreaterThan(35.0), matchers.LessThan(45.0)
        ),
    )


def test_unknown_kind_error_lists_the_known_kinds() -> None:
    with pytest.raises(errors.ConfigurationError, match="balance"):
        call_catalog.calls_by_name(["nonsense"], BEARER)
