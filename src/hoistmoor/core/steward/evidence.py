"""Judges the quality of a version by its rated responses.

Ratings are sparse, so the observed share of good responses is unreliable. A
version passes a stage only if the lower bound of the Wilson score interval is
high enough. Regressions of a version are detected elsewhere, by the sequential
test of the entry hosts.
"""

from __future__ import annotations

import math
from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core.steward import records

if TYPE_CHECKING:
    from collections.abc import Iterable


class RatedResponse(Protocol):
    """The attributes of a rating that are counted."""

    @property
    def model(self) -> str:
        """Name of the model."""

    @property
    def version(self) -> str:
        """Name of the version."""

    @property
    def good(self) -> bool:
        """Whether the response was rated good."""


@attrs.frozen
class EvidencePolicy:
    """The evidence required to advance a rollout.

    Attributes:
        ratings_per_stage: Ratings required within each stage.
        margin: Accepted shortfall from the version's prior quality.
        z_score: Half width of the interval, in standard deviations. It is
            small because a cap of about a hundred responses yields only about
            ten ratings.
    """

    ratings_per_stage: int = 5
    margin: float = 0.1
    z_score: float = 0.84


def lower_bound(count: records.RatedCount, z_score: float) -> float:
    """Returns the lower bound of the Wilson score interval, 0 to 1."""
    rated = count.rated
    if rated == 0:
        return 0.0
    share = count.good / rated
    spread = z_score * z_score / rated
    centre = share + spread / 2
    half = math.sqrt(share * (1 - share) * spread + spread * spread / 4)
    return (centre - half) / (1 + spread)


def is_good(
    count: records.RatedCount, prior_quality: float, policy: EvidencePolicy
) -> bool:
    """Returns whether ``count`` shows a version to meet its prior quality."""
    floor = max(0.0, prior_quality - policy.margin)
    return lower_bound(count, policy.z_score) >= floor


def count_ratings(
    ratings: Iterable[RatedResponse],
) -> dict[str, records.RatedCount]:
    """Returns the number of good and bad ratings by ``model@version``."""
    counts: dict[str, records.RatedCount] = {}
    for rating in ratings:
        version = f"{rating.model}@{rating.version}"
        one = records.RatedCount(int(rating.good), int(not rating.good))
        counts[version] = counts.get(version, records.RatedCount()).plus(one)
    return counts
