"""Hashes that let two hosts find the parts in which their views differ.

A view is divided into a fixed number of parts by the hash of each name. Two
hosts compare one hash per part and exchange only the parts that differ.
"""

from __future__ import annotations

import functools
import operator

import xxhash

PART_COUNT = 16


def part_index(name: str) -> int:
    """Returns the index of the part that holds facts about ``name``."""
    return xxhash.xxh32_intdigest(name.encode()) % PART_COUNT


class PartHashes:
    """One hash for each part of a view, independent of insertion order."""

    def __init__(self) -> None:
        self.values = [0] * PART_COUNT

    def toggle(self, name: str, fact: str) -> None:
        """Adds a fact about ``name``, or removes it if it was added before."""
        self.values[part_index(name)] ^= xxhash.xxh32_intdigest(fact.encode())

    @property
    def combined(self) -> int:
        """A 32-bit hash of the whole view."""
        return functools.reduce(operator.xor, self.values)

    def differing_parts(self, other: tuple[int, ...]) -> frozenset[int]:
        """Returns the indexes of the parts whose hashes differ."""
        pairs = enumerate(zip(self.values, other, strict=False))
        return frozenset(part for part, (own, peer) in pairs if own != peer)
