"""Tests the authentication of calls and replies, over loopback."""

from __future__ import annotations

import logging
from typing import Any, TYPE_CHECKING

import attrs
import grpclib
from grpclib import client as grpc_client
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.security import calls
from hoistmoor.peers import client
from hoistmoor.peers import errors
from hoistmoor.peers import guard
from hoistmoor.peers import handlers
from hoistmoor.peers import peer_pb2
from hoistmoor.peers import raw_codec
from hoistmoor.peers import server
from hoistmoor.peers import signing

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SECRET = "a-secret-of-the-tests"
WRONG_SECRET = "another-secret-altogether"
NEXT_SECRET = "the-next-secret-in-turn"
_PATH = "/hoistmoor.peers.Peer/HoldBills"


@attrs.define
class _Clock:
    now: float = 1_800_000_000.0

    def __call__(self) -> float:
        return self.now


@attrs.define
class _Metrics:
    refused: list[str] = attrs.field(factory=list)

    def peer_refusal(self, why: calls.RejectionReason) -> None:
        self.refused.append(str(why))


class _Callee:
    """A host that holds bills for callers with the shared secret."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.metrics = _Metrics()
        self.held: list[str] = []
        self.connections: list[Any] = []

    async def start(self, *secrets: str, is_guarded: bool = True) -> None:
        await self.close()
        self.server = server.PeerServer(
            handlers.PeerHandlers(hold_bills=self._hold),
            self._guard(secrets) if is_guarded else None,
        )
        await self.server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.port}"
        if is_guarded:
            self.verifier.callee = self.address

    def _guard(self, secrets: tuple[str, ...]) -> guard.CallGuard:
        self.verifier = calls.Verifier("", secrets, self.clock.now - 60)
        metrics: Any = self.metrics
        return guard.CallGuard(self.verifier, self.clock, metrics)

    async def _hold(self, batch_id: str, batch: bytes) -> None:
        self.held.append(batch_id)

    def caller(
        self, *secrets: str, clock: _Clock | None = None
    ) -> client.PeerClient:
        signer = calls.Signer("entry-9", len(self.connections) + 1, secrets)
        caller = client.PeerClient(
            self.address, signing.CallSigning(signer, clock or self.clock)
        )
        self.connections.append(caller)
        return caller

    async def send_raw(self, header: str | None, body: bytes) -> None:
        """Sends a call with a recorded or forged header."""
        ip, _, port = self.address.partition(":")
        channel = grpc_client.Channel(ip, int(port), codec=raw_codec.RawCodec())
        self.connections.append(channel)
        method = grpc_client.UnaryUnaryMethod(
            channel, _PATH, peer_pb2.HoldBillsRequest, peer_pb2.HoldBillsReply
        )
        metadata = {signing.CALL_HEADER: header} if header else {}
        await method(body, timeout=5.0, metadata=metadata)

    async def close(self) -> None:
        for connection in self.connections:
            connection.close()
        if hasattr(self, "server"):
            await self.server.close()


@pytest.fixture
async def callee() -> AsyncIterator[_Callee]:
    made = _Callee()
    await made.start(SECRET)
    yield made
    await made.close()


async def test_a_host_with_the_secret_is_served(callee: _Callee) -> None:
    await callee.caller(SECRET).hold_bills("1", b"b")
    assertions.assert_that(callee.held, matchers.Equals(["1"]))
    assertions.assert_that(callee.metrics.refused, matchers.Equals([]))


async def test_a_host_with_a_wrong_secret_is_refused_and_logged(
    callee: _Callee, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.WARNING, "absl")
    caller = callee.caller(WRONG_SECRET)
    for _ in range(5):
        with pytest.raises(errors.PeerAuthenticationError) as caught:
            await caller.hold_bills("1", b"b")
    assertions.assert_that(callee.held, matchers.Equals([]))
    assertions.assert_that(
        callee.metrics.refused, matchers.Equals(["wrong_signature"] * 5)
    )
    # The callee and the caller each log only the first refusal.
    for word in ("Refused", "Authentication between"):
        lines = [line for line in caplog.messages if word in line]
        assertions.assert_that(lines, matchers.HasLength(1))
    for text in (*caplog.messages, str(caught.value)):
        assert WRONG_SECRET not in text
        assert SECRET not in text


async def test_both_secrets_are_accepted_during_a_rotation(
    callee: _Callee,
) -> None:
    await callee.start(NEXT_SECRET, SECRET)
    await callee.caller(SECRET, NEXT_SECRET).hold_bills("1", b"b")
    await callee.caller(NEXT_SECRET).hold_bills("2", b"b")
    assertions.assert_that(callee.held, matchers.Equals(["1", "2"]))


async def test_replayed_and_forged_calls_are_refused(callee: _Callee) -> None:
    signer = calls.Signer("entry-9", 1, (SECRET,))
    body = peer_pb2.HoldBillsRequest(batch_id="1").SerializeToString()
    other = peer_pb2.HoldBillsRequest(batch_id="2").SerializeToString()

    def sign() -> str:
        now = callee.clock()
        return signer.sign(_PATH, callee.address, body, now).header

    header = sign()
    await callee.send_raw(header, body)
    elsewhere = signer.sign(_PATH, "10.9.9.9:1", body, callee.clock()).header
    for recorded, sent in (
        (header, body),
        (sign(), other),
        (elsewhere, body),
        (None, body),
        ("nonsense", body),
    ):
        with pytest.raises(grpclib.GRPCError):
            await callee.send_raw(recorded, sent)
    old = sign()
    callee.clock.now += 60
    with pytest.raises(grpclib.GRPCError):
        await callee.send_raw(old, body)
    assertions.assert_that(callee.held, matchers.Equals(["1"]))
    assertions.assert_that(
        callee.metrics.refused,
        matchers.Equals(
            [
                "replayed",
                "altered",
                "misdirected",
                "unsigned",
                "malformed",
                "skewed",
            ]
        ),
    )


@pytest.mark.parametrize(
    ("ahead", "refused"), [(9.0, 0), (-9.0, 0), (3600.0, 1), (-3600.0, 1)]
)
async def test_clock_skew_costs_at_most_one_refused_call(
    callee: _Callee, ahead: float, refused: int
) -> None:
    clock = _Clock(callee.clock.now + ahead)
    caller = callee.caller(SECRET, clock=clock)
    for number in range(3):
        await caller.hold_bills(str(number), b"b")
    assertions.assert_that(callee.held, matchers.Equals(["0", "1", "2"]))
    assertions.assert_that(
        callee.metrics.refused, matchers.Equals(["skewed"] * refused)
    )


async def test_a_host_is_served_after_its_clock_stopped(
    callee: _Callee,
) -> None:
    clock = _Clock(callee.clock.now)
    caller = callee.caller(SECRET, clock=clock)
    await caller.hold_bills("1", b"b")
    # The caller's clock stops, as on a suspended machine.
    callee.clock.now += 900
    await caller.hold_bills("2", b"b")
    clock.now += 900  # The caller's clock is corrected.
    await caller.hold_bills("3", b"b")
    assertions.assert_that(callee.held, matchers.Equals(["1", "2", "3"]))


async def test_unsigned_replies_are_rejected(
    callee: _Callee,
) -> None:
    await callee.start(is_guarded=False)
    with pytest.raises(errors.PeerUnverifiedError):
        await callee.caller(SECRET).hold_bills("1", b"b")


async def test_without_a_guard_every_caller_is_served(callee: _Callee) -> None:
    """Shows that the refusals in the tests above come from the guard."""
    await callee.start(is_guarded=False)
    body = peer_pb2.HoldBillsRequest(batch_id="1").SerializeToString()
    await callee.send_raw(None, body)
    assertions.assert_that(callee.held, matchers.Equals(["1"]))
