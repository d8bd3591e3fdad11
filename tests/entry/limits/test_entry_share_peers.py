"""Hosts that hand parts of their spend shares to each other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import limits_log
import limits_rows
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.core import identity
from hoistmoor.core import refusals
from hoistmoor.core.limits import ledger
from hoistmoor.core.limits import local_shares
from hoistmoor.core.limits import records
from hoistmoor.core.table import model
from hoistmoor.entry import limits
from hoistmoor.entry import share_peers
from hoistmoor.peers import errors as peer_errors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

URGENT = model.Priority.URGENT
DEFERRABLE = model.Priority.DEFERRABLE


@attrs.define
class FakePeer:
    """Carries asks to a gate, and loses some answers."""

    gate: limits.Gate
    lose: int = 0
    calls: int = 0

    async def shares(self, message: bytes) -> bytes:
        """Lets the gate answer."""
        self.calls += 1
        await asyncio.sleep(0)
        answer = await self.gate.answer_peer(message)
        if self.lose:
            self.lose -= 1
            raise peer_errors.PeerTimeoutError("no answer", "Try another.")
        return answer

    def givers(self) -> Sequence[share_peers.Giver]:
        """Returns this peer."""
        return (share_peers.Giver("h1", self),)


@attrs.frozen
class Heirs:
    """One peer, and which process is thought to run there."""

    peer: FakePeer
    incarnation: int

    def givers(self) -> Sequence[share_peers.Giver]:
        """Returns the peer."""
        return (share_peers.Giver("h2", self.peer, self.incarnation),)


@pytest.fixture
def peer(gate: limits.Gate) -> FakePeer:
    return FakePeer(gate)


@pytest.fixture
async def newcomer(peer: FakePeer) -> AsyncIterator[limits.Gate]:
    """Returns a gate that starts while the log is down."""
    log = limits_log.FakeLog(limits_rows.clock)
    log.set_down(True)
    gate = limits.Gate(
        log, identity.Incarnation("h2", 1), limits_rows.clock, peer
    )
    gate.on_table(limits_rows.table_of())
    gate.start()
    yield gate
    await gate.stop()


async def admit(
    gate: limits.Gate, cost: int, priority: model.Priority = URGENT
) -> limits.Admitted | refusals.Refusal:
    deadline = limits_rows.clock() + 30.0
    return await gate.admit(
        limits_rows.ACCOUNT, priority, deadline, cost, "llm"
    )


def share_of(gate: limits.Gate) -> local_shares.Share:
    day = records.day_of(limits_rows.clock())
    return gate.keeper.book.local_shares.share(limits_rows.ACCOUNT, day)


def assert_refused(found: object) -> None:
    assertions.assert_that(found, matchers.IsInstance(refusals.Refusal))
    assertions.assert_that(
        found.reason, matchers.Equals(refusals.Reason.SPEND_LIMITED)
    )


async def test_host_that_starts_in_an_outage_serves_from_a_peers_share(
    gate: limits.Gate, newcomer: limits.Gate
) -> None:
    held = share_of(gate).granted
    found = await admit(newcomer, 2_000)
    assertions.assert_that(found, matchers.IsInstance(limits.Admitted))
    given = share_of(gate).given
    assertions.assert_that(
        (share_of(newcomer).taken, share_of(gate).granted),
        matchers.Equals((given, held - given)),
    )


async def test_requests_at_once_share_the_exchanges(
    newcomer: limits.Gate, peer: FakePeer
) -> None:
    while newcomer.keeper.log_is_up:
        await asyncio.sleep(0)
    day = records.day_of(limits_rows.clock())
    deadline = limits_rows.clock() + 30.0
    found = await asyncio.gather(
        *(
            newcomer.keeper.reserve(limits_rows.ACCOUNT, 100, day, deadline)
            for _ in range(20)
        )
    )
    assertions.assert_that(
        set(found), matchers.Equals({ledger.ReserveResult.RESERVED})
    )
    # One for the first request, and one for all that came meanwhile.
    assertions.assert_that(peer.calls, matchers.Equals(2))


async def test_lost_answer_is_asked_for_again_and_counted_once(
    gate: limits.Gate,
    newcomer: limits.Gate,
    peer: FakePeer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    peer.lose = 1
    assert_refused(await admit(newcomer, 2_000))
    given = share_of(gate).given
    ahead = limits_rows.AHEAD[0] + share_peers.MOST_QUIET_SECONDS
    monkeypatch.setattr(limits_rows, "AHEAD", [ahead])
    found = await admit(newcomer, 2_000)
    assertions.assert_that(found, matchers.IsInstance(limits.Admitted))
    assertions.assert_that(
        (share_of(newcomer).taken, share_of(gate).given, peer.calls),
        matchers.Equals((given, given, 2)),
    )


async def test_urgent_requests_get_the_last_of_a_share(
    gate: limits.Gate, newcomer: limits.Gate
) -> None:
    share = share_of(gate)
    rest = share.granted // 5
    gate.keeper.book.local_shares.settle(
        limits_rows.ACCOUNT,
        records.day_of(limits_rows.clock()),
        0,
        share.left - rest,
    )
    assert_refused(await admit(newcomer, rest // 4, DEFERRABLE))
    found = await admit(newcomer, rest // 4)
    assertions.assert_that(found, matchers.IsInstance(limits.Admitted))


async def test_urgent_requests_get_the_last_of_an_own_share(
    gate: limits.Gate, log: limits_log.FakeLog
) -> None:
    log.set_down(True)
    while gate.keeper.log_is_up:
        await asyncio.sleep(0)
    most = share_of(gate).granted
    assert_refused(await admit(gate, int(most * 0.8), DEFERRABLE))
    found = await admit(gate, int(most * 0.8))
    assertions.assert_that(found, matchers.IsInstance(limits.Admitted))


async def test_peers_without_a_share_are_not_asked_for_each_request(
    gate: limits.Gate, newcomer: limits.Gate, peer: FakePeer
) -> None:
    assert_refused(await admit(newcomer, 900_000))
    calls = peer.calls
    for _ in range(10):
        assert_refused(await admit(newcomer, 900_000))
    assertions.assert_that((calls, peer.calls), matchers.Equals((1, 1)))


async def test_message_that_is_no_ask_gets_a_typed_error(
    gate: limits.Gate,
) -> None:
    with pytest.raises(errors.CodecError):
        await gate.answer_peer(b"{}")


async def test_frozen_peer_does_not_keep_others_from_helping(
    newcomer: limits.Gate, peer: FakePeer
) -> None:
    class Frozen:
        async def shares(self, message: bytes) -> bytes:
            await asyncio.Event().wait()
            return message

    class Neighbours:
        def givers(self) -> Sequence[share_peers.Giver]:
            return (share_peers.Giver("h0", Frozen()), *peer.givers())

    newcomer.keeper.peers.neighbours = Neighbours()
    found = await admit(newcomer, 2_000)
    assertions.assert_that(found, matchers.IsInstance(limits.Admitted))


async def test_asks_for_two_accounts_left_unanswered_are_both_repeated(
    gate: limits.Gate, newcomer: limits.Gate
) -> None:
    giver, taker = gate.keeper.book, newcomer.keeper.book
    day = records.day_of(limits_rows.clock())
    first = taker.request_transfer(
        "h1", limits_rows.ACCOUNT, 500, day, urgent=True
    )
    answer = giver.grant_transfer(first, limits_rows.clock())
    taker.request_transfer("h1", "other", 500, day, urgent=True)
    again = taker.request_transfer(
        "h1", limits_rows.ACCOUNT, 900, day, urgent=True
    )
    assertions.assert_that(again, matchers.Equals(first))
    repeated = giver.grant_transfer(again, limits_rows.clock())
    assertions.assert_that(repeated, matchers.Equals(answer))
    taken = [taker.transfers.accept(answer) for _ in range(2)]
    assertions.assert_that(taken, matchers.Equals([answer.amount, 0]))


async def test_host_that_stops_in_an_outage_leaves_its_share_to_others(
    gate: limits.Gate,
    newcomer: limits.Gate,
    log: limits_log.FakeLog,
) -> None:
    heir = FakePeer(newcomer)
    gate.keeper.peers.neighbours = Heirs(heir, 1)
    held = share_of(gate).left
    log.set_down(True)
    while gate.keeper.log_is_up:
        await asyncio.sleep(0)
    await gate.drain()
    assertions.assert_that(
        (share_of(gate).granted, share_of(newcomer).taken),
        matchers.Equals((0, held)),
    )


async def test_share_left_to_a_process_that_is_gone_counts_for_nobody(
    gate: limits.Gate, newcomer: limits.Gate, log: limits_log.FakeLog
) -> None:
    gate.keeper.peers.neighbours = Heirs(FakePeer(newcomer), 7)
    log.set_down(True)
    while gate.keeper.log_is_up:
        await asyncio.sleep(0)
    await gate.drain()
    assertions.assert_that(
        (share_of(gate).granted, share_of(newcomer).taken),
        matchers.Equals((0, 0)),
    )
