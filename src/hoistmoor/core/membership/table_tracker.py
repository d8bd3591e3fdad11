"""Compares the revision of the active table with those of the peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.membership import messages
from hoistmoor.core.membership import view

if TYPE_CHECKING:
    from hoistmoor.core.membership import members as members_lib
    from hoistmoor.core.membership import timing as timing_lib


class TableTracker:
    """Detects that a peer has a newer table and requests a fetch of it.

    Attributes:
        own_revision: Revision of this host's active table.
        newest_revision: Newest revision that a peer has reported.
        newest_peer: Name of the peer that reported it.
        behind_since: When a peer first reported a newer revision; None if no
            peer is ahead.
    """

    def __init__(self, timing: timing_lib.Timing) -> None:
        self.own_revision = view.NO_REVISION
        self.newest_revision = view.NO_REVISION
        self.newest_peer = ""
        self.behind_since: float | None = None
        self._timing = timing
        self._last_fetch_at = float("-inf")

    def record_peer_revision(
        self, peer: str, revision: int, now: float
    ) -> None:
        """Records the revision of a peer's active table."""
        if revision <= self.own_revision:
            return
        if revision >= self.newest_revision:
            self.newest_revision = revision
            self.newest_peer = peer
        if self.behind_since is None:
            self.behind_since = now

    def record_own_revision(self, revision: int) -> None:
        """Records the revision of this host's active table."""
        self.own_revision = max(self.own_revision, revision)
        if self.own_revision >= self.newest_revision:
            self.behind_since = None

    def is_overdue(self, now: float) -> bool:
        """Returns whether this host has been behind for too long."""
        if self.behind_since is None:
            return False
        return now - self.behind_since > self._timing.fetch_grace

    def due_fetch(
        self, members: members_lib.Members, log_is_silent: bool, now: float
    ) -> tuple[messages.FetchTable, ...]:
        """Returns the fetch that is due, if any.

        While the log is reachable, the newer revision most likely arrives from
        there. If every host fetched the table from a peer after each edit, this
        would cost more than it gains.
        """
        if self.behind_since is None or not (
            log_is_silent or self.is_overdue(now)
        ):
            return ()
        if now - self._last_fetch_at < self._timing.fetch_interval:
            return ()
        peer = members.get(self.newest_peer)
        if peer is None:
            return ()
        self._last_fetch_at = now
        return (
            messages.FetchTable(
                peer.name, peer.peer_address, self.newest_revision
            ),
        )
