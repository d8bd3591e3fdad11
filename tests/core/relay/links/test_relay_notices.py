"""A host forwards nothing that a server has told it not to send."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.links import notices
from hoistmoor.core.relay.servers import server as server_lib

if TYPE_CHECKING:
    from collections.abc import Callable

NOW = 100.0
ALL = frozenset(notices.Notice)


def _rest(server: server_lib.ServerState) -> None:
    server.rest.record(3.0, NOW - 1.0)


def _leave(server: server_lib.ServerState) -> None:
    server.departure.record(NOW - 1.0)


def _limit(server: server_lib.ServerState) -> None:
    server.limit.record_limit(2.4, NOW - 1.0)


def _be_brittle(server: server_lib.ServerState) -> None:
    server.brittle.record(3.0, NOW - 1.0)


def make_server() -> server_lib.ServerState:
    return server_lib.ServerState(relay_parts.make_entry())


@pytest.mark.parametrize(
    ("announce", "notice"),
    [
        (_rest, notices.Notice.REST),
        (_leave, notices.Notice.LEAVING),
        (_limit, notices.Notice.LIMIT),
        (_be_brittle, notices.Notice.BRITTLE),
    ],
)
def test_an_unknown_announcement_prohibits_forwarding(
    announce: Callable[[server_lib.ServerState], None], notice: notices.Notice
) -> None:
    server = make_server()
    assertions.assert_that(
        notices.prohibits_forwarding(server, frozenset(), NOW),
        matchers.Is(False),
    )
    announce(server)
    assertions.assert_that(
        notices.active(server, NOW), matchers.Equals({notice})
    )
    assertions.assert_that(
        notices.prohibits_forwarding(server, ALL - {notice}, NOW),
        matchers.Is(True),
    )


@pytest.mark.parametrize("announce", [_rest, _leave])
def test_a_known_prohibition_holds_for_all(
    announce: Callable[[server_lib.ServerState], None],
) -> None:
    server = make_server()
    announce(server)
    assertions.assert_that(
        notices.prohibits_forwarding(server, ALL, NOW), matchers.Is(True)
    )


@pytest.mark.parametrize("announce", [_limit, _be_brittle])
def test_a_host_that_knows_of_a_limit_keeps_to_its_own_share(
    announce: Callable[[server_lib.ServerState], None],
) -> None:
    server = make_server()
    announce(server)
    assertions.assert_that(
        notices.prohibits_forwarding(server, ALL, NOW), matchers.Is(False)
    )


def test_a_rest_ends() -> None:
    server = make_server()
    _rest(server)
    assertions.assert_that(
        notices.prohibits_forwarding(server, frozenset(), NOW + 3.0),
        matchers.Is(False),
    )
