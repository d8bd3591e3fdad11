"""Tests probes of the load of servers before a call, if reports are rare."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import routing_rows
from testtools import assertions
from testtools import matchers

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import placement

if TYPE_CHECKING:
    from conftest import MakeRouter

    from hoistmoor.core.routing import router as router_lib

NO_SERVERS: frozenset[str] = frozenset()
NOW = 100.0
QUERY = routing_rows.query(model="small@v1")


@pytest.fixture
def router(make_router: MakeRouter) -> router_lib.Router:
    return make_router(routing_rows.table(servers=40))


def choose(router: router_lib.Router) -> messages.Choice:
    found = router.choose(QUERY, NO_SERVERS, NOW)
    assert isinstance(found, messages.Choice)
    return found


def report(router: router_lib.Router, server: str, running: int) -> None:
    router.on_load(
        routing_rows.report(server, NOW, running=running, capacity=8), NOW
    )


def test_call_goes_to_the_least_loaded_probed_server(
    router: router_lib.Router,
) -> None:
    choice = choose(router)
    names = router.servers_to_probe(choice, NO_SERVERS, NOW)
    assertions.assert_that(names, matchers.Contains(choice.server))
    assert 2 <= len(names) <= placement.MAX_PROBES
    for name in names:
        report(router, name, 7 if name == choice.server else 2)
    best = router.choose_probed(choice, names)
    assert best.server in set(names) - {choice.server}
    assertions.assert_that(best.version, matchers.Equals(choice.version))
    row = router.fleet.by_name[best.server].row
    assertions.assert_that(best.address, matchers.Equals(row.address))


def test_no_server_is_probed_while_its_load_is_known(
    router: router_lib.Router,
) -> None:
    choice = choose(router)
    report(router, choice.server, 1)
    assertions.assert_that(
        router.servers_to_probe(choice, NO_SERVERS, NOW + 1.0),
        matchers.Equals(()),
    )
    expired = NOW + placement.FRESH_REPORT_S + 1.0
    assert router.servers_to_probe(choice, NO_SERVERS, expired)


def test_no_server_is_probed_for_short_calls(
    router: router_lib.Router,
) -> None:
    choice = choose(router)
    for _ in range(3):
        router.on_started(choice.server, choice.version, NOW)
        done = messages.AttemptResult(ok=True, seconds=0.1)
        router.on_finished(choice.server, choice.version, done, NOW)
    assertions.assert_that(
        router.servers_to_probe(choice, NO_SERVERS, NOW), matchers.Equals(())
    )


def test_leaving_excluded_and_full_servers_are_not_chosen(
    router: router_lib.Router,
) -> None:
    choice = choose(router)
    names = router.servers_to_probe(choice, NO_SERVERS, NOW)
    others = frozenset(names) - {choice.server}
    probed = router.servers_to_probe(choice, others, NOW)
    assert not others & set(probed)
    for name in others:
        router.on_leaving(router.fleet.by_name[name].row.address)
    report(router, choice.server, 7)
    assertions.assert_that(
        router.choose_probed(choice, names).server,
        matchers.Equals(choice.server),
    )
    report(router, choice.server, 8)
    # No probed server is ready, so the choice is kept although the server may
    # decline the call.
    assertions.assert_that(
        router.choose_probed(choice, names), matchers.Equals(choice)
    )
