"""A compact set of mostly consecutive integers."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class RangeSet:
    """A set of integers stored as closed ranges."""

    def __init__(self, pairs: Iterable[tuple[int, int]] = ()) -> None:
        """Creates a set from ``(first, last)`` pairs.

        Args:
            pairs: Sorted ranges that neither overlap nor adjoin.
        """
        initial = tuple(pairs)
        self._firsts = [first for first, _ in initial]
        self._lasts = [last for _, last in initial]

    def pairs(self) -> tuple[tuple[int, int], ...]:
        """Returns the ranges as sorted ``(first, last)`` pairs."""
        return tuple(zip(self._firsts, self._lasts, strict=True))

    def add(self, number: int) -> bool:
        """Adds a number and returns whether it was not in the set."""
        index = bisect.bisect_right(self._firsts, number) - 1
        if index >= 0 and number <= self._lasts[index]:
            return False
        joins_left = index >= 0 and self._lasts[index] == number - 1
        right = index + 1
        joins_right = (
            right < len(self._firsts) and self._firsts[right] == number + 1
        )
        if joins_left and joins_right:
            self._lasts[index] = self._lasts.pop(right)
            del self._firsts[right]
        elif joins_left:
            self._lasts[index] = number
        elif joins_right:
            self._firsts[right] = number
        else:
            self._firsts.insert(right, number)
            self._lasts.insert(right, number)
        return True
