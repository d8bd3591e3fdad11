"""Handoff of spend shares from a stopping host to its peers.

A host that stops during an outage of the log cannot return its shares there,
so it hands them to its peers. The sender deducts the amounts from its own
shares before it sends them, and never sends them again. The receiver credits a
handoff once, and only if it is addressed to the receiver's own incarnation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import codec

if TYPE_CHECKING:
    from hoistmoor.core import identity
    from hoistmoor.core.limits import wallet as local_shares_lib


@attrs.frozen
class HandoffItem:
    """Amount in micros from one account's share for one UTC day."""

    account: str
    day: int
    amount: int


@attrs.frozen
class Gift:
    """Permanent handoff of share amounts to one process.

    Attributes:
        host: Name of the sending host.
        incarnation: Incarnation number of the sender.
        serial: Sequence number among the sender's handoffs, from 1.
        to: Incarnation number of the receiving process.
        items: Amounts handed over, by account and day.
    """

    host: str
    incarnation: int
    serial: int
    to: int
    items: tuple[HandoffItem, ...]


@attrs.frozen
class Receipt:
    """Reply of the receiver of a handoff.

    Attributes:
        counted: Whether the receiver credited it because of this message.
    """

    counted: bool


codec.register("share_gift", Gift)
codec.register("share_receipt", Receipt)


class Gifts:
    """Sends and receives handoffs for one incarnation of one host.

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
        # Newest incarnation and its newest handoff serial, by sending host.
        self._seen: dict[str, tuple[int, int]] = {}

    def part_with(self, to: int, today: int, peers: int) -> Gift:
        """Deducts one of ``peers`` equal parts of each share, as a handoff.

        Args:
            to: Incarnation number of the receiving process.
            today: Current UTC day; shares of earlier days are skipped.
            peers: Number of processes still to receive a part, including this
                one.
        """
        items = []
        for (account, day), share in sorted(self.wallet.shares.items()):
            amount = share.left // peers
            if day >= today and amount > 0:
                items.append(HandoffItem(account, day, amount))
                share.granted -= amount
                share.given += amount
        self._serial += 1
        own = self.incarnation
        return Gift(own.host, own.number, self._serial, to, tuple(items))

    def receive(self, handoff: Gift) -> Receipt:
        """Credits a handoff, at most once."""
        sequence = handoff.incarnation, handoff.serial
        newest = self._seen.get(handoff.host)
        if handoff.to != self.incarnation.number or (
            newest and sequence <= newest
        ):
            return Receipt(counted=False)
        self._seen[handoff.host] = sequence
        for item in handoff.items:
            share = self.wallet.share(item.account, item.day)
            share.granted += max(0, item.amount)
            share.taken += max(0, item.amount)
        return Receipt(counted=True)
