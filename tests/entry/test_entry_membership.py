"""Three membership tasks that gossip over the loopback interface."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs
import pytest_asyncio
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import hosts as hosts_client
from hoistmoor.core import errors
from hoistmoor.core.membership import freshness
from hoistmoor.core.membership import timing as timing_lib
from hoistmoor.core.membership import view
from hoistmoor.entry import membership
from hoistmoor.peers import handlers
from hoistmoor.peers import server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

_TIMEOUT_SECONDS = 30.0  # For a condition to become true.
_SERVER = "127.0.0.9:9000"
_TIMING = timing_lib.Timing(
    period=0.05,
    log_silence=1.0,
    peer_silence=1.0,
    recovery=0.5,
    fetch_interval=0.2,
)


@attrs.define
class _Table:
    """A table that consists of its revision only."""

    revision: int = 3
    last_contact: float = 0.0

    def snapshot(self) -> bytes:
        return str(self.revision).encode()

    def adopt_if_newer(self, payload: bytes) -> bool:
        is_newer = int(payload) > self.revision
        self.revision = max(self.revision, int(payload))
        return is_newer


class _Host:
    """One entry host: its membership task, peer server and reported events."""

    def __init__(self, number: int, platform: _Platform) -> None:
        self.number = number
        self.platform = platform
        self.table = _Table()
        self.left: list[tuple[str, int]] = []
        self.handlers = handlers.PeerHandlers()
        self.server = server.PeerServer(self.handlers)

    @property
    def name(self) -> str:
        return f"entry-{self.number}"

    async def listen(self) -> None:
        await self.server.start("127.0.0.1", 0)
        self.peer_address = f"127.0.0.1:{self.server.port}"

    def start(self) -> None:
        own = view.HostView(
            name=self.name,
            incarnation=int(time.time() * 1000),
            http_address=f"127.0.0.1:{self.number}",
            peer_address=self.peer_address,
            failure_domain=f"domain-{self.number}",
        )
        self.task = membership.MembershipTask(
            own,
            self.platform.fetch,
            self.platform.find_peer,
            self.table,
            timing=_TIMING,
        )
        self.task.listeners.server_left = lambda *news: self.left.append(news)
        self.handlers.ping = self.task.ping
        self.handlers.ping_for = self.task.ping_for
        self.handlers.fetch_table = self.task.fetch_table
        self.running = asyncio.create_task(self.task.run())

    async def kill(self) -> None:
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        await self.server.close()


class _Platform:
    """A host list that contains all hosts and can be down."""

    def __init__(self) -> None:
        self.hosts = [_Host(number, self) for number in range(3)]
        self.is_up = True

    async def fetch(self) -> tuple[hosts_client.ListedHost, ...]:
        if not self.is_up:
            raise errors.LogUnavailableError("list is down", "Wait.")
        return tuple(
            hosts_client.ListedHost(
                host.name,
                f"127.0.0.1:{host.number}",
                f"domain-{host.number}",
                hosts_client.Role.ENTRY,
                hosts_client.ListedState.LIVE,
                1,
            )
            for host in self.hosts
        )

    async def find_peer(self, host: hosts_client.ListedHost) -> str:
        number = int(host.name.rpartition("-")[2])
        return self.hosts[number].peer_address


@pytest_asyncio.fixture
async def hosts() -> AsyncIterator[list[_Host]]:
    platform = _Platform()
    for host in platform.hosts:
        await host.listen()
    for host in platform.hosts:
        host.start()
    await _wait(lambda: all(_live_count(host) == 3 for host in platform.hosts))
    yield platform.hosts
    for host in platform.hosts:
        await host.kill()


def _live_count(host: _Host) -> int:
    return len(host.task.live_hosts())


def _freshness_reason(host: _Host) -> freshness.Reason:
    return host.task.freshness().why


async def _wait(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


async def test_listed_hosts_discover_each_other_and_gossip_changes(
    hosts: list[_Host],
) -> None:
    hosts[0].task.report_leaving(_SERVER, 7)
    await _wait(lambda: all(host.left == [(_SERVER, 7)] for host in hosts))
    assert hosts[2].task.is_server_leaving(_SERVER)
    hosts[1].table.revision = 4  # Without the log, peers must fetch it.
    await _wait(lambda: all(host.table.revision == 4 for host in hosts))
    heard = freshness.Reason.PEERS_HEARD
    await _wait(lambda: all(_freshness_reason(host) is heard for host in hosts))


async def test_killed_host_is_detected_and_isolated_host_becomes_stale(
    hosts: list[_Host],
) -> None:
    await hosts[2].kill()
    await _wait(lambda: all(_live_count(host) == 2 for host in hosts[:2]))
    await _wait(lambda: hosts[0].task.freshness().is_fresh)
    await hosts[1].kill()
    await _wait(lambda: not hosts[0].task.freshness().is_fresh)


async def test_leaving_host_is_announced_before_it_stops(
    hosts: list[_Host],
) -> None:
    await hosts[2].task.leave()
    states = {host.task.host("entry-2").state for host in hosts[:2]}
    assertions.assert_that(states, matchers.Equals({view.MemberState.LEAVING}))
    names = [host.name for host in hosts[0].task.live_hosts()]
    assert "entry-2" not in names
