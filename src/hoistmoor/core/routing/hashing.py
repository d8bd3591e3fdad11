"""Randomness that is the same at every host for the same request."""

from __future__ import annotations

import math

import attrs
import xxhash

_TWO_64 = float(1 << 64)


def unit(key: str, seed: int) -> float:
    """Returns a number in [0, 1) that depends on ``key`` and ``seed``."""
    return xxhash.xxh3_64_intdigest(key.encode(), seed) / _TWO_64


def weighted_pick(key: str, weights: tuple[tuple[str, float], ...]) -> str:
    """Picks a name by weighted rendezvous hashing.

    A change of one name's weight moves only keys to or from that name.

    Args:
        key: What to place, such as a session.
        weights: Names with their weights; at least one.

    Returns:
        The name with the highest score.
    """
    best = ""
    best_score = -math.inf
    for name, weight in weights:
        score = _score(key, name, weight)
        if score > best_score:
            best, best_score = name, score
    return best


def _score(key: str, name: str, weight: float) -> float:
    if weight <= 0.0:
        return -1e300
    uniform = (xxhash.xxh3_64_intdigest(f"{name}/{key}".encode()) + 1) / _TWO_64
    # A uniform of 1 has no logarithm to divide by; it is the best score.
    return -weight / min(math.log(uniform), -1e-300)


_UNIT_STEPS = 1 << 30  # Numbers that ``Draws.unit`` tells apart.


@attrs.define
class Draws:
    """A stream of pseudo-random integers; cheaper than one hash each.

    Attributes:
        state: 64-bit state of a linear congruential generator.
    """

    state: int

    @classmethod
    def seeded(cls, seed: int) -> Draws:
        """Returns a stream far from that of any other seed."""
        return cls(xxhash.xxh3_64_intdigest(str(seed).encode()))

    def below(self, limit: int) -> int:
        """Returns the next integer in [0, ``limit``)."""
        self.state = (
            self.state * 6364136223846793005 + 1442695040888963407
        ) & 0xFFFFFFFFFFFFFFFF
        return ((self.state >> 33) * limit) >> 31

    def unit(self) -> float:
        """Returns the next number in [0, 1)."""
        return self.below(_UNIT_STEPS) / _UNIT_STEPS
