"""Tests of ``hoistmoor explain`` and ``status`` with an unavailable host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import test_utils
from aiohttp import web
import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import hosts
from hoistmoor.console import exit_codes
from hoistmoor.console.commands import explain
from hoistmoor.console.commands import status
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core.requests import decisions
from hoistmoor.core.routing import messages as routing

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

REQUEST_ID = "gone.1a.2"
DECISION = decisions.Decision(
    request_id=REQUEST_ID,
    account="bangna-agents",
    asked="auto",
    kind="chat",
    arrived=1.5,
    revision=7,
    steps=[decisions.Step(0.25, "dispatched", "to moor-1")],
    choice=routing.Choice(
        version="khao-small@2025-08",
        server="moor-1",
        address="127.0.0.1:1",
        hold_answer=False,
        reason="cheapest at 0.8",
        version_notes=(
            routing.CandidateNote("khao-large@2025-09", "", "dearer"),
        ),
    ),
    version="khao-small@2025-08",
    server="moor-1",
    attempts=1,
    outcome="done",
    cost=1_500_000,
)


@attrs.define
class FakePlatform:
    """Host list with one unavailable and one responsive host.

    Attributes:
        url: Base URL of the list.
        requested_paths: Paths that the responsive host got requests for.
    """

    url: str
    requested_paths: list[str]


def _listed_host(name: str, address: str) -> dict[str, object]:
    host = hosts.ListedHost(
        name=name,
        address=address,
        failure_domain="bangna",
        role=hosts.Role.ENTRY,
        state=hosts.ListedState.LIVE,
        incarnation=1,
    )
    return attrs.asdict(host)


@pytest.fixture
async def platform() -> AsyncIterator[FakePlatform]:
    """One server that is both the host list and the responsive host."""
    requested_paths: list[str] = []

    async def handle(request: web.Request) -> web.Response:
        requested_paths.append(request.path)
        rows = [
            _listed_host("gone", "127.0.0.1:1"),
            _listed_host("here", str(request.host)),
        ]
        responses: dict[str, Callable[[], object]] = {
            "/hosts": lambda: {"hosts": rows},
            "/status": lambda: {"table_revision": 7},
            f"/explain/{REQUEST_ID}": lambda: codec.converter.unstructure(
                DECISION
            ),
        }
        if request.path not in responses:
            return web.json_response({}, status=404)
        return web.json_response(responses[request.path]())

    application = web.Application()
    application.router.add_get("/{path:.*}", handle)
    async with test_utils.TestServer(application) as server:
        yield FakePlatform(
            str(server.make_url("")).rstrip("/"), requested_paths
        )


async def test_explain_queries_other_hosts_if_one_is_unavailable(
    platform: FakePlatform,
) -> None:
    command = explain.Explain(request_id=REQUEST_ID, hosts_url=platform.url)
    decision = await command.find_decision()
    assert decision is not None
    text = "\n".join(explain.describe(decision))
    for expected in (
        *("bangna-agents", "revision 7", "khao-small@2025-08 at moor-1"),
        *("1.500000", "cheapest at 0.8", "khao-large@2025-09", "dearer"),
    ):
        assertions.assert_that(text, matchers.Contains(expected))


async def test_explain_queries_every_host_for_an_unknown_request(
    platform: FakePlatform,
) -> None:
    command = explain.Explain(request_id="here.1.1", hosts_url=platform.url)
    assertions.assert_that(await command.find_decision(), matchers.Is(None))
    assertions.assert_that(
        platform.requested_paths,
        matchers.Equals(["/hosts", "/explain/here.1.1"]),
    )


async def test_explain_rejects_a_malformed_request_id() -> None:
    command = explain.Explain(request_id="nonsense", hosts_url="http://x")
    with pytest.raises(errors.ConfigurationError, match="not a request id"):
        await command.find_decision()


async def test_status_fails_and_names_an_unresponsive_host(
    platform: FakePlatform, capsys: pytest.CaptureFixture[str]
) -> None:
    code = await status.Status(hosts_url=platform.url).show()
    assertions.assert_that(code, matchers.Equals(exit_codes.ExitCode.FAILED))
    lines = capsys.readouterr().out.splitlines()
    gone = next(line for line in lines if line.startswith("gone"))
    here = next(line for line in lines if line.startswith("here"))
    assertions.assert_that(gone, matchers.Contains("no response"))
    assertions.assert_that(here.split(), matchers.Contains("7"))
