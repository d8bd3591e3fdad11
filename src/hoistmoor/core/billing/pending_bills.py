"""Bills of one host that are not yet stored on the log.

A bill is *secured* once a peer holds a copy of it or it is stored on the log.
It is removed when the append that contains it is acknowledged. An append with
an unknown outcome is retried with the same batch; readers drop the duplicates.
"""

from __future__ import annotations

import itertools

import attrs

from hoistmoor.core import identity
from hoistmoor.core.billing import bills

DEFAULT_CAPACITY = 50_000  # Bills.
MAX_BATCH_SIZE = 200  # Bills.


@attrs.frozen
class HeldCopy:
    """A peer's copy of a batch.

    Attributes:
        holder: Incarnation of the peer.
        batch_id: Id of the batch that the peer holds.
    """

    holder: identity.Incarnation
    batch_id: str


class PendingBills:
    """Pending bills and the peers that hold copies of them.

    Attributes:
        owner: Incarnation of this process.
        capacity: Number of pending bills from which on the host should stop
            accepting requests.
    """

    def __init__(
        self, owner: identity.Incarnation, capacity: int = DEFAULT_CAPACITY
    ) -> None:
        self.owner = owner
        self.capacity = capacity
        self._serial = 0
        self._bills: dict[str, bills.Bill] = {}
        self._unsecured: dict[str, bills.Bill] = {}
        self._copies: dict[str, HeldCopy] = {}
        self._appending: bills.BillBatch | None = None

    def __len__(self) -> int:
        """Returns the number of bills that are not on the log."""
        return len(self._bills)

    @property
    def unsecured_count(self) -> int:
        """The number of bills neither on the log nor held by a peer."""
        return len(self._unsecured)

    @property
    def is_full(self) -> bool:
        """Whether the host should stop accepting requests."""
        return len(self._bills) >= self.capacity

    @property
    def holders(self) -> set[identity.Incarnation]:
        """Incarnations of the peers that hold copies of pending bills."""
        return {copy.holder for copy in self._copies.values()}

    def add(self, bill: bills.Bill) -> None:
        """Adds a bill unless one for the same request is pending."""
        if bill.request_id not in self._bills:
            self._bills[bill.request_id] = bill
            self._unsecured[bill.request_id] = bill

    def is_secured(self, request_id: str) -> bool:
        """Returns whether a bill is on the log or held by a peer."""
        return request_id not in self._unsecured

    def next_batch_to_hold(self) -> bills.BillBatch | None:
        """Returns a batch of unsecured bills for a peer, or None."""
        return self._batch(self._unsecured)

    def record_held(
        self, batch: bills.BillBatch, holder: identity.Incarnation
    ) -> bool:
        """Records that a peer holds a copy of a batch.

        Returns:
            Whether the copy is still needed. It is not if every bill in it
            was stored on the log in the meantime.
        """
        copy = HeldCopy(holder, batch.batch_id)
        pending = [id_ for id_ in _request_ids(batch) if id_ in self._bills]
        for request_id in pending:
            self._unsecured.pop(request_id, None)
            self._copies[request_id] = copy
        return bool(pending)

    def record_holder_failed(self, holder: identity.Incarnation) -> None:
        """Marks the bills held by a failed peer as unsecured again."""
        for request_id, copy in tuple(self._copies.items()):
            if copy.holder == holder:
                del self._copies[request_id]
                self._unsecured[request_id] = self._bills[request_id]

    def next_batch_to_append(self) -> bills.BillBatch | None:
        """Returns the batch to append, or None if no bill is pending.

        The same batch is returned until its append is acknowledged.
        """
        if self._appending is None:
            self._appending = self._batch(self._bills)
        return self._appending

    def record_appended(self, batch: bills.BillBatch) -> set[HeldCopy]:
        """Records that a batch is on the log.

        Returns:
            Copies that the peers can release.
        """
        self._appending = None
        released: set[HeldCopy | None] = set()
        for request_id in _request_ids(batch):
            self._bills.pop(request_id, None)
            self._unsecured.pop(request_id, None)
            released.add(self._copies.pop(request_id, None))
        # A copy is needed until every bill in its batch is on the log.
        released -= set(self._copies.values())
        return {copy for copy in released if copy is not None}

    def _batch(self, source: dict[str, bills.Bill]) -> bills.BillBatch | None:
        if not source:
            return None
        self._serial += 1
        return bills.BillBatch(
            self.owner.host,
            self.owner.number,
            f"{self.owner}.{self._serial:x}",
            tuple(itertools.islice(source.values(), MAX_BATCH_SIZE)),
        )


def _request_ids(batch: bills.BillBatch) -> list[str]:
    return [bill.request_id for bill in batch.bills]
