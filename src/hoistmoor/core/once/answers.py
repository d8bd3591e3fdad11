"""In-memory cache of answers, bounded in bytes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.once import permits


DEFAULT_CAPACITY = 8 * 1024 * 1024  # Bytes.
_OVERHEAD = 200  # Bytes per answer besides its body.


class AnswerCache:
    """Cache of answers by claim id that evicts the oldest first.

    Attributes:
        capacity: Maximum size in bytes.
        used: Current size in bytes.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.used = 0
        self._answers: collections.OrderedDict[str, permits.StoredAnswer] = (
            collections.OrderedDict()
        )

    def get(self, claim_id: str) -> permits.StoredAnswer | None:
        """Returns the answer of a claim, if it is cached."""
        return self._answers.get(claim_id)

    def put(self, claim_id: str, answer: permits.StoredAnswer) -> None:
        """Stores an answer and evicts the oldest ones above the capacity."""
        if claim_id in self._answers:
            return
        self._answers[claim_id] = answer
        self.used += _size(answer)
        while self.used > self.capacity:
            _, evicted = self._answers.popitem(last=False)
            self.used -= _size(evicted)


def _size(answer: permits.StoredAnswer) -> int:
    return len(answer.body) + _OVERHEAD
