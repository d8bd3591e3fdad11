"""Gives an entry's router the table with roll-outs and drains applied."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import TYPE_CHECKING

from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import steering
from hoistmoor.core.table import model
from hoistmoor.steward import stream as stream_lib

if TYPE_CHECKING:
    from hoistmoor.clients import log

Deliver = Callable[[model.ActiveTable], None]


class SteeringFeed:
    """Delivers a table when either the table or the stream has changed.

    Before the stream was read, candidates get nothing and nothing counts as
    draining; the operators' own stages hold all the same.

    Attributes:
        stream: The stream ``steward`` as this entry has read it.
    """

    def __init__(
        self,
        client: log.LogClient,
        deliver: Deliver,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Makes a feed; ``run`` starts it.

        Args:
            client: Reads the log.
            deliver: Takes each table, such as a router's ``on_table``.
            clock: Returns seconds since the epoch.
        """
        self.stream = stream_lib.StewardStream(client, self._on_view, clock)
        self._deliver = deliver
        self._in_force: model.ActiveTable | None = None
        self._delivered: model.ActiveTable | None = None

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        await self.stream.run()

    def on_table(self, in_force: model.ActiveTable) -> None:
        """Takes a new table of the operators."""
        self._in_force = in_force
        self._tell(self.stream.fold.view())

    def _on_view(self, view: rollouts.RolloutView) -> None:
        self._tell(view)

    def _tell(self, view: rollouts.RolloutView) -> None:
        if self._in_force is None:
            return
        steered = steering.steer(self._in_force, view)
        if steered != self._delivered:
            self._delivered = steered
            self._deliver(steered)
