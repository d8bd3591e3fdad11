"""Index of the prompt prefixes that backend servers probably have cached.

Cache events arrive late and some are lost, so entries are estimates: they
expire, and a gap in a server's event sequence invalidates all entries of that
server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.routing import messages

MAX_BLOCKS = 50_000  # Blocks indexed; the least recently stored is evicted.
ENTRY_TTL_S = 120.0
MAX_HOLDERS = 4  # Servers indexed per block.


@attrs.define
class _EventCursor:
    sequence: int = -1
    epoch: int = 0


@attrs.define(eq=False)
class PrefixIndex:
    """Maps the hashes of prompt blocks to the servers that cache them.

    Attributes:
        holders: For each block hash, the epoch and time of the entry by
            server.
        cursors: Latest event sequence number and epoch by server.
    """

    holders: dict[int, dict[str, tuple[int, float]]] = attrs.field(factory=dict)
    cursors: dict[str, _EventCursor] = attrs.field(factory=dict)

    def on_event(self, event: messages.CacheEvent, now: float) -> None:
        """Applies an event; a sequence gap invalidates the server's entries."""
        cursor = self.cursors.setdefault(event.server, _EventCursor())
        if event.sequence <= cursor.sequence:
            return
        if cursor.sequence >= 0 and event.sequence > cursor.sequence + 1:
            cursor.epoch += 1
        cursor.sequence = event.sequence
        for block in event.evicted:
            self.holders.get(block, {}).pop(event.server, None)
        self.store(event.server, event.stored, now)

    def store(self, server: str, blocks: tuple[int, ...], now: float) -> None:
        """Records that ``server`` caches ``blocks`` or is about to."""
        cursor = self.cursors.setdefault(server, _EventCursor())
        for block in blocks:
            entry = self.holders.pop(block, {})
            entry.pop(server, None)
            if len(entry) >= MAX_HOLDERS:
                del entry[next(iter(entry))]
            entry[server] = (cursor.epoch, now)
            self.holders[block] = entry
        while len(self.holders) > MAX_BLOCKS:
            del self.holders[next(iter(self.holders))]

    def find_longest(
        self, prefix: tuple[int, ...], now: float
    ) -> tuple[float, tuple[str, ...]]:
        """Returns the servers that cache the longest prefix of a prompt.

        Args:
            prefix: Hashes of the prompt's blocks; each hash also covers all
                preceding blocks.
            now: Current time.

        Returns:
            Cached share of the prompt, 0 to 1, and the names of the servers.
        """
        low, high = 0, len(prefix)
        found: tuple[str, ...] = ()
        # A server caches a prefix up to some block and none after it, so the
        # end of the longest cached prefix can be found by bisection.
        while low < high:
            middle = (low + high) // 2
            holders = self._live_holders(prefix[middle], now)
            if holders:
                found, low = holders, middle + 1
            else:
                high = middle
        return (low / len(prefix) if found else 0.0), found

    def _live_holders(self, block: int, now: float) -> tuple[str, ...]:
        entry = self.holders.get(block)
        if not entry:
            return ()
        oldest = now - ENTRY_TTL_S
        return tuple(
            server
            for server, (epoch, at) in entry.items()
            if at >= oldest and epoch == self.cursors[server].epoch
        )
