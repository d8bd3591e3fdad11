"""The versions that may serve a client account.

Everything that does not depend on the individual request is computed once per
table revision, withdrawal or change of quality estimates, and reused by the
requests that follow.
"""

from __future__ import annotations

import itertools
import statistics

import attrs

from hoistmoor.core.routing import cascade
from hoistmoor.core.routing import degradation
from hoistmoor.core.routing import messages
from hoistmoor.core.routing import policy_cache as policy_cache_lib
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import rollout
from hoistmoor.core.table import limits
from hoistmoor.core.table import model

NEW_WORK_STAGES = frozenset({model.Stage.ACTIVE, model.Stage.CANDIDATE})
PLAN_TTL_S = 5.0  # Maximum delay before new estimates affect a plan.
_STAGE_VERDICTS = {
    model.Stage.DRAINING: "draining: its sessions only",
    model.Stage.WITHDRAWN: "withdrawn by the operators",
}


@attrs.frozen
class ModelOptions:
    """The versions of one model that an account may use.

    Attributes:
        weights: Key and weight of each version; the weight of a candidate is
            derived from its rollout share.
        totals: Cumulative sums of the weights.
        notes: Why each version is included or excluded.
    """

    weights: tuple[tuple[str, float], ...]
    totals: tuple[float, ...]
    notes: tuple[messages.CandidateNote, ...]


@attrs.frozen
class AutoOptions:
    """The plans of the model ``auto`` for one account and kind of request.

    Attributes:
        default_plan: Plan of most requests.
        exploration_plan: Plan of the requests that explore.
        session_plan: Plan of sessions, which keep one version and therefore
            cannot escalate.
        fallbacks: Versions to use if the planned one has no capacity.
        candidates: Unproven candidate and its share of the requests, by key
            of the version that it replaces for them.
        notes: Why each version is included or excluded.
    """

    default_plan: cascade.Plan
    exploration_plan: cascade.Plan
    session_plan: cascade.Plan
    fallbacks: tuple[str, ...]
    candidates: dict[str, tuple[str, float]]
    notes: tuple[messages.CandidateNote, ...]


@attrs.define
class OptionsCatalog:
    """Computes the options of each account from the table in force.

    Attributes:
        table: The table in force.
        estimates: Quality estimates from ratings.
        monitor: Withdrawals of degraded versions.
        progress: Rollout progress of the candidates.
        tokens: Average prompt and output tokens by kind of request.
        policies: Policies for planning, shared by the accounts.
    """

    table: model.Table
    estimates: quality_estimates.QualityEstimates
    monitor: degradation.DegradationMonitor
    progress: rollout.RolloutProgress
    tokens: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    policies: policy_cache_lib.PolicyCache = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates an empty policy cache."""
        self.policies = policy_cache_lib.PolicyCache(self.estimates)

    @property
    def margin_z(self) -> float:
        """Standard deviations of quality included in the margin of a plan."""
        confidence = limits.value(self.table, "quality_confidence")
        return statistics.NormalDist().inv_cdf(confidence)

    def exclusion_reason(
        self, account: str, row: model.Version, kind: str
    ) -> str:
        """Returns why ``row`` is excluded from new work; empty if it is not."""
        if self.table.grant_for(account, row) is None:
            return "not granted"
        if row.stage not in NEW_WORK_STAGES:
            return _STAGE_VERDICTS[row.stage]
        if self.monitor.is_withdrawn(row.key, kind):
            return "withdrawn on evidence"
        return ""

    def can_keep(self, account: str, key: str, kind: str) -> bool:
        """Returns whether a session may stay on version ``key``."""
        row = self.table.versions.get(key)
        return (
            row is not None
            and row.stage is not model.Stage.WITHDRAWN
            and self.table.grant_for(account, row) is not None
            and not self.monitor.is_withdrawn(key, kind)
        )

    def model_options(self, account: str, name: str, kind: str) -> ModelOptions:
        """Returns the options for requests that name a model.

        Args:
            account: Name of the client account.
            name: Name of the model.
            kind: Kind of the request.
        """
        rows = self.table.versions_by_model.get(name, ())
        notes = []
        weights = []
        for row in rows:
            verdict = self.exclusion_reason(account, row, kind)
            if not verdict:
                weights.append((row.key, self._weight(row, rows)))
            text = verdict or "weighed by its share"
            notes.append(messages.CandidateNote(row.key, "", text))
        totals = itertools.accumulate(weight for _, weight in weights)
        return ModelOptions(tuple(weights), tuple(totals), tuple(notes))

    def _weight(
        self, row: model.Version, rows: tuple[model.Version, ...]
    ) -> float:
        if row.stage is not model.Stage.CANDIDATE:
            return row.weight
        others = sum(r.weight for r in rows if r.stage is model.Stage.ACTIVE)
        if not others:
            return row.weight
        share = self.progress.share(row, others, self.estimates)
        return others * share / max(1e-9, 1.0 - share)

    def auto_options(
        self, account: str, kind: str, now: float
    ) -> AutoOptions | None:
        """Returns the options for ``auto``; None if no version is allowed."""
        verdicts = {
            key: self.exclusion_reason(account, row, kind)
            for key, row in self.table.versions.items()
        }
        usable = [
            row for key, row in self.table.versions.items() if not verdicts[key]
        ]
        plannable = [row for row in usable if not self._is_unproven(row)]
        if not plannable:
            plannable = usable
        if not plannable:
            return None
        tokens = self.tokens.get(kind, (200.0, 150.0))
        target = self.target(account)
        menu = self.policies.get(tuple(plannable), kind, tokens, now)
        safe_target = target + self.estimates.margin(
            kind, target, self.margin_z
        )
        exploring = menu.exploration_plan(target)
        cautious = menu.default_plan(safe_target, exploring)
        return AutoOptions(
            cautious,
            exploring,
            menu.session_plan(safe_target),
            _fallbacks(plannable, menu, target, tokens),
            self._candidates(usable, plannable),
            self._notes(verdicts, kind, tokens, menu, cautious),
        )

    def target(self, account: str) -> float:
        """Returns the highest quality target of the account's grants."""
        return max(
            (
                grant.quality_target
                for grant in self.table.grants.values()
                if grant.account == account
            ),
            default=0.0,
        )

    def _is_unproven(self, row: model.Version) -> bool:
        return (
            row.stage is model.Stage.CANDIDATE
            and not self.progress.is_proven(row, self.estimates)
        )

    def _candidates(
        self, usable: list[model.Version], plannable: list[model.Version]
    ) -> dict[str, tuple[str, float]]:
        """Returns the unproven candidates by the versions they replace."""
        found: dict[str, tuple[str, float]] = {}
        for row in usable:
            if not self._is_unproven(row):
                continue
            siblings = [r for r in plannable if r.model == row.model]
            others = sum(r.weight for r in siblings)
            share = self.progress.share(row, others, self.estimates)
            for sibling in siblings or plannable:
                found[sibling.key] = (row.key, share)
        return found

    def _notes(
        self,
        verdicts: dict[str, str],
        kind: str,
        tokens: tuple[float, float],
        menu: policy_cache_lib.PolicySet,
        plan: cascade.Plan,
    ) -> tuple[messages.CandidateNote, ...]:
        planned = {
            policy.start: f"planned: {policy.describe()}"
            for policy in (plan.cheaper, plan.better)
        }
        notes = []
        for key, verdict in verdicts.items():
            row = self.table.versions[key]
            text = verdict
            if not verdict:
                quality = menu.qualities.get(key)
                if quality is None:
                    quality = self.estimates.kind_estimate(row, kind).mean
                text = planned.get(key, "dearer, or short of the target")
                text = f"{text}; quality {quality:.3f}"
            price = cascade.expected_cost(row, tokens)
            notes.append(messages.CandidateNote(key, "", text, price))
        return tuple(notes)


def _fallbacks(
    rows: list[model.Version],
    menu: policy_cache_lib.PolicySet,
    target: float,
    tokens: tuple[float, float],
) -> tuple[str, ...]:
    """Returns the order in which versions are tried as fallbacks.

    Versions that meet the target come first, by cost. The others follow by
    decreasing quality.
    """

    def sort_key(row: model.Version) -> tuple[bool, float]:
        quality = menu.qualities[row.key]
        if quality >= target:
            return False, cascade.expected_cost(row, tokens)
        return True, -quality

    return tuple(row.key for row in sorted(rows, key=sort_key))
