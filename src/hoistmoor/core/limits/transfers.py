"""Transfer of spend shares between hosts without the log.

The donor permanently deducts the amount from its own share before it answers.
The recipient credits an answer once, and only for an open request of its own
incarnation. A lost answer therefore loses its amount until the end of the day,
and no amount is ever counted twice.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import codec
from hoistmoor.core.limits import wallet as local_shares_lib

if TYPE_CHECKING:
    from hoistmoor.core import identity

MAX_KEPT_ANSWERS = 32  # Per recipient; requests older than these get nothing.
# A donor keeps its share divided by this for its own urgent requests.
_URGENT_RESERVE_DIVISOR = 4


@attrs.frozen
class TransferAsk:
    """Request for a part of a peer's share.

    Attributes:
        host: Name of the requesting host.
        incarnation: Incarnation number of the requesting host.
        serial: Sequence number among the incarnation's requests, from 1. A
            retry keeps it.
        account: Client account.
        day: UTC day of the share.
        amount: Maximum amount wanted, in micros.
        urgent: Whether the amount is for an urgent request.
    """

    host: str
    incarnation: int
    serial: int
    account: str
    day: int
    amount: int
    urgent: bool


@attrs.frozen
class TransferAnswer:
    """Answer of a peer to a transfer request.

    Attributes:
        host: Name of the requesting host.
        incarnation: Incarnation number of the requesting host.
        serial: Sequence number of the request.
        amount: Amount in micros, already deducted from the donor's share.
    """

    host: str
    incarnation: int
    serial: int
    amount: int


codec.register("transfer_ask", TransferAsk)
codec.register("transfer_answer", TransferAnswer)


@attrs.define
class _Recipient:
    """A peer's incarnation and the recent answers to it, by serial."""

    incarnation: int
    answers: collections.OrderedDict[int, TransferAnswer] = attrs.field(
        factory=collections.OrderedDict
    )

    def is_new(self, serial: int) -> bool:
        """Returns whether ``serial`` was certainly never answered."""
        full = len(self.answers) >= MAX_KEPT_ANSWERS
        return not full or serial > min(self.answers)

    def store(self, answer: TransferAnswer) -> None:
        """Stores an answer and evicts the oldest one above the limit."""
        self.answers[answer.serial] = answer
        if len(self.answers) > MAX_KEPT_ANSWERS:
            del self.answers[min(self.answers)]


class Transfers:
    """Requests and grants transfers for one incarnation of one host.

    Attributes:
        incarnation: Incarnation of this process.
        local_shares: Shares that this process holds.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        local_shares: local_shares_lib.Wallet,
    ) -> None:
        self.incarnation = incarnation
        self.wallet = local_shares
        self._serial = 0
        self._open: dict[tuple[str, str], TransferAsk] = {}
        self._recipients: dict[str, _Recipient] = {}

    def ask(
        self, donor: str, account: str, day: int, amount: int, urgent: bool
    ) -> TransferAsk:
        """Returns the request to send to a peer.

        An earlier unanswered request to the peer is repeated unchanged,
        because the peer may already have deducted the amount.

        Args:
            donor: Name of the peer.
            account: Client account.
            day: UTC day.
            amount: Maximum amount wanted, in micros.
            urgent: Whether the amount is for an urgent request.
        """
        pending = self._open.get((donor, account))
        if pending and pending.day == day:
            return pending
        self._serial += 1
        own = self.incarnation
        request = TransferAsk(
            own.host, own.number, self._serial, account, day, amount, urgent
        )
        self._open[donor, account] = request
        return request

    def take(self, answer: TransferAnswer) -> int:
        """Credits an answer at most once, and returns its micros."""
        request = self._pop_open(answer)
        if request is None:
            return 0
        amount = max(0, min(answer.amount, request.amount))
        share = self.wallet.share(request.account, request.day)
        share.granted += amount
        share.taken += amount
        return amount

    def give(
        self, request: TransferAsk, terms: local_shares_lib.Terms, now: float
    ) -> TransferAnswer:
        """Deducts what a peer gets from this host's share, and answers it."""
        recipient = self._recipients.get(request.host)
        if recipient is None or recipient.incarnation < request.incarnation:
            recipient = self._recipients[request.host] = _Recipient(
                request.incarnation
            )
        if recipient.incarnation > request.incarnation:
            return _make_answer(request, 0)  # From a replaced process.
        if request.serial in recipient.answers:
            return recipient.answers[request.serial]
        if not recipient.is_new(request.serial):
            return _make_answer(request, 0)
        answer = _make_answer(request, self._deduct(request, terms, now))
        recipient.store(answer)
        return answer

    def _deduct(
        self, request: TransferAsk, terms: local_shares_lib.Terms, now: float
    ) -> int:
        share = self.wallet.shares.get((request.account, request.day))
        if share is None or request.host == self.incarnation.host:
            return 0
        amount = max(
            0,
            min(request.amount, _peer_offer(share, terms, now, request.urgent)),
        )
        share.granted -= amount
        share.given += amount
        return amount

    def _pop_open(self, answer: TransferAnswer) -> TransferAsk | None:
        """Removes and returns the open request that ``answer`` is for."""
        for key, request in self._open.items():
            if self._answers(answer, request):
                return self._open.pop(key)
        return None

    def _answers(self, answer: TransferAnswer, request: TransferAsk) -> bool:
        owner = answer.host, answer.incarnation, answer.serial
        return owner == (request.host, request.incarnation, request.serial)


def _make_answer(request: TransferAsk, amount: int) -> TransferAnswer:
    return TransferAnswer(
        request.host, request.incarnation, request.serial, amount
    )


def _peer_offer(
    share: local_shares_lib.Share,
    terms: local_shares_lib.Terms,
    now: float,
    urgent: bool,
) -> int:
    """Returns the micros that may be transferred to a peer.

    An urgent request gets half of the transferable amount. Others get half of
    the transferable amount above a reserve: two minutes of this host's own
    demand or the part kept for its urgent requests, whichever is larger.
    """
    left = transferable(share, terms)
    if urgent:
        return left // 2
    share.decay(now)
    own_demand = int(share.demand * local_shares_lib.LOW_SECONDS)
    return (
        left - max(own_demand, share.granted // _URGENT_RESERVE_DIVISOR)
    ) // 2


def transferable(
    share: local_shares_lib.Share, terms: local_shares_lib.Terms
) -> int:
    """Returns the granted micros that are not needed to cover local use.

    After the limit is lowered below the total granted, a granted micro covers
    less than one micro of use. More of them must stay to cover what is spent
    and reserved.
    """
    used = share.reserved + share.spent
    if terms.granted <= terms.limit:
        return max(0, share.granted - used)
    if terms.limit <= 0:
        return 0
    covering = -(-used * terms.granted // terms.limit)
    return max(0, share.granted - covering)
