"""Notifies the components of a host of each new table in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.table import model

TableListener = Callable[["model.ActiveTable"], None]


class TableListeners:
    """Callbacks that are called with each new table, in order of addition."""

    def __init__(self) -> None:
        self._listeners: list[TableListener] = []

    def add(self, listener: TableListener) -> None:
        """Adds a callback for subsequent tables."""
        self._listeners.append(listener)

    def notify(self, in_force: model.ActiveTable) -> None:
        """Calls all callbacks with a new table."""
        for listener in self._listeners:
            listener(in_force)
