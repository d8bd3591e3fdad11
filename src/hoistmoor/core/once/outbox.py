"""Records of one host that are not confirmed on the claims stream yet."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from hoistmoor.core.once import records

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoistmoor.core import identity

BATCH_LIMIT = 200  # Maximum claims, and maximum ends, in one append.
_BACK_OFF = 1.0  # Seconds without new claims after a failed append.


class Outbox:
    """Claims and ends of claims that wait for an append or its reply.

    Attributes:
        owner: Incarnation of this process.
        address: ``ip:port`` of the interface for callers on this host.
        claims: Claims, by serial.
        ended: Ends of claims, by serial.
    """

    def __init__(self, owner: identity.Incarnation, address: str) -> None:
        self.owner = owner
        self.address = address
        self.claims: dict[int, records.Claim] = {}
        self.ended: dict[int, records.Ended] = {}
        self._closed_until = 0.0

    def __len__(self) -> int:
        """Returns the number of waiting records."""
        return len(self.claims) + len(self.ended)

    def is_suspended(self, now: float) -> bool:
        """Returns whether claims are suspended after a failed append."""
        return now < self._closed_until

    def next_batch(self) -> records.ClaimBatch:
        """Returns the next batch to append."""
        return self._batch(
            tuple(itertools.islice(self.ended.values(), BATCH_LIMIT)),
            tuple(itertools.islice(self.claims.values(), BATCH_LIMIT)),
        )

    def final_batches(self) -> Iterator[records.ClaimBatch]:
        """Returns the ends that are not confirmed on the log.

        For a process that starts no more runs. Another process may append
        these batches, and more than once.
        """
        ended = tuple(self.ended.values())
        for start in range(0, len(ended), BATCH_LIMIT):
            yield self._batch(ended[start : start + BATCH_LIMIT], ())

    def empty_batch(self) -> records.ClaimBatch:
        """Returns an empty batch that only carries the log's timestamp.

        A host that starts later determines from the oldest record how far back
        it can read the stream. A stream whose records have all expired would
        not tell it.
        """
        return self._batch((), ())

    def on_append_stored(self, batch: records.ClaimBatch) -> None:
        """Removes the records of a batch that the log stored."""
        self._closed_until = 0.0
        for ended in batch.ended:
            self.ended.pop(ended.serial, None)
        for claim in batch.claims:
            self.claims.pop(claim.serial, None)

    def on_append_failed(self, now: float) -> None:
        """Suspends new claims for a while after a failed append."""
        self._closed_until = now + _BACK_OFF

    def _batch(
        self,
        ended: tuple[records.Ended, ...],
        claims: tuple[records.Claim, ...],
    ) -> records.ClaimBatch:
        return records.ClaimBatch(
            self.owner.host, self.owner.number, self.address, ended, claims
        )
