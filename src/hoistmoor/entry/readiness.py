"""Whether this host takes new work, and if not, why."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.core import refusals

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core.table import model
    from hoistmoor.entry import table_follower


class Freshness(Protocol):
    """Judges whether the table in force may be out of date."""

    def is_fresh(self, now: float) -> bool:
        """Returns whether new work may be decided by the table."""


class Readiness:
    """Gathers what may keep this host from taking new work.

    Attributes:
        stopping: Whether a graceful stop is under way.
    """

    def __init__(
        self,
        follower: table_follower.TableFollower,
        freshness: Freshness,
        clock: Callable[[], float],
    ) -> None:
        self.stopping = False
        self._follower = follower
        self._freshness = freshness
        self._clock = clock

    def check(self) -> model.ActiveTable | refusals.Refusal:
        """Returns the table to decide by, or why there is none."""
        if self.stopping:
            return _refuse(refusals.Reason.STOPPING, "this host is stopping")
        return self.check_table()

    def check_table(self) -> model.ActiveTable | refusals.Refusal:
        """Returns the table to go on by, also while stopping, or why not."""
        in_force = self._follower.in_force
        if in_force is None:
            return _refuse(
                refusals.Reason.NO_TABLE, "this host has no table yet"
            )
        if not self._freshness.is_fresh(self._clock()):
            return _refuse(
                refusals.Reason.TABLE_STALE,
                "this host reaches neither the log nor enough other hosts",
            )
        return in_force


def _refuse(reason: refusals.Reason, detail: str) -> refusals.Refusal:
    return refusals.Refusal(reason, outcomes.Outcome.NOT_RUN, detail)
