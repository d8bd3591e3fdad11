"""Exchanges spend shares with other hosts while the log is unavailable."""

from __future__ import annotations

import asyncio
import functools
from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core.limits import handoffs
from hoistmoor.core.limits import ledger as ledger_lib
from hoistmoor.core.limits import records
from hoistmoor.core.limits import transfers
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

PEER_TIMEOUT_SECONDS = 0.25
MAX_PEERS_ASKED = 3  # Per attempt to reserve a cost.
MAX_HANDOFF_PEERS = 3  # They get equal parts of the shares of a stopping host.
# Pause after peers provided too little; it doubles with each failure.
BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 30.0

# Results that neither the log nor a peer can change.
FINAL_RESULTS = (
    ledger_lib.ReserveResult.RESERVED,
    ledger_lib.ReserveResult.EXHAUSTED,
)

_LOG = logs.PartLogger("limits")


class ShareClient(Protocol):
    """Client for calls to another entry host."""

    async def shares(self, message: bytes) -> bytes:
        """Sends an encoded message and returns the encoded reply."""


@attrs.frozen
class SharePeer:
    """A live host to exchange shares with.

    Attributes:
        name: Name of the host.
        peer: Client for calls to it.
        incarnation: Incarnation of the process believed to run there.
    """

    name: str
    peer: ShareClient
    incarnation: int = 0


class ShareDirectory(Protocol):
    """Directory of the other hosts."""

    def share_peers(self) -> Sequence[SharePeer]:
        """Returns other live hosts in random order."""


class EmptyShareDirectory:
    """Directory of a host without peers."""

    def share_peers(self) -> Sequence[SharePeer]:
        """Returns no hosts."""
        return ()


@attrs.define
class _RequestState:
    """Requests to peers for one account and class of requests.

    Attributes:
        lock: Held while peers are asked, so that only one request asks.
        failures: Consecutive attempts in which peers provided too little.
        retry_at: Earliest time of the next attempt.
        waiting_cost: Total cost of the waiting requests, in micros.
    """

    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    failures: int = 0
    retry_at: float = 0.0
    waiting_cost: int = 0


class ShareExchange:
    """Requests shares from peers and serves their requests.

    Attributes:
        ledger: Spend shares of this host.
        directory: Directory of the other hosts.
    """

    def __init__(
        self,
        ledger: ledger_lib.ShareLedger,
        directory: ShareDirectory,
        clock: Callable[[], float],
    ) -> None:
        self.ledger = ledger
        self.directory = directory
        self._clock = clock
        self._request_states: dict[tuple[str, bool], _RequestState] = {}

    async def reserve(
        self, account: str, cost: int, day: int, urgent: bool
    ) -> ledger_lib.ReserveResult:
        """Reserves a cost; requests shares from peers if necessary.

        Args:
            account: Client account.
            cost: Cost to reserve, in micros.
            day: UTC day on which the request arrived.
            urgent: Whether the request is urgent.
        """
        state = self._request_states.setdefault(
            (account, urgent), _RequestState()
        )
        state.waiting_cost += cost
        try:
            async with state.lock:
                return await self._reserve(state, account, cost, day, urgent)
        finally:
            state.waiting_cost -= cost

    async def handle_message(self, message: bytes) -> bytes:
        """Handles a peer's message and returns the encoded reply.

        Raises:
            CodecError: The message type is unknown to this release.
        """
        return codec.encode(self._handle(codec.decode(message)))

    async def hand_off_shares(self) -> None:
        """Hands the shares of this host over to other hosts permanently.

        No part is sent twice: if its receipt is lost, the recipient may have
        counted it already.
        """
        recipients = self.directory.share_peers()[:MAX_HANDOFF_PEERS]
        today = records.day_of(self._clock())
        sent = [
            self._hand_off(
                recipient,
                self.ledger.handoffs.prepare(
                    recipient.incarnation, today, len(recipients) - number
                ),
            )
            for number, recipient in enumerate(recipients)
        ]
        await asyncio.gather(*sent)

    async def _hand_off(
        self, recipient: SharePeer, handoff: handoffs.Handoff
    ) -> None:
        if not handoff.items:
            return
        try:
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                receipt = await recipient.peer.shares(codec.encode(handoff))
            if codec.decode(receipt) == handoffs.HandoffReceipt(counted=True):
                return
        except (TimeoutError, errors.HoistmoorError) as error:
            _LOG.warning("Host %s did not respond: %r", recipient.name, error)
        _LOG.warning(
            "Part of this host's shares, sent to host %s, may be unusable"
            " until the UTC day ends",
            recipient.name,
        )

    @functools.singledispatchmethod
    def _handle(self, message: object) -> object:
        raise errors.CodecError(
            f"unexpected message type {type(message).__name__}",
            "Check that both hosts run the same release.",
        )

    @_handle.register
    def _handle_request(self, request: transfers.TransferRequest) -> object:
        return self.ledger.grant_transfer(request, self._clock())

    @_handle.register
    def _handle_handoff(self, handoff: handoffs.Handoff) -> object:
        return self.ledger.handoffs.receive(handoff)

    async def _reserve(
        self,
        state: _RequestState,
        account: str,
        cost: int,
        day: int,
        urgent: bool,
    ) -> ledger_lib.ReserveResult:
        verdict = self._reserve_locally(account, cost, day, urgent)
        if verdict in FINAL_RESULTS or self._clock() < state.retry_at:
            return verdict
        for giver in self.directory.share_peers()[:MAX_PEERS_ASKED]:
            request = self.ledger.request_transfer(
                giver.name, account, state.waiting_cost, day, urgent
            )
            await self._request_from(giver, request)
            verdict = self._reserve_locally(account, cost, day, urgent)
            if verdict in FINAL_RESULTS:
                break
        self._update_backoff(state, verdict)
        return verdict

    def _reserve_locally(
        self, account: str, cost: int, day: int, urgent: bool
    ) -> ledger_lib.ReserveResult:
        return self.ledger.reserve(account, cost, day, self._clock(), urgent)

    async def _request_from(
        self, giver: SharePeer, request: transfers.TransferRequest
    ) -> None:
        """Requests a share from one peer; without a reply it stays pending."""
        try:
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                message = await giver.peer.shares(codec.encode(request))
            reply = codec.decode(message)
        except TimeoutError:
            return
        except errors.HoistmoorError as error:
            _LOG.info("Host %s provided no share: %s", giver.name, error)
            return
        if isinstance(reply, transfers.TransferAnswer):
            self.ledger.transfers.accept(reply)

    def _update_backoff(
        self, state: _RequestState, verdict: ledger_lib.ReserveResult
    ) -> None:
        if verdict is ledger_lib.ReserveResult.RESERVED:
            state.failures = 0
            return
        pause = BACKOFF_SECONDS * 2.0 ** min(state.failures, 10)
        state.failures += 1
        state.retry_at = self._clock() + min(pause, MAX_BACKOFF_SECONDS)
