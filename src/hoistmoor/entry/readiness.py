"""Readiness of this host for new work."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.core import refusals

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core.table import model
    from hoistmoor.entry import table_follower


class Freshness(Protocol):
    """Tells whether the table in force may be out of date."""

    def is_fresh(self, now: float) -> bool:
        """Returns whether the table is fresh enough for new work."""


class Readiness:
    """Combines the conditions under which this host accepts new work.

    Attributes:
        is_stopping: Whether a graceful stop is in progress.
    """

    def __init__(
        self,
        follower: table_follower.TableFollower,
        freshness: Freshness,
        clock: Callable[[], float],
    ) -> None:
        self.is_stopping = False
        self._follower = follower
        self._freshness = freshness
        self._clock = clock

    def check(self) -> model.ActiveTable | refusals.Refusal:
        """Returns the table for new work, or why the host accepts none."""
        if self.is_stopping:
            return _refusal(refusals.Reason.STOPPING, "this host is stopping")
        return self.check_table()

    def check_table(self) -> model.ActiveTable | refusals.Refusal:
        """Like ``check``, but also returns the table while stopping."""
        in_force = self._follower.in_force
        if in_force is None:
            return _refusal(
                refusals.Reason.NO_TABLE,
                "this host has no table yet",
            )
        if not self._freshness.is_fresh(self._clock()):
            return _refusal(
                refusals.Reason.TABLE_STALE,
                "this host reaches neither the log nor enough other hosts",
            )
        return in_force


def _refusal(reason: refusals.Reason, detail: str) -> refusals.Refusal:
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail)
