"""The ground truth on response quality, known only to the oracle."""

from __future__ import annotations

import math
import random
import statistics
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.table import model

STEEPNESS = 2.5  # Slope of the chance of a good response over difficulty.
CONFIDENCE_NOISE = 0.07  # Standard deviation of confidence around the chance.
RATED_FRACTION = 0.1  # Fraction of responses that are rated.
MEAN_RATING_DELAY = 60.0  # Mean delay of a rating.
_GRID = tuple(
    statistics.NormalDist().inv_cdf((i + 0.5) / 200) for i in range(200)
)


@attrs.frozen
class QualityRegression:
    """A quality regression of a version.

    Attributes:
        version: Key of the version.
        starts_at: Time of the start.
        ramp_seconds: Seconds until the full effect; 0 for a sudden regression.
        quality: Fraction of good responses after it.
        kind: Affected kind of request; empty for all.
    """

    version: str
    starts_at: float
    ramp_seconds: float = 0.0
    quality: float = 0.4
    kind: str = ""

    def progress(self, now: float) -> float:
        """Returns the progress of the regression, from 0 to 1."""
        if now < self.starts_at:
            return 0.0
        return (
            1.0
            if self.ramp_seconds <= 0
            else min(1.0, (now - self.starts_at) / self.ramp_seconds)
        )


def chance(skill: float, difficulty: float) -> float:
    """Returns the chance of a good response."""
    return 1.0 / (1.0 + math.exp(-STEEPNESS * (skill - difficulty)))


def skill_for(quality: float) -> float:
    """Returns the skill with a mean of ``quality`` over all difficulties."""
    low, high = -6.0, 6.0
    for _ in range(40):
        middle = (low + high) / 2
        mean = sum(chance(middle, d) for d in _GRID) / len(_GRID)
        low, high = (middle, high) if mean < quality else (low, middle)
    return low


@attrs.define
class QualityModel:
    """True quality of each version for each kind of request.

    Attributes:
        qualities: Mean fraction of good responses by version and kind.
        regressions: Quality regressions of versions.
        skills: Skills that give these qualities, by version and kind.
    """

    qualities: dict[tuple[str, str], float]
    regressions: tuple[QualityRegression, ...] = ()
    skills: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Computes the skills."""
        self.skills = {k: skill_for(q) for k, q in self.qualities.items()}

    def healthy_chance(
        self, version: str, kind: str, difficulty: float
    ) -> float:
        """Returns the chance of a good response without regressions."""
        return chance(self.skills[version, kind], difficulty)

    def chance(
        self, version: str, kind: str, difficulty: float, now: float
    ) -> float:
        """Returns the current chance of a good response."""
        healthy = self.healthy_chance(version, kind, difficulty)
        return healthy * self.remaining_fraction(version, kind, now)

    def remaining_fraction(self, version: str, kind: str, now: float) -> float:
        """Returns the fraction of the quality that remains in a regression."""
        for regression in self.regressions:
            if regression.version == version and regression.kind in ("", kind):
                loss = 1.0 - regression.quality / self.qualities[version, kind]
                return 1.0 - max(0.0, loss) * regression.progress(now)
        return 1.0

    def confidence(
        self,
        version: str,
        kind: str,
        difficulty: float,
        rng: random.Random,
    ) -> float:
        """Draws the confidence of a response; regressions do not lower it."""
        healthy = self.healthy_chance(version, kind, difficulty)
        noisy = rng.gauss(healthy, CONFIDENCE_NOISE)
        return min(1.0, max(0.0, noisy))


def make_quality_model(
    table: model.Table,
    kinds: dict[str, float],
    turns: tuple[QualityRegression, ...],
    seed: int,
) -> QualityModel:
    """Returns a world with qualities near the priors in the table.

    Args:
        table: The operators' table.
        kinds: Shift of the log odds of quality for each kind of request.
        turns: Quality regressions of versions.
        seed: Seed of an additional small shift per version and kind.
    """
    rng = random.Random(f"world {seed}")
    qualities = {}
    for key, row in table.versions.items():
        for kind, shift in kinds.items():
            odds = math.log(row.prior_quality / (1.0 - row.prior_quality))
            odds += shift + rng.gauss(0.0, 0.2)
            qualities[key, kind] = 1.0 / (1.0 + math.exp(-odds))
    return QualityModel(qualities, turns)
