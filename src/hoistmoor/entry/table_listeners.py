"""Tells the parts of a host of each new table in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.table import model

Listener = Callable[["model.ActiveTable"], None]


class TableListeners:
    """A list of functions; all are called with each new table, in order."""

    def __init__(self) -> None:
        self._listeners: list[Listener] = []

    def add(self, listener: Listener) -> None:
        """Has ``listener`` called with each table from now on."""
        self._listeners.append(listener)

    def tell(self, in_force: model.ActiveTable) -> None:
        """Calls every listener."""
        for listener in self._listeners:
            listener(in_force)
