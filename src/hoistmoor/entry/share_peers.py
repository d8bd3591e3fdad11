"""Takes parts of spend shares from other hosts while the log gives none."""

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

PEER_TIMEOUT = 0.25  # Seconds for one peer's answer.
MOST_ASKED = 3  # Peers asked for one request.
HEIRS = 3  # Hosts that get an even part of what a host leaves.
# After a round that brought too little, none for so long, doubling up to
QUIET_SECONDS = 2.0  # this
MOST_QUIET_SECONDS = 30.0  # much.

# Neither the log nor a peer could change these.
DECIDED = (
    ledger_lib.ReserveResult.RESERVED,
    ledger_lib.ReserveResult.EXHAUSTED,
)

_log = logs.PartLogger("limits")


class Peer(Protocol):
    """Another entry host."""

    async def shares(self, message: bytes) -> bytes:
        """Sends an encoded ask and returns the encoded answer."""


@attrs.frozen
class Giver:
    """A live host that may have something to give.

    Attributes:
        name: Name of the host.
        peer: How to call it.
        incarnation: Number of the process that is thought to run there.
    """

    name: str
    peer: Peer
    incarnation: int = 0


class Neighbours(Protocol):
    """Knows the other hosts."""

    def givers(self) -> Sequence[Giver]:
        """Returns the other live hosts in a random order."""


class NoNeighbours:
    """A host on its own."""

    def givers(self) -> Sequence[Giver]:
        """Returns nobody."""
        return ()


@attrs.define
class _Round:
    """Asks for one account and class of requests, one at a time.

    Attributes:
        lock: Held while peers are asked.
        failures: Rounds in a row that brought too little.
        quiet_until: No round before this time.
        waiting: Micros that all waiting requests need.
    """

    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    failures: int = 0
    quiet_until: float = 0.0
    waiting: int = 0


class SharePeers:
    """Asks peers for shares, and answers those that ask.

    Attributes:
        book: This host's shares.
        neighbours: The other hosts.
    """

    def __init__(
        self,
        book: ledger_lib.ShareLedger,
        neighbours: Neighbours,
        clock: Callable[[], float],
    ) -> None:
        self.book = book
        self.neighbours = neighbours
        self._clock = clock
        self._rounds: dict[tuple[str, bool], _Round] = {}

    async def reserve(
        self, account: str, cost: int, day: int, urgent: bool
    ) -> ledger_lib.ReserveResult:
        """Sets a cost aside, with the help of peers if it must.

        Args:
            account: Client account.
            cost: Micros.
            day: UTC day that the request came on.
            urgent: Whether it is urgent.
        """
        known = self._rounds.setdefault((account, urgent), _Round())
        known.waiting += cost
        try:
            async with known.lock:
                return await self._reserve(known, account, cost, day, urgent)
        finally:
            known.waiting -= cost

    async def answer(self, message: bytes) -> bytes:
        """Answers a peer's ask.

        Raises:
            CodecError: The message is none that this release knows.
        """
        return codec.encode(self._answer(codec.decode(message)))

    async def leave_shares(self) -> None:
        """Leaves what this host holds to others, for good.

        No part is sent twice: one whose receipt is lost may be counted.
        """
        heirs = self.neighbours.givers()[:HEIRS]
        today = records.day_of(self._clock())
        sent = [
            self._leave(
                heir,
                self.book.handoffs.prepare(
                    heir.incarnation, today, len(heirs) - number
                ),
            )
            for number, heir in enumerate(heirs)
        ]
        await asyncio.gather(*sent)

    async def _leave(self, heir: Giver, gift: handoffs.Handoff) -> None:
        if not gift.items:
            return
        try:
            async with asyncio.timeout(PEER_TIMEOUT):
                receipt = await heir.peer.shares(codec.encode(gift))
            if codec.decode(receipt) == handoffs.HandoffReceipt(counted=True):
                return
        except (TimeoutError, errors.HoistmoorError) as error:
            _log.warning("Host %s did not answer: %r", heir.name, error)
        _log.warning(
            "A part of this host's shares, sent to host %s, may be lost"
            " until the UTC day ends",
            heir.name,
        )

    @functools.singledispatchmethod
    def _answer(self, message: object) -> object:
        raise errors.CodecError(
            f"{type(message).__name__} is no message on shares",
            "Check that both hosts run the same release.",
        )

    @_answer.register
    def _answer_ask(self, ask: transfers.TransferRequest) -> object:
        return self.book.grant_transfer(ask, self._clock())

    @_answer.register
    def _answer_gift(self, gift: handoffs.Handoff) -> object:
        return self.book.handoffs.receive(gift)

    async def _reserve(
        self, known: _Round, account: str, cost: int, day: int, urgent: bool
    ) -> ledger_lib.ReserveResult:
        verdict = self._try(account, cost, day, urgent)
        if verdict in DECIDED or self._clock() < known.quiet_until:
            return verdict
        for giver in self.neighbours.givers()[:MOST_ASKED]:
            ask = self.book.request_transfer(
                giver.name, account, known.waiting, day, urgent
            )
            await self._ask(giver, ask)
            verdict = self._try(account, cost, day, urgent)
            if verdict in DECIDED:
                break
        self._note(known, verdict)
        return verdict

    def _try(
        self, account: str, cost: int, day: int, urgent: bool
    ) -> ledger_lib.ReserveResult:
        return self.book.reserve(account, cost, day, self._clock(), urgent)

    async def _ask(self, giver: Giver, ask: transfers.TransferRequest) -> None:
        """Asks one peer; the ask stays open if no answer comes."""
        try:
            async with asyncio.timeout(PEER_TIMEOUT):
                message = await giver.peer.shares(codec.encode(ask))
            answer = codec.decode(message)
        except TimeoutError:
            return
        except errors.HoistmoorError as error:
            _log.info("Host %s gave no share: %s", giver.name, error)
            return
        if isinstance(answer, transfers.TransferAnswer):
            self.book.transfers.accept(answer)

    def _note(self, known: _Round, verdict: ledger_lib.ReserveResult) -> None:
        if verdict is ledger_lib.ReserveResult.RESERVED:
            known.failures = 0
            return
        pause = QUIET_SECONDS * 2.0 ** min(known.failures, 10)
        known.failures += 1
        known.quiet_until = self._clock() + min(pause, MOST_QUIET_SECONDS)
