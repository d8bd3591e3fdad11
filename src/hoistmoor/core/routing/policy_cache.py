"""Cache of the policies for planning, shared between accounts.

The available policies depend on the versions that an account may use and on
the kind of request, not on the account or its target. The expensive part of
planning is therefore shared. It is repeated only after a change of a version's
row or a sufficient change of the quality estimates, the latter at a limited
rate.
"""

from __future__ import annotations

import attrs

from hoistmoor.core.routing import cascade
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.table import model

MIN_AGE_S = 5.0  # Minimum age before changed estimates are applied.
MAX_AGE_S = 60.0  # Maximum age, regardless of changes.
# Minimum interval between refreshes over all entries.
MIN_REFRESH_INTERVAL_S = 0.25
# New ratings that cause a refresh, as a share of the weight of all ratings.
CHANGED_RATINGS = 0.005
# New answers that cause a refresh, as a share of those at the last refresh.
CHANGED_ANSWERS = 0.1
MAX_ENTRIES = 256  # Bounds the entries, because callers choose kinds freely.


@attrs.frozen
class PolicySet:
    """Lower hulls of cost over quality, cheapest policy first.

    Attributes:
        expected: Hull of all policies by their expected quality.
        optimistic: Hull of all policies by their optimistic quality, for
            exploration.
        singles: Hull of the policies that never escalate.
        optimistic_as_expected: The policies of ``optimistic`` with their
            expected quality.
        qualities: Expected share of good answers by version.
    """

    expected: tuple[cascade.Policy, ...]
    optimistic: tuple[cascade.Policy, ...]
    singles: tuple[cascade.Policy, ...]
    optimistic_as_expected: tuple[cascade.Policy, ...]
    qualities: dict[str, float]

    def exploration_plan(self, target: float) -> cascade.Plan:
        """Returns the plan of the requests that explore."""
        return cascade.plan_from_hull(self.optimistic, target)

    def default_plan(
        self, safe_target: float, exploration: cascade.Plan
    ) -> cascade.Plan:
        """Returns the plan of the other requests.

        Args:
            safe_target: Target share of good answers, margin included.
            exploration: The exploration plan, whose quality loss is offset.
        """
        target = cascade.offset_exploration(
            safe_target, exploration, self.optimistic_as_expected
        )
        return cascade.plan_from_hull(self.expected, target)

    def session_plan(self, safe_target: float) -> cascade.Plan:
        """Returns the plan of sessions, which cannot escalate."""
        return cascade.plan_from_hull(self.singles, safe_target)


@attrs.frozen
class _Entry:
    """A cache entry and the state of its inputs."""

    menu: PolicySet
    rows: tuple[model.Version, ...]
    made_at: float
    ratings: int
    answers: int
    silent: frozenset[str]


@attrs.define(eq=False)
class PolicyCache:
    """Cache of policy hulls.

    Attributes:
        estimates: Quality estimates from ratings.
        entries: Cache entries by kind of request and keys of the versions.
        computed: Number of entries computed.
        next_refresh_at: Earliest time of the next refresh of any entry.
    """

    estimates: quality_estimates.QualityEstimates
    entries: dict[tuple[str, tuple[str, ...]], _Entry] = attrs.field(
        factory=dict
    )
    computed: int = 0
    next_refresh_at: float = 0.0

    def get(
        self,
        rows: tuple[model.Version, ...],
        kind: str,
        tokens: tuple[float, float],
        now: float,
    ) -> PolicySet:
        """Returns the policies for a kind of request.

        Args:
            rows: At least one version that may be called.
            kind: Kind of the request.
            tokens: Average prompt and output tokens of this kind.
            now: Current time.
        """
        key = (kind, tuple(row.key for row in rows))
        entry = self.entries.get(key)
        if entry is not None and entry.rows == rows:
            if not self._needs_refresh(entry, now):
                return entry.menu
            self.next_refresh_at = now + MIN_REFRESH_INTERVAL_S
        if len(self.entries) >= MAX_ENTRIES:
            self.entries.clear()
        self.computed += 1
        menu = compute_policies(self.estimates, rows, kind, tokens)
        self.entries[key] = _Entry(
            menu,
            rows,
            now,
            self.estimates.rating_count,
            self.estimates.answer_count,
            frozenset(self.estimates.without_confidence),
        )
        return menu

    def _needs_refresh(self, entry: _Entry, now: float) -> bool:
        if now < self.next_refresh_at or now < entry.made_at + MIN_AGE_S:
            return False
        return now >= entry.made_at + MAX_AGE_S or self._has_changed(entry)

    def _has_changed(self, entry: _Entry) -> bool:
        ratings = self.estimates.rating_count - entry.ratings
        answers = self.estimates.answer_count - entry.answers
        return (
            ratings >= max(1.0, CHANGED_RATINGS * self.estimates.weight)
            or answers > CHANGED_ANSWERS * entry.answers
            or entry.silent != self.estimates.without_confidence
        )


def compute_policies(
    estimates: quality_estimates.QualityEstimates,
    rows: tuple[model.Version, ...],
    kind: str,
    tokens: tuple[float, float],
) -> PolicySet:
    """Computes the policies from the current quality estimates."""
    deviations = (0.0, cascade.EXPLORATION_Z)
    pairs = [
        cascade.make_profiles(estimates, row, kind, tokens, deviations)
        for row in rows
    ]
    means = [mean for mean, _ in pairs]
    expected = cascade.all_policies(means)
    optimistic = cascade.lower_hull(
        cascade.all_policies([raised for _, raised in pairs])
    )
    explored = {policy.steps for policy in optimistic}
    return PolicySet(
        tuple(cascade.lower_hull(expected)),
        tuple(optimistic),
        tuple(cascade.lower_hull(cascade.single_version_policies(means))),
        tuple(policy for policy in expected if policy.steps in explored),
        {row.key: estimates.kind_estimate(row, kind).mean for row in rows},
    )
