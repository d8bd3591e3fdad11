"""Tests calls between two hosts over loopback."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
from testtools import assertions
from testtools import matchers

from hoistmoor.peers import client
from hoistmoor.peers import errors
from hoistmoor.peers import handlers
from hoistmoor.peers import peer_pb2
from hoistmoor.peers import server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class _Peer:
    """A peer that holds bills and replies to pings once ``gate`` is set."""

    def __init__(self) -> None:
        self.held: dict[str, bytes] = {}
        self.gate = asyncio.Event()
        self.handlers = handlers.PeerHandlers(
            ping=self._ping,
            hold_bills=self._hold_bills,
            release_bills=self._release_bills,
            fetch_table=self._fetch_table,
            find_key=self._find_key,
        )

    async def _ping(self, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        await self.gate.wait()
        return peer_pb2.Digest(sender="b", table_mark=digest.table_mark + 1)

    async def _hold_bills(self, batch_id: str, batch: bytes) -> None:
        self.held[batch_id] = batch

    async def _release_bills(self, batch_ids: tuple[str, ...]) -> None:
        for batch_id in batch_ids:
            del self.held[batch_id]

    async def _fetch_table(self, revision: int) -> bytes:
        return b"" if revision >= 7 else b"snapshot"

    async def _find_key(
        self, account: str, key: str, claim_id: str
    ) -> handlers.KeyLookup:
        return handlers.KeyLookup(claim_id, f"{account}/{key}".encode())


@pytest.fixture
def callee() -> _Peer:
    return _Peer()


@pytest_asyncio.fixture
async def peer_server(
    callee: _Peer,
) -> AsyncIterator[server.PeerServer]:
    started = server.PeerServer(callee.handlers)
    await started.start("127.0.0.1", 0)
    yield started
    await started.close()


@pytest_asyncio.fixture
async def peer(
    peer_server: server.PeerServer,
) -> AsyncIterator[client.PeerClient]:
    opened = client.PeerClient(f"127.0.0.1:{peer_server.port}")
    yield opened
    opened.close()


async def test_calls_reach_their_handlers(
    peer: client.PeerClient, callee: _Peer
) -> None:
    callee.gate.set()
    reply = await peer.ping(peer_pb2.Digest(sender="a", table_mark=4))
    await peer.hold_bills("1", b"bills")
    await peer.hold_bills("2", b"more")
    await peer.release_bills(("1",))
    found = await peer.find_key("acme", "k", "c")

    assertions.assert_that(reply.table_mark, matchers.Equals(5))
    assertions.assert_that(callee.held, matchers.Equals({"2": b"more"}))
    assertions.assert_that(found.answer, matchers.Equals(b"acme/k"))
    assertions.assert_that(await peer.fetch_table(7), matchers.Equals(b""))
    assertions.assert_that(
        await peer.fetch_table(-1), matchers.Equals(b"snapshot")
    )


async def test_calls_without_a_handler_are_refused(
    peer: client.PeerClient,
) -> None:
    with pytest.raises(errors.PeerRefusedError):
        await peer.find_session("acme", "s")


async def test_calls_succeed_after_the_timeouts_of_a_silent_peer(
    peer: client.PeerClient, callee: _Peer
) -> None:
    for _ in range(2):  # The second timeout replaces the connection.
        with pytest.raises(errors.PeerTimeoutError):
            await peer.ping(peer_pb2.Digest(sender="a"))
    callee.gate.set()
    reply = await peer.ping(peer_pb2.Digest(sender="a"))
    assertions.assert_that(reply.sender, matchers.Equals("b"))


async def test_a_closed_peer_is_unreachable(
    peer: client.PeerClient, peer_server: server.PeerServer, callee: _Peer
) -> None:
    await peer.hold_bills("1", b"bills")
    await peer_server.close()
    with pytest.raises(errors.PeerUnreachableError):  # On the open connection.
        await peer.hold_bills("2", b"bills")
    assertions.assert_that(callee.held, matchers.Equals({"1": b"bills"}))
    with pytest.raises(errors.PeerUnreachableError):
        await peer.find_session("acme", "s")


async def test_only_idle_connections_are_closed_above_the_limit(
    peer_server: server.PeerServer, callee: _Peer
) -> None:
    clients = client.PeerClientPool(limit=1)
    busy = clients.get(f"127.0.0.1:{peer_server.port}")
    call = asyncio.create_task(busy.ping(peer_pb2.Digest(sender="a")))
    while busy.active_calls == 0:
        await asyncio.sleep(0)
    clients.get("127.0.0.1:1")
    callee.gate.set()
    reply = await call
    clients.close()
    assertions.assert_that(reply.sender, matchers.Equals("b"))
