"""Tests that the console sends the operator key, with and without TLS."""

from __future__ import annotations

import pathlib
from typing import Any, TYPE_CHECKING

from aiohttp import web
import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import hosts
from hoistmoor.clients import sessions
from hoistmoor.console import entry_access
from hoistmoor.console import host_queries
from hoistmoor.console.commands.table import propagation
from hoistmoor.utils import tls

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OPERATOR_KEY = "a-key-of-an-operator"
_TLS_DIRECTORY = pathlib.Path(__file__).parents[1] / "fixtures" / "tls"
_CA_FILE = str(_TLS_DIRECTORY / "ca.crt")


async def _handle_status(request: web.Request) -> web.Response:
    is_operator = (
        request.headers.get("Authorization") == f"Bearer {OPERATOR_KEY}"
    )
    return web.json_response(
        {"table_revision": 7}, status=200 if is_operator else 401
    )


@pytest.fixture(params=["plain", "TLS"])
async def entry(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[hosts.ListedHost]:
    """An entry host that requires the operator key."""
    context = None
    if request.param == "TLS":
        monkeypatch.setenv(entry_access.CA_FILE_VARIABLE, _CA_FILE)
        context = tls.TlsFiles(
            str(_TLS_DIRECTORY / "host.crt"),
            str(_TLS_DIRECTORY / "host.key"),
            _CA_FILE,
        ).caller_context
    application = web.Application()
    application.router.add_get("/status", _handle_status)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, ssl_context=context).start()
    port = runner.addresses[0][1]
    yield hosts.ListedHost(
        name="entry-1",
        address=f"127.0.0.1:{port}",
        failure_domain="a",
        role=hosts.Role.ENTRY,
        state=hosts.ListedState.LIVE,
        incarnation=1,
    )
    await runner.cleanup()


@attrs.define
class _FakeHostList:
    host: hosts.ListedHost

    async def fetch(self) -> tuple[hosts.ListedHost, ...]:
        return (self.host,)


async def _query_status(entry: hosts.ListedHost) -> tuple[int, str]:
    """Queries the status of the host, and whether revision 7 is active on it.

    Returns:
        The HTTP status, and the hosts reported as lagging.
    """
    host_list: Any = _FakeHostList(entry)
    async with sessions.make_session() as session:
        response = await host_queries.query_host(session, entry, "/status")
        watch = propagation.PropagationPoller(session, host_list, 7)
        result = await watch.wait(2.0)
    return response.status, "; ".join(map(str, result.lagging_hosts))


async def test_hosts_accept_the_operator_key(
    entry: hosts.ListedHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(entry_access.KEY_VARIABLE, OPERATOR_KEY)
    result = await _query_status(entry)
    assertions.assert_that(result, matchers.Equals((200, "")))


async def test_missing_key_is_reported_with_its_variable(
    entry: hosts.ListedHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(entry_access.KEY_VARIABLE, raising=False)
    status, lagging = await _query_status(entry)
    assertions.assert_that(status, matchers.Equals(401))
    assert entry_access.KEY_VARIABLE in lagging
