"""Exchange of spend shares between hosts."""

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
from hoistmoor.entry import admission_control
from hoistmoor.entry import share_exchange
from hoistmoor.peers import errors as peer_errors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

URGENT = model.Priority.URGENT
DEFERRABLE = model.Priority.DEFERRABLE


@attrs.define
class FakePeer:
    """Passes messages to a controller and loses some of the replies."""

    controller: admission_control.AdmissionController
    lost_replies: int = 0
    calls: int = 0

    async def shares(self, message: bytes) -> bytes:
        """Returns the reply of the controller, unless it is to be lost."""
        self.calls += 1
        await asyncio.sleep(0)
        reply = await self.controller.handle_share_message(message)
        if self.lost_replies:
            self.lost_replies -= 1
            raise peer_errors.PeerTimeoutError("no reply", "Try another.")
        return reply

    def share_peers(self) -> Sequence[share_exchange.SharePeer]:
        """Returns this peer."""
        return (share_exchange.SharePeer("h1", self),)


@attrs.frozen
class SinglePeer:
    """Directory with one peer and the incarnation believed to run there."""

    peer: FakePeer
    incarnation: int

    def share_peers(self) -> Sequence[share_exchange.SharePeer]:
        """Returns the peer."""
        return (share_exchange.SharePeer("h2", self.peer, self.incarnation),)


@pytest.fixture
def peer(controller: admission_control.AdmissionController) -> FakePeer:
    return FakePeer(controller)


@pytest.fixture
async def late_controller(
    peer: FakePeer,
) -> AsyncIterator[admission_control.AdmissionController]:
    """Returns a controller that is started while the log is down."""
    log = limits_log.FakeLog(limits_rows.clock)
    log.set_down(True)
    controller = admission_control.AdmissionController(
        log, identity.Incarnation("h2", 1), limits_rows.clock, peer
    )
    controller.on_table(limits_rows.table_of())
    controller.start()
    yield controller
    await controller.stop()


async def admit(
    controller: admission_control.AdmissionController,
    cost: int,
    priority: model.Priority = URGENT,
) -> admission_control.AdmittedRequest | refusals.Refusal:
    deadline = limits_rows.clock() + 30.0
    return await controller.admit(
        limits_rows.ACCOUNT, priority, deadline, cost, "llm"
    )


def share_of(
    controller: admission_control.AdmissionController,
) -> local_shares.Share:
    day = records.day_of(limits_rows.clock())
    return controller.share_sync.ledger.local_shares.share(
        limits_rows.ACCOUNT, day
    )


def assert_refused(found: object) -> None:
    assertions.assert_that(found, matchers.IsInstance(refusals.Refusal))
    assertions.assert_that(
        found.reason, matchers.Equals(refusals.Reason.SPEND_LIMITED)
    )


async def test_host_started_during_an_outage_uses_a_share_of_a_peer(
    controller: admission_control.AdmissionController,
    late_controller: admission_control.AdmissionController,
) -> None:
    held = share_of(controller).granted
    found = await admit(late_controller, 2_000)
    assertions.assert_that(
        found, matchers.IsInstance(admission_control.AdmittedRequest)
    )
    given = share_of(controller).given
    assertions.assert_that(
        (share_of(late_controller).taken, share_of(controller).granted),
        matchers.Equals((given, held - given)),
    )


async def test_concurrent_requests_share_calls_to_peers(
    late_controller: admission_control.AdmissionController, peer: FakePeer
) -> None:
    while late_controller.share_sync.log_is_up:
        await asyncio.sleep(0)
    day = records.day_of(limits_rows.clock())
    deadline = limits_rows.clock() + 30.0
    found = await asyncio.gather(
        *(
            late_controller.share_sync.reserve(
                limits_rows.ACCOUNT, 100, day, deadline
            )
            for _ in range(20)
        )
    )
    assertions.assert_that(
        set(found), matchers.Equals({ledger.ReserveResult.RESERVED})
    )
    # One for the first request, one for all that arrived in the meantime.
    assertions.assert_that(peer.calls, matchers.Equals(2))


async def test_lost_reply_is_requested_again_and_counted_once(
    controller: admission_control.AdmissionController,
    late_controller: admission_control.AdmissionController,
    peer: FakePeer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    peer.lost_replies = 1
    assert_refused(await admit(late_controller, 2_000))
    given = share_of(controller).given
    clock_offset = (
        limits_rows.CLOCK_OFFSET[0] + share_exchange.MAX_BACKOFF_SECONDS
    )
    monkeypatch.setattr(limits_rows, "CLOCK_OFFSET", [clock_offset])
    found = await admit(late_controller, 2_000)
    assertions.assert_that(
        found, matchers.IsInstance(admission_control.AdmittedRequest)
    )
    assertions.assert_that(
        (
            share_of(late_controller).taken,
            share_of(controller).given,
            peer.calls,
        ),
        matchers.Equals((given, given, 2)),
    )


async def test_only_urgent_requests_get_the_rest_of_a_peers_share(
    controller: admission_control.AdmissionController,
    late_controller: admission_control.AdmissionController,
) -> None:
    share = share_of(controller)
    remainder = share.granted // 5
    controller.share_sync.ledger.local_shares.settle(
        limits_rows.ACCOUNT,
        records.day_of(limits_rows.clock()),
        0,
        share.left - remainder,
    )
    assert_refused(await admit(late_controller, remainder // 4, DEFERRABLE))
    found = await admit(late_controller, remainder // 4)
    assertions.assert_that(
        found, matchers.IsInstance(admission_control.AdmittedRequest)
    )


async def test_only_urgent_requests_get_the_rest_of_the_own_share(
    controller: admission_control.AdmissionController, log: limits_log.FakeLog
) -> None:
    log.set_down(True)
    while controller.share_sync.log_is_up:
        await asyncio.sleep(0)
    most = share_of(controller).granted
    assert_refused(await admit(controller, int(most * 0.8), DEFERRABLE))
    found = await admit(controller, int(most * 0.8))
    assertions.assert_that(
        found, matchers.IsInstance(admission_control.AdmittedRequest)
    )


async def test_peers_that_provide_too_little_are_not_asked_each_time(
    controller: admission_control.AdmissionController,
    late_controller: admission_control.AdmissionController,
    peer: FakePeer,
) -> None:
    assert_refused(await admit(late_controller, 900_000))
    calls = peer.calls
    for _ in range(10):
        assert_refused(await admit(late_controller, 900_000))
    assertions.assert_that((calls, peer.calls), matchers.Equals((1, 1)))


async def test_unknown_message_raises_codec_error(
    controller: admission_control.AdmissionController,
) -> None:
    with pytest.raises(errors.CodecError):
        await controller.handle_share_message(b"{}")


async def test_unresponsive_peer_does_not_block_other_peers(
    late_controller: admission_control.AdmissionController, peer: FakePeer
) -> None:
    class UnresponsivePeer:
        async def shares(self, message: bytes) -> bytes:
            await asyncio.Event().wait()
            return message

    class DirectoryWithDeadPeer:
        def share_peers(self) -> Sequence[share_exchange.SharePeer]:
            return (
                share_exchange.SharePeer("h0", UnresponsivePeer()),
                *peer.share_peers(),
            )

    late_controller.share_sync.exchange.directory = DirectoryWithDeadPeer()
    found = await admit(late_controller, 2_000)
    assertions.assert_that(
        found, matchers.IsInstance(admission_control.AdmittedRequest)
    )


async def test_pending_requests_for_two_accounts_are_both_repeated(
    controller: admission_control.AdmissionController,
    late_controller: admission_control.AdmissionController,
) -> None:
    giver, requester = (
        controller.share_sync.ledger,
        late_controller.share_sync.ledger,
    )
    day = records.day_of(limits_rows.clock())
    first = requester.request_transfer(
        "h1", limits_rows.ACCOUNT, 500, day, urgent=True
    )
    transfer = giver.grant_transfer(first, limits_rows.clock())
    requester.request_transfer("h1", "other", 500, day, urgent=True)
    repeated_request = requester.request_transfer(
        "h1", limits_rows.ACCOUNT, 900, day, urgent=True
    )
    assertions.assert_that(repeated_request, matchers.Equals(first))
    repeated = giver.grant_transfer(repeated_request, limits_rows.clock())
    assertions.assert_that(repeated, matchers.Equals(transfer))
    taken = [requester.transfers.accept(transfer) for _ in range(2)]
    assertions.assert_that(taken, matchers.Equals([transfer.amount, 0]))


async def test_host_stopped_during_an_outage_hands_its_share_to_peers(
    controller: admission_control.AdmissionController,
    late_controller: admission_control.AdmissionController,
    log: limits_log.FakeLog,
) -> None:
    recipient = FakePeer(late_controller)
    controller.share_sync.exchange.directory = SinglePeer(recipient, 1)
    held = share_of(controller).left
    log.set_down(True)
    while controller.share_sync.log_is_up:
        await asyncio.sleep(0)
    await controller.drain()
    assertions.assert_that(
        (share_of(controller).granted, share_of(late_controller).taken),
        matchers.Equals((0, held)),
    )


async def test_share_handed_to_an_ended_process_is_not_counted(
    controller: admission_control.AdmissionController,
    late_controller: admission_control.AdmissionController,
    log: limits_log.FakeLog,
) -> None:
    controller.share_sync.exchange.directory = SinglePeer(
        FakePeer(late_controller), 7
    )
    log.set_down(True)
    while controller.share_sync.log_is_up:
        await asyncio.sleep(0)
    await controller.drain()
    assertions.assert_that(
        (share_of(controller).granted, share_of(late_controller).taken),
        matchers.Equals((0, 0)),
    )
