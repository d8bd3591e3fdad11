"""A bounded prefix cache that records its changes as events."""

from __future__ import annotations

from collections import deque
from collections import OrderedDict

import attrs

_MAX_EVENTS = 10_000


@attrs.frozen
class CacheEvent:
    """A change of the cache.

    Attributes:
        at: When it happened, in seconds since the epoch.
        sequence: Sequence number of the change.
        stored: Hashes of the blocks that were added.
        evicted: Hashes of the blocks that were evicted.
    """

    at: float
    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """A cache of block hashes with LRU eviction.

    Attributes:
        capacity: Maximum number of blocks.
        events: The most recent changes, oldest first.
        next_sequence: Sequence number of the next change.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.events: deque[CacheEvent] = deque(maxlen=_MAX_EVENTS)
        self.next_sequence = 0
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def used_fraction(self) -> float:
        """Fraction of the capacity in use, 0 to 1."""
        return len(self._blocks) / max(1, self.capacity)

    def add(self, blocks: tuple[int, ...], now: float) -> int:
        """Adds the blocks of a prompt and marks them as recently used.

        Returns:
            Number of leading blocks that were in the cache already.
        """
        hits = self._leading_hits(blocks)
        stored = tuple(block for block in blocks if block not in self._blocks)
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self.capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        if stored or evicted:
            self._record_event(now, stored, tuple(evicted))
        return hits

    def events_between(
        self, since: int, until: float
    ) -> tuple[int, list[CacheEvent]]:
        """Returns the next sequence number to read and a range of events.

        Args:
            since: First sequence number to return.
            until: Time of the newest event to return.
        """
        rows = [
            event
            for event in self.events
            if event.sequence >= since and event.at <= until
        ]
        return (rows[-1].sequence + 1 if rows else since), rows

    def _leading_hits(self, blocks: tuple[int, ...]) -> int:
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)

    def _record_event(
        self, now: float, stored: tuple[int, ...], evicted: tuple[int, ...]
    ) -> None:
        self.events.append(CacheEvent(now, self.next_sequence, stored, evicted))
        self.next_sequence += 1
