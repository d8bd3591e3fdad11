"""Copies of batches that this host holds for its peers.

A host holds bills until their owner has stored them on the log. It also holds
the ends of claims of a host that shuts down while the log is unavailable.
"""

from __future__ import annotations

from typing import Any, Protocol, TYPE_CHECKING

from hoistmoor.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hoistmoor.core import identity

DEFAULT_CAPACITY = 100_000  # Bills.


class Batch(Protocol):
    """A batch that can be held for a peer."""

    @property
    def batch_id(self) -> str:
        """Unique id of the batch."""

    @property
    def owner(self) -> identity.Incarnation:
        """The incarnation that the batch is held for."""

    @property
    def size(self) -> int:
        """Capacity that the batch uses, in bills."""

    @property
    def stream(self) -> str:
        """The stream that the batch is appended to."""

    @property
    def record(self) -> Any:
        """The record to append if the owner fails."""


class HolderFullError(errors.HoistmoorError):
    """The host has no capacity left to hold bills for its peers."""


class HeldBatches:
    """Batches held until their owner releases them or fails.

    Attributes:
        capacity: Maximum number of bills to hold.
        count: Number of bills held.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.count = 0
        self._batches: dict[str, Batch] = {}

    def hold(self, batch: Batch) -> None:
        """Stores a batch unless it is held already.

        Raises:
            HolderFullError: The batch exceeds the remaining capacity.
        """
        if batch.batch_id in self._batches:
            return
        if self.count + batch.size > self.capacity:
            raise HolderFullError(
                f"this host already holds {self.count} bills for its peers",
                "Ask another peer.",
            )
        self._batches[batch.batch_id] = batch
        self.count += batch.size

    def release(self, batch_ids: Iterable[str]) -> None:
        """Removes batches that their owner has stored on the log."""
        for batch_id in batch_ids:
            batch = self._batches.pop(batch_id, None)
            if batch is not None:
                self.count -= batch.size

    def batches(self) -> tuple[Batch, ...]:
        """Returns all held batches."""
        return tuple(self._batches.values())

    def orphans(
        self, is_alive: Callable[[identity.Incarnation], bool]
    ) -> tuple[Batch, ...]:
        """Returns the batches whose owner has failed.

        The caller must append and then release them. An owner that was wrongly
        considered failed appends them as well; readers drop the duplicates.

        Args:
            is_alive: Whether an incarnation is considered alive.
        """
        return tuple(
            batch
            for batch in self._batches.values()
            if not is_alive(batch.owner)
        )
