"""Replay detection by a sliding window of serials per caller."""

from __future__ import annotations

import collections

import attrs

WINDOW_SIZE = 4096  # Serials tracked per caller.
_MASK = (1 << WINDOW_SIZE) - 1


@attrs.define
class _Window:
    """Serials of one caller; bit n of ``seen`` stands for ``highest - n``."""

    highest: int = 0
    seen: int = 0
    last_seen_at: float = 0.0

    def record(self, serial: int) -> bool:
        ahead = serial - self.highest
        if ahead > 0:
            shifted = self.seen << ahead if ahead < WINDOW_SIZE else 0
            self.seen = (shifted | 1) & _MASK
            self.highest = serial
            return True
        if -ahead >= WINDOW_SIZE or self.seen & (1 << -ahead):
            return False
        self.seen |= 1 << -ahead
        return True


class ReplayWindows:
    """Detects replayed calls of all callers.

    A caller gives each call a serial, counting from 1. One bit per serial
    distinguishes calls that arrive out of order from replays. Serials
    below the window count as seen.

    Args:
        lifetime: Seconds without a call after which a caller's window is
            removed. Calls of that age must be rejected by their timestamp
            before ``record`` is called.
    """

    def __init__(self, lifetime: float) -> None:
        self.lifetime = lifetime
        self._windows: collections.OrderedDict[str, _Window] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of tracked callers."""
        return len(self._windows)

    def record(self, caller: str, serial: int, now: float) -> bool:
        """Records an authenticated call; returns whether it is not a replay."""
        self._remove_expired(now)
        window = self._windows.setdefault(caller, _Window())
        window.last_seen_at = now
        self._windows.move_to_end(caller)
        return window.record(serial)

    def _remove_expired(self, now: float) -> None:
        """Removes up to two expired callers, the least recently seen first."""
        for caller, window in tuple(self._windows.items())[:2]:
            if now - window.last_seen_at <= self.lifetime:
                return
            del self._windows[caller]
