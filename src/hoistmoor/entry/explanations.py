"""Stores the decisions on this host's most recent requests."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.requests import decisions

DEFAULT_CAPACITY = 20_000  # Decisions of about 2 KB each.
UNKNOWN_CALLERS_CAPACITY = 1_000


class Explanations:
    """A bounded map from request id to decision that evicts the oldest.

    Requests of unknown callers are stored separately, so that a flood of them
    does not evict the decisions that operators look for.

    Attributes:
        capacity: Maximum number of decisions, without unknown callers.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self._known_callers = _BoundedMap(capacity)
        self._unknown_callers = _BoundedMap(UNKNOWN_CALLERS_CAPACITY)

    def __len__(self) -> int:
        """Returns the number of stored decisions."""
        return len(self._known_callers.decisions_by_id) + len(
            self._unknown_callers.decisions_by_id
        )

    def add(self, decision: decisions.Decision) -> None:
        """Stores a decision, which may still be open and change later."""
        target = (
            self._known_callers if decision.account else self._unknown_callers
        )
        target.add(decision)

    def find(self, request_id: str) -> decisions.Decision | None:
        """Returns the decision on a request, if it is still stored."""
        known = self._known_callers.decisions_by_id.get(request_id)
        return known or self._unknown_callers.decisions_by_id.get(request_id)


class _BoundedMap:
    """The most recent decisions, up to a maximum number."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.decisions_by_id: OrderedDict[str, decisions.Decision] = (
            OrderedDict()
        )

    def add(self, decision: decisions.Decision) -> None:
        """Adds a decision and evicts the oldest ones above the capacity."""
        self.decisions_by_id[decision.request_id] = decision
        while len(self.decisions_by_id) > self.capacity:
            self.decisions_by_id.popitem(last=False)
