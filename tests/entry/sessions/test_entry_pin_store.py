"""Session pins stored at other hosts, over real connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest_asyncio
import session_hosts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.sessions import rendezvous
from hoistmoor.entry import pin_store
from hoistmoor.entry import session_affinity
from hoistmoor.peers import client
from hoistmoor.peers import handlers
from hoistmoor.peers import server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PEER_TIMEOUT = 30.0  # Seconds; long, so that a busy machine fails no test.
NAMES = ("h1", "h2", "h3")
FIRST = session_hosts.table_of(1, {}, a=1.0, b=1.0)
EDITED = session_hosts.table_of(2, {}, a=1.0, b=90.0)


@pytest_asyncio.fixture
async def hosts() -> AsyncIterator[dict[str, session_affinity.SessionAffinity]]:
    clients = client.PeerClientPool()
    addresses: dict[str, str] = {}
    store = pin_store.PeerPinStore(clients, addresses.get)
    created: dict[str, session_affinity.SessionAffinity] = {}
    servers = []
    for name in NAMES:
        host = session_affinity.SessionAffinity(
            name, ["secret"], lambda: 1.0, store, peer_timeout=PEER_TIMEOUT
        )
        host.on_table(FIRST)
        host.on_hosts([rendezvous.HomeHost(one, f"d{one}") for one in NAMES])
        peer = server.PeerServer(
            handlers.PeerHandlers(
                find_session=host.find_session, keep_session=host.keep_session
            )
        )
        await peer.start("127.0.0.1", 0)
        addresses[name] = f"127.0.0.1:{peer.port}"
        servers.append(peer)
        created[name] = host
    yield created
    clients.close()
    for peer in servers:
        await peer.close()


async def test_pin_is_found_at_every_host_after_an_edit(
    hosts: dict[str, session_affinity.SessionAffinity],
) -> None:
    account, name = session_hosts.ACCOUNT, session_hosts.MODEL
    for number in range(20):
        session = f"s{number}"
        hosts["h1"].on_table(FIRST)
        first = await hosts["h1"].resolve_pin(account, session, name, "new")
        versions = set()
        for host in hosts.values():
            host.on_table(EDITED)
            pin = await host.resolve_pin(account, session, name, "new")
            versions.add(pin.version)
        assertions.assert_that(versions, matchers.Equals({first.version}))
    unreachable = sum(host.failed_calls for host in hosts.values())
    assertions.assert_that(unreachable, matchers.Equals(0))


async def test_request_succeeds_if_its_home_hosts_are_unknown(
    hosts: dict[str, session_affinity.SessionAffinity],
) -> None:
    host = hosts["h1"]
    host.on_hosts(
        [rendezvous.HomeHost("h8", "d1"), rendezvous.HomeHost("h9", "d2")]
    )
    pin = await host.resolve_pin(
        session_hosts.ACCOUNT, "s1", session_hosts.MODEL, "new"
    )
    assertions.assert_that(
        pin.status, matchers.Equals(session_affinity.PinStatus.NEW)
    )
    assertions.assert_that(host.failed_calls, matchers.GreaterThan(0))
