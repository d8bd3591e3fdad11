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
from hoistmoor.core.routing import evidence
from hoistmoor.core.table import model

SHORTEST_LIFE_S = 5.0  # Minimum age before changed estimates are applied.
LONGEST_LIFE_S = 60.0  # Maximum age, regardless of changes.
LEAST_GAP_S = 0.25  # Minimum interval between refreshes over all entries.
# New ratings that cause a refresh, as a share of the weight of all ratings.
MOVED_RATINGS = 0.005
# New answers that cause a refresh, as a share of those at the last refresh.
MOVED_ANSWERS = 0.1
MOST_KEPT = 256  # Bounds the entries, because callers choose kinds freely.


@attrs.frozen
class Menu:
    """Lower hulls of cost over quality, cheapest policy first.

    Attributes:
        expected: Hull of all policies by their expected quality.
        hopeful: Hull of all policies by their optimistic quality, for
            exploration.
        singles: Hull of the policies that never escalate.
        explored: The policies of ``hopeful`` with their expected quality.
        qualities: Expected share of good answers by version.
    """

    expected: tuple[cascade.Policy, ...]
    hopeful: tuple[cascade.Policy, ...]
    singles: tuple[cascade.Policy, ...]
    explored: tuple[cascade.Policy, ...]
    qualities: dict[str, float]

    def exploring(self, target: float) -> cascade.Plan:
        """Returns the plan of the requests that explore."""
        return cascade.plan_on(self.hopeful, target)

    def cautious(self, wanted: float, exploring: cascade.Plan) -> cascade.Plan:
        """Returns the plan of the other requests.

        Args:
            wanted: Target share of good answers, margin included.
            exploring: The exploration plan, whose quality loss is offset.
        """
        target = cascade.made_up(wanted, exploring, self.explored)
        return cascade.plan_on(self.expected, target)

    def steady(self, wanted: float) -> cascade.Plan:
        """Returns the plan of sessions, which cannot escalate."""
        return cascade.plan_on(self.singles, wanted)


@attrs.frozen
class _Entry:
    """A cache entry and the state of its inputs."""

    menu: Menu
    rows: tuple[model.Version, ...]
    made_at: float
    ratings: int
    answers: int
    silent: frozenset[str]


@attrs.define(eq=False)
class Menus:
    """Cache of policy hulls.

    Attributes:
        known: Quality estimates from ratings.
        kept: Cache entries by kind of request and keys of the versions.
        made: Number of entries computed.
        next_at: Earliest time of the next refresh of any entry.
    """

    known: evidence.Evidence
    kept: dict[tuple[str, tuple[str, ...]], _Entry] = attrs.field(factory=dict)
    made: int = 0
    next_at: float = 0.0

    def of(
        self,
        rows: tuple[model.Version, ...],
        kind: str,
        tokens: tuple[float, float],
        now: float,
    ) -> Menu:
        """Returns the policies for a kind of request.

        Args:
            rows: At least one version that may be called.
            kind: Kind of the request.
            tokens: Average prompt and output tokens of this kind.
            now: Current time.
        """
        key = (kind, tuple(row.key for row in rows))
        entry = self.kept.get(key)
        if entry is not None and entry.rows == rows:
            if not self._needs_refresh(entry, now):
                return entry.menu
            self.next_at = now + LEAST_GAP_S
        if len(self.kept) >= MOST_KEPT:
            self.kept.clear()
        self.made += 1
        menu = make_menu(self.known, rows, kind, tokens)
        self.kept[key] = _Entry(
            menu,
            rows,
            now,
            self.known.revision,
            self.known.answers,
            frozenset(self.known.silent),
        )
        return menu

    def _needs_refresh(self, entry: _Entry, now: float) -> bool:
        if now < self.next_at or now < entry.made_at + SHORTEST_LIFE_S:
            return False
        return now >= entry.made_at + LONGEST_LIFE_S or self._has_changed(entry)

    def _has_changed(self, entry: _Entry) -> bool:
        ratings = self.known.revision - entry.ratings
        answers = self.known.answers - entry.answers
        return (
            ratings >= max(1.0, MOVED_RATINGS * self.known.weight)
            or answers > MOVED_ANSWERS * entry.answers
            or entry.silent != self.known.silent
        )


def make_menu(
    known: evidence.Evidence,
    rows: tuple[model.Version, ...],
    kind: str,
    tokens: tuple[float, float],
) -> Menu:
    """Computes the policies from the current quality estimates."""
    deviations = (0.0, cascade.EXPLORE_Z)
    pairs = [
        cascade.profiles(known, row, kind, tokens, deviations) for row in rows
    ]
    means = [mean for mean, _ in pairs]
    expected = cascade.policies(means)
    optimistic = cascade.hull(cascade.policies([raised for _, raised in pairs]))
    explored = {policy.steps for policy in optimistic}
    return Menu(
        tuple(cascade.hull(expected)),
        tuple(optimistic),
        tuple(cascade.hull(cascade.singles(means))),
        tuple(policy for policy in expected if policy.steps in explored),
        {row.key: known.of_kind(row, kind).mean for row in rows},
    )
