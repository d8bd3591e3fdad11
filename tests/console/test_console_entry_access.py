"""The console shows an operator's key to entry hosts, also over TLS."""

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
from hoistmoor.console import host_answers
from hoistmoor.console.commands.table import in_force
from hoistmoor.utils import tls

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEY = "a-key-of-an-operator"
_TLS = pathlib.Path(__file__).parents[1] / "fixtures" / "tls"
_AUTHORITY = str(_TLS / "ca.crt")


async def _status(http: web.Request) -> web.Response:
    is_operator = http.headers.get("Authorization") == f"Bearer {KEY}"
    return web.json_response(
        {"table_revision": 7}, status=200 if is_operator else 401
    )


@pytest.fixture(params=["plain", "TLS"])
async def entry(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[hosts.ListedHost]:
    """An entry host that wants a key."""
    context = None
    if request.param == "TLS":
        monkeypatch.setenv(entry_access.AUTHORITY_VARIABLE, _AUTHORITY)
        context = tls.TlsFiles(
            str(_TLS / "host.crt"), str(_TLS / "host.key"), _AUTHORITY
        ).caller_context
    application = web.Application()
    application.router.add_get("/status", _status)
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
class _List:
    listed: hosts.ListedHost

    async def fetch(self) -> tuple[hosts.ListedHost, ...]:
        return (self.listed,)


async def _ask_both_ways(entry: hosts.ListedHost) -> tuple[int, str]:
    """Returns the status code and the word on who lags."""
    listed: Any = _List(entry)
    async with sessions.make_session() as session:
        answer = await host_answers.ask(session, entry, "/status")
        watch = in_force.SpreadWatch(session, listed, 7)
        spread = await watch.wait(2.0)
    return answer.status, "; ".join(map(str, spread.laggards))


async def test_with_the_key_hosts_answer(
    entry: hosts.ListedHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(entry_access.KEY_VARIABLE, KEY)
    answered = await _ask_both_ways(entry)
    assertions.assert_that(answered, matchers.Equals((200, "")))


async def test_without_the_key_the_variable_is_named(
    entry: hosts.ListedHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(entry_access.KEY_VARIABLE, raising=False)
    status, lagging = await _ask_both_ways(entry)
    assertions.assert_that(status, matchers.Equals(401))
    assert entry_access.KEY_VARIABLE in lagging
