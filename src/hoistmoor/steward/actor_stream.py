"""The stream ``steward`` as read by a steward, which tracks its lease."""

from __future__ import annotations

import time
from typing import Any, TYPE_CHECKING

from hoistmoor.steward import stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.clients import log
    from hoistmoor.core.steward import actor as actor_lib


class ActorStream(stream.StewardStream):
    """Applies records through the actor, so that it can track its lease.

    Attributes:
        actor: State of this steward.
    """

    def __init__(
        self,
        client: log.LogClient,
        actor: actor_lib.Actor,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a reader that applies records through ``actor``."""
        super().__init__(client, clock=clock)
        self.actor = actor

    def begin(self, start: int) -> None:
        """Resets the fold and the actor to start at ``start``."""
        super().begin(start)
        self.actor.begin(start, self._clock())
        self.fold = self.actor.fold

    def fold_record(self, offset: int, at: float, record: Any) -> None:
        """Applies a record through the actor."""
        self.actor.on_record(offset, at, record, self._clock())
