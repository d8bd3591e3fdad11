"""Batches of records that this host holds for its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core.billing import bills
from hoistmoor.core.billing import held as held_lib
from hoistmoor.core.once import records
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hoistmoor.core import identity
    from hoistmoor.entry import log_interface

    HandOver = Callable[[held_lib.Batch], Awaitable[bool]]

_LOG = logs.PartLogger("bills")


class PeerBatches:
    """Holds each batch until its owner releases it or is dead.

    Attributes:
        held: The batches.
        is_stopping: Whether this host is stopping and rejects new batches.
    """

    def __init__(
        self,
        log: log_interface.Log,
        is_alive: Callable[[identity.Incarnation], bool],
    ) -> None:
        self.held = held_lib.HeldBatches()
        self.is_stopping = False
        self._log = log
        self._is_alive = is_alive

    async def hold(self, batch_id: str, batch: bytes) -> None:
        """Stores a peer's batch until it is released.

        Raises:
            HolderFullError: This host is full or stopping.
            CodecError: The batch cannot be decoded.
        """
        if self.is_stopping:
            raise held_lib.HolderFullError(
                "this host is stopping", "Ask another peer."
            )
        decoded = codec.decode(batch)
        if not isinstance(decoded, bills.BillBatch | records.HeldClaims):
            raise errors.CodecError(
                f"batch {batch_id} has the type {type(decoded).__name__}",
                "Check that both hosts run the same release.",
            )
        self.held.hold(decoded)

    async def release(self, batch_ids: tuple[str, ...]) -> None:
        """Drops a peer's batches, which are on the log by now."""
        self.held.release(batch_ids)

    async def append_orphans(self) -> None:
        """Appends the batches of dead owners, until an append fails."""
        for batch in self.held.orphans(self._is_alive):
            try:
                await self._log.append(batch.stream, codec.encode(batch.record))
            except errors.PlatformError:
                return  # The batch stays and is retried later.
            self.held.release((batch.batch_id,))
            _LOG.info("appended batch %s of a dead host", batch.batch_id)

    async def hand_over_all(self, hand_over: HandOver) -> None:
        """Appends or hands over all batches, for a graceful stop.

        This includes the batches of live owners: an owner may be stopping too
        and rely on this host.
        """
        self.is_stopping = True
        await self.append_orphans()
        for batch in self.held.batches():
            if await hand_over(batch):
                self.held.release((batch.batch_id,))
