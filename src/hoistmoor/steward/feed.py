"""Passes the table, with rollouts and drains applied, to an entry's router."""

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
    """Delivers a table whenever the table or the stream changes it.

    Until the stream has been read, candidates get no requests and no server
    counts as draining; the stages that operators set apply nevertheless.

    Attributes:
        stream: The stream ``steward``, as read by this entry.
    """

    def __init__(
        self,
        client: log.LogClient,
        deliver: Deliver,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Creates a feed; ``run`` starts it.

        Args:
            client: Reads the log.
            deliver: Called with each table, such as a router's ``on_table``.
            clock: Returns seconds since the epoch.
        """
        self.stream = stream_lib.StewardStream(client, self._on_view, clock)
        self._deliver = deliver
        self._active_table: model.ActiveTable | None = None
        self._delivered: model.ActiveTable | None = None

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        await self.stream.run()

    def on_table(self, active_table: model.ActiveTable) -> None:
        """Handles a new table of the operators."""
        self._active_table = active_table
        self._deliver_if_changed(self.stream.fold.view())

    def _on_view(self, view: rollouts.RolloutView) -> None:
        self._deliver_if_changed(view)

    def _deliver_if_changed(self, view: rollouts.RolloutView) -> None:
        if self._active_table is None:
            return
        steered = steering.steer(self._active_table, view)
        if steered != self._delivered:
            self._delivered = steered
            self._deliver(steered)
