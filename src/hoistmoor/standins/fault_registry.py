"""Registry of the active faults of a stand-in."""

from __future__ import annotations

from typing import TypeVar

from hoistmoor.standins import faults

_T = TypeVar("_T", bound=faults.Fault)


class FaultRegistry:
    """The active faults by number."""

    def __init__(self) -> None:
        self.faults: dict[int, faults.Fault] = {}
        self._last_number = 0

    def add(self, fault: faults.Fault) -> int:
        """Activates a fault and returns its number."""
        self._last_number += 1
        self.faults[self._last_number] = fault
        return self._last_number

    def clear(self) -> None:
        """Deactivates all faults."""
        self.faults.clear()

    def is_active(self, fault: faults.Fault) -> bool:
        """Returns whether the fault is still active."""
        return any(fault is other for other in self.faults.values())

    def count_request(self, method: str, path: str) -> list[faults.Fault]:
        """Counts a request and returns the faults that apply to it."""
        return [
            fault
            for fault in tuple(self.faults.values())
            if isinstance(fault, faults.REQUEST_FAULTS)
            and fault.matches(method, path)
            and fault.count_request()
        ]

    def find(self, cls: type[_T]) -> _T | None:
        """Returns the oldest active fault of a kind; counts no event."""
        for fault in self.faults.values():
            if isinstance(fault, cls):
                return fault
        return None

    def count_event(self, cls: type[_T]) -> _T | None:
        """Counts an event for the oldest active fault of a kind.

        Returns:
            The fault, or None if there is none or it does not apply.
        """
        fault = self.find(cls)
        return fault if fault is not None and fault.count_request() else None

    def slow_factor(self) -> float:
        """Returns the factor on the duration of work."""
        fault = self.find(faults.Slow)
        return fault.factor if fault else 1.0

    def extra_lag(self, path: str) -> float:
        """Returns the additional lag of reports at ``path`` in seconds."""
        return sum(
            fault.seconds
            for fault in self.faults.values()
            if isinstance(fault, faults.Lag) and fault.matches("", path)
        )
