"""Hash-based randomness that every host derives alike from the same key."""

from __future__ import annotations

import math

import attrs
import xxhash

_TWO_64 = float(1 << 64)


def uniform(key: str, seed: int) -> float:
    """Returns a uniform number in [0, 1) derived from ``key`` and ``seed``."""
    return xxhash.xxh3_64_intdigest(key.encode(), seed) / _TWO_64


def weighted_rendezvous(
    key: str, weights: tuple[tuple[str, float], ...]
) -> str:
    """Picks a name by weighted rendezvous hashing.

    A change to the weight of one name moves keys only to or from that name.

    Args:
        key: Key to assign, such as the id of a session.
        weights: At least one name with its weight.

    Returns:
        The name with the highest score.
    """
    best = ""
    best_score = -math.inf
    for name, weight in weights:
        score = _rendezvous_score(key, name, weight)
        if score > best_score:
            best, best_score = name, score
    return best


def _rendezvous_score(key: str, name: str, weight: float) -> float:
    if weight <= 0.0:
        return -1e300
    uniform = (xxhash.xxh3_64_intdigest(f"{name}/{key}".encode()) + 1) / _TWO_64
    # log(1) is 0, so the divisor is bounded; a hash of 1 has the best score.
    return -weight / min(math.log(uniform), -1e-300)


_UNIT_STEPS = 1 << 30  # Number of distinct results of ``Draws.unit``.


@attrs.define
class RandomGenerator:
    """A pseudo-random number generator, faster than a hash per number.

    Attributes:
        state: 64-bit state of the linear congruential generator.
    """

    state: int

    @classmethod
    def from_seed(cls, seed: int) -> RandomGenerator:
        """Returns a generator whose state is a hash of ``seed``."""
        return cls(xxhash.xxh3_64_intdigest(str(seed).encode()))

    def randbelow(self, limit: int) -> int:
        """Returns the next integer in [0, ``limit``)."""
        self.state = (
            self.state * 6364136223846793005 + 1442695040888963407
        ) & 0xFFFFFFFFFFFFFFFF
        return ((self.state >> 33) * limit) >> 31

    def random(self) -> float:
        """Returns the next number in [0, 1)."""
        return self.randbelow(_UNIT_STEPS) / _UNIT_STEPS
