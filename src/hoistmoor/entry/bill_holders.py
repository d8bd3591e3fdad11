"""Peers that hold copies of this host's bills until they are on the log."""

from __future__ import annotations

import collections
from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core import errors
from hoistmoor.core import identity
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

_MAX_HOLDERS_TRIED = 3

_log = logs.PartLogger("bills")


class BillHolder(Protocol):
    """A peer that can hold bills, such as ``peers.client.PeerClient``."""

    async def hold_bills(self, batch_id: str, batch: bytes) -> None:
        """Asks the peer to hold an encoded batch of bills."""

    async def release_bills(self, batch_ids: tuple[str, ...]) -> None:
        """Asks the peer to discard batches that it holds."""


@attrs.frozen
class Holder:
    """A peer that may hold this host's bills.

    Attributes:
        incarnation: The process of the peer.
        peer: The client for calls to it.
    """

    incarnation: identity.Incarnation
    peer: BillHolder


class BillPeers(Protocol):
    """What the biller needs to know about the other hosts."""

    def host_count(self) -> int:
        """Returns the number of live entry hosts, including this one."""

    def holders(self) -> Sequence[Holder]:
        """Returns live peers in other failure domains, in preferred order."""

    def is_alive(self, incarnation: identity.Incarnation) -> bool:
        """Returns whether a process may be running; doubt counts as alive."""


class NoPeers:
    """The peers of a host that runs alone."""

    def host_count(self) -> int:
        """Returns 1."""
        return 1

    def holders(self) -> Sequence[Holder]:
        """Returns no holders."""
        return ()

    def is_alive(self, incarnation: identity.Incarnation) -> bool:
        """Returns true."""
        del incarnation
        return True


class BillHolders:
    """Calls the holders and tracks which batches each still has to release."""

    def __init__(self, peers: BillPeers) -> None:
        self._peers = peers
        self._releases: dict[identity.Incarnation, set[str]] = (
            collections.defaultdict(set)
        )

    async def hold(
        self, batch_id: str, payload: bytes
    ) -> identity.Incarnation | None:
        """Stores a copy of a batch of this host's bills at a peer.

        Returns:
            The peer that holds it, or None if no peer does.
        """
        for holder in self._candidates():
            try:
                await holder.peer.hold_bills(batch_id, payload)
            except errors.HoistmoorError as error:
                _log.warning(
                    "cannot hold bills at %s. %s", holder.incarnation, error
                )
                # The peer may hold the batch if only its reply was lost.
                self.schedule_release(holder.incarnation, batch_id)
                continue
            return holder.incarnation
        return None

    async def hand_over(self, batch_id: str, payload: bytes) -> bool:
        """Asks a peer to append a batch after its owner has stopped.

        A peer whose reply was lost is not asked to release the batch, because
        it may hold the only copy.

        Returns:
            Whether a peer holds the batch.
        """
        for holder in self._candidates():
            try:
                await holder.peer.hold_bills(batch_id, payload)
            except errors.HoistmoorError:
                continue
            return True
        return False

    def schedule_release(
        self, holder: identity.Incarnation, batch_id: str
    ) -> None:
        """Records that a peer no longer needs to hold a batch."""
        self._releases[holder].add(batch_id)

    async def release(self) -> None:
        """Asks each peer to discard the batches recorded for release."""
        holders = {
            holder.incarnation: holder.peer for holder in self._peers.holders()
        }
        for incarnation, batch_ids in tuple(self._releases.items()):
            peer = holders.get(incarnation)
            if peer is None:
                continue
            try:
                await peer.release_bills(tuple(batch_ids))
            except errors.HoistmoorError:
                continue  # Retried after the next append.
            del self._releases[incarnation]

    def discard_ended_peers(self) -> None:
        """Discards the recorded releases of peers that have ended."""
        for holder in tuple(self._releases):
            if not self._peers.is_alive(holder):
                del self._releases[holder]

    def _candidates(self) -> Sequence[Holder]:
        return self._peers.holders()[:_MAX_HOLDERS_TRIED]
