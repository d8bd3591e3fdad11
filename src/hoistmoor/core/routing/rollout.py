"""Share of a model's traffic that a new version gets during its rollout."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import quality_estimates

if TYPE_CHECKING:
    from hoistmoor.core.table import model

# Minimum number of ratings of a proven candidate. The number is low, because
# an exposure cap of a few hundred answers yields no more ratings. A version
# that passes by chance is still monitored by the sequential test.
PROOF_RATINGS = 15.0
PROOF_Z = 0.84  # One-sided confidence of 0.8.
MAX_SHORTFALL = 0.05  # Tolerated shortfall from the prior quality.
INITIAL_SHARE = 0.05  # Share of the model's traffic before any rating.


@attrs.define
class RolloutProgress:
    """Tracks which candidates are proven; a proven candidate stays proven.

    Attributes:
        proved: Digests of the rows of the proven candidates.
    """

    proved: set[str] = attrs.field(factory=set)

    def is_proven(
        self, row: model.Version, estimates: quality_estimates.QualityEstimates
    ) -> bool:
        """Returns whether the ratings of a candidate prove its quality."""
        digest = exposure.row_digest(row)
        if digest in self.proved:
            return True
        estimate = estimates.version_estimate(row)
        is_proven = (
            estimate.count >= PROOF_RATINGS
            and estimate.bound(-PROOF_Z) >= row.prior_quality - MAX_SHORTFALL
        )
        if is_proven:
            self.proved.add(digest)
        return is_proven

    def share(
        self,
        row: model.Version,
        others: float,
        estimates: quality_estimates.QualityEstimates,
    ) -> float:
        """Returns a candidate's share of its model's traffic, 0 to 1.

        Args:
            row: The candidate.
            others: Total weight of the model's other versions.
            estimates: Quality estimates from ratings.
        """
        full_share = row.weight / max(1e-9, row.weight + others)
        if self.is_proven(row, estimates):
            return full_share
        estimate = estimates.version_estimate(row)
        progress = min(1.0, estimate.count / PROOF_RATINGS)
        if estimate.mean < row.prior_quality - MAX_SHORTFALL:
            progress = 0.0
        return min(
            full_share,
            INITIAL_SHARE + (full_share - INITIAL_SHARE) * 0.5 * progress,
        )
