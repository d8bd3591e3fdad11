"""Deterministic pseudorandom shuffling.

The core takes no randomness of its own, so the order is derived from a seed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

_T = TypeVar("_T")


class Shuffler:
    """Shuffles items, reproducibly for the same seed and sequence of calls."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._count = 0

    def shuffled(self, items: Iterable[_T]) -> list[_T]:
        """Returns the items in an order that changes with each call."""
        self._count += 1
        salt = f"{self._seed} {self._count} "
        return sorted(
            items,
            key=lambda item: xxhash.xxh32_intdigest(f"{salt}{item}".encode()),
        )
