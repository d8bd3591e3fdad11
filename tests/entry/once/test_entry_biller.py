# ruff: noqa: D102
"""Tests of the biller, with three hosts that share an in-memory log."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs
import pytest
import pytest_asyncio
from testtools import assertions
from testtools import matchers

from hoistmoor.console.commands import bill as bill_command
from hoistmoor.core import errors
from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import streams
from hoistmoor.core.billing import bills
from hoistmoor.core.billing import held as held_lib
from hoistmoor.core.once import permits
from hoistmoor.entry import bill_holders
from hoistmoor.entry import biller as biller_lib
from hoistmoor.entry import once as once_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    import once_fake_log

# Long enough for a busy machine, so that only a hang reaches it.
TIMEOUT_SECONDS = 20.0


@attrs.define(eq=False)
class Peers:
    """What one host knows about the others; all hosts share ``dead``."""

    own_index: int
    billers: list[biller_lib.Biller]
    dead: set[int]

    def host_count(self) -> int:
        return len(self.billers)

    def holders(self) -> Sequence[bill_holders.Holder]:
        return tuple(
            bill_holders.Holder(incarnation(index), DirectClient(self, index))
            for index in range(len(self.billers))
            if index not in {self.own_index, *self.dead}
        )

    def is_alive(self, who: identity.Incarnation) -> bool:
        return who not in {incarnation(index) for index in self.dead}


@attrs.frozen
class DirectClient:
    """A peer client that calls another host's biller directly."""

    peers: Peers
    index: int

    def _peer(self) -> biller_lib.Biller:
        if self.index in self.peers.dead:
            raise errors.PlatformError("the peer has ended", "Try another.")
        return self.peers.billers[self.index]

    async def hold_bills(self, batch_id: str, batch: bytes) -> None:
        await self._peer().hold_bills(batch_id, batch)

    async def release_bills(self, batch_ids: tuple[str, ...]) -> None:
        await self._peer().release_bills(batch_ids)


def incarnation(index: int) -> identity.Incarnation:
    return identity.Incarnation(f"e{index}", 7)


@pytest_asyncio.fixture
async def billers(
    log: once_fake_log.FakeLog, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[list[biller_lib.Biller]]:
    monkeypatch.setattr(biller_lib, "_RETRY_SECONDS", 0.01)
    monkeypatch.setattr(biller_lib, "_CHECK_SECONDS", 0.01)
    made: list[biller_lib.Biller] = []
    dead: set[int] = set()
    for index in range(3):
        peers = Peers(index, made, dead)
        made.append(biller_lib.Biller(log, incarnation(index), peers))
    for each in made:
        each.start()
    yield made
    for each in made:
        await each.stop()


def bill(serial: int) -> bills.Bill:
    return bills.Bill("acme", f"e0.7.{serial:x}", "m@1", 1, 1, 5, 1, 0.0, 1)


async def kill(billers: list[biller_lib.Biller], index: int) -> None:
    await billers[index].stop()
    billers[index]._peers.dead.add(index)  # type: ignore[attr-defined]


async def count_on_log(
    log: once_fake_log.FakeLog, wanted: int
) -> tuple[int, int]:
    """Waits for this many bills; returns the numbers of bills and repeats."""
    async with asyncio.timeout(20):
        while True:
            statement = await bill_command.read_statement(log)
            line = statement.lines.get("acme", {}).get("m@1")
            if line is not None and line.count >= wanted:
                return line.count, statement.repeats
            await asyncio.sleep(0.01)


async def test_many_bills_share_appends(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    await asyncio.gather(*(billers[0].secure(bill(n)) for n in range(1, 101)))
    await billers[0].drain()
    counted = await count_on_log(log, 100)
    assertions.assert_that(counted, matchers.Equals((100, 0)))
    assertions.assert_that(
        len(log.records[streams.BILLS]), matchers.LessThan(5)
    )
    held = [each.held_for_peers.held.count for each in billers]
    assertions.assert_that(held, matchers.Equals([0, 0, 0]))


async def test_holder_appends_for_a_dead_owner_after_an_outage(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    log.down = True
    await asyncio.gather(*(billers[0].secure(bill(n)) for n in range(1, 11)))
    await kill(billers, 0)
    log.down = False
    counted = await count_on_log(log, 10)
    assertions.assert_that(counted[0], matchers.Equals(10))


async def test_bills_are_held_again_when_their_holder_dies(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    log.down = True
    await billers[0].secure(bill(1))
    await kill(billers, 1)
    async with asyncio.timeout(20):
        while not billers[2].held_for_peers.held.count:
            await asyncio.sleep(0.01)
    await kill(billers, 0)
    log.down = False
    await count_on_log(log, 1)


async def test_lost_reply_is_billed_once(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    log.lose_replies = 2
    await billers[0].secure(bill(1))
    async with asyncio.timeout(20):
        while billers[0].pending_bills:
            await asyncio.sleep(0.01)
    counted = await count_on_log(log, 1)
    assertions.assert_that(counted, matchers.Equals((1, 2)))


async def test_nobody_to_secure_a_bill(
    billers: list[biller_lib.Biller],
    log: once_fake_log.FakeLog,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(biller_lib, "SECURE_TIMEOUT_SECONDS", 0.05)
    await kill(billers, 1)
    await kill(billers, 2)
    log.down = True
    with pytest.raises(biller_lib.BillUnsecuredError):
        await billers[0].secure(bill(1))
    # On a busy machine the timeout may expire before the first append.
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while billers[0].can_secure():
            await asyncio.sleep(0.005)
    log.down = False
    await count_on_log(log, 1)  # The bill was kept and retried.
    assertions.assert_that(billers[0].can_secure(), matchers.Equals(True))


async def test_graceful_stop_while_the_log_is_down(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    log.down = True
    await billers[0].secure(bill(1))
    left = await billers[0].drain(20.0)
    assertions.assert_that(left, matchers.Equals(0))
    await kill(billers, 0)
    log.down = False
    await count_on_log(log, 1)


async def test_owner_and_holder_stop_one_after_the_other(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    log.down = True
    await billers[0].secure(bill(1))
    await billers[0].drain(20.0)
    await billers[0].stop()  # The holder does not know yet that it ended.
    await billers[1].drain(20.0)
    await kill(billers, 1)
    await kill(billers, 0)
    log.down = False
    await count_on_log(log, 1)


async def test_a_full_holder_is_skipped(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    log.down = True
    billers[1].held_for_peers.held = held_lib.HeldBatches(capacity=0)
    await billers[0].secure(bill(1))
    assertions.assert_that(
        billers[2].held_for_peers.held.count, matchers.Equals(1)
    )


async def test_no_bill_can_be_secured_at_capacity(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    log.down = True
    billers[0].pending_bills.capacity = 1
    assertions.assert_that(billers[0].can_secure(), matchers.Equals(True))
    await billers[0].secure(bill(1))
    assertions.assert_that(billers[0].can_secure(), matchers.Equals(False))


async def test_a_peer_appends_ends_of_claims_after_a_stop(
    billers: list[biller_lib.Biller], log: once_fake_log.FakeLog
) -> None:
    owner, other = (
        once_lib.AtMostOnceGuard(
            log, incarnation(n), f"a{n}:1", [b"s"], lambda _: True
        )
        for n in (0, 1)
    )
    for once in (owner, other):
        once.start()
    deadline = time.time() + 20
    permit = await owner.begin("acme", "k", "f", "r1", deadline)
    assert isinstance(permit, permits.Permit)
    log.down = True
    answer = permits.StoredAnswer(200, "text/plain", b"done", "r1")
    await owner.finish(permit, outcomes.Outcome.DONE, answer)
    left = await owner.drain(20.0, billers[0].hand_over)
    assertions.assert_that(left, matchers.Equals(0))
    await owner.stop()
    await kill(billers, 0)
    log.down = False
    async with asyncio.timeout(20):
        while await other.begin("acme", "k", "f", "r2", deadline) != answer:
            await asyncio.sleep(0.01)
    await other.stop()
