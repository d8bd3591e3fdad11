"""Planning of cascades that meet a quality target at the lowest cost.

A policy calls one version and escalates to a second one if the confidence of
the first answer is below a threshold bucket. The expected cost of a policy is
the cost of the first version plus the escalation probability times the cost
of the second; its expected quality is summed over the confidence buckets. A
plan mixes the two policies adjacent to the target on the lower convex hull of
cost over quality, so that it meets the target without exceeding it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hoistmoor.core.routing import quality_estimates
    from hoistmoor.core.table import model

ACCEPT_ALL = 0  # Threshold of a policy that never escalates.
# Standard deviations that the exploration plan adds to expected quality.
EXPLORATION_Z = 2.0
# Change of one version's log odds of a good answer per unit of change in
# another's, for requests in the same confidence bucket.
SHARED_DIFFICULTY = 0.8
EXPLORATION_SHARE = 0.1  # Share of requests that follow the exploration plan.


@attrs.frozen
class Policy:
    """A first version and the condition for escalation from it.

    Attributes:
        start: Key of the first version.
        threshold: Confidence buckets below this one escalate; 0 for none.
        then: Key of the version to escalate to; empty if there is none.
        cost: Expected micros per request.
        quality: Expected share of good answers, shifted by the number of
            standard deviations that the policy was planned with.
    """

    start: str
    threshold: int
    then: str
    cost: float
    quality: float

    @property
    def steps(self) -> tuple[str, int, str]:
        """The policy's versions and threshold, without its estimates."""
        return self.start, self.threshold, self.then

    def describe(self) -> str:
        """Returns a short human-readable description."""
        if not self.then:
            return f"{self.start} alone"
        return f"{self.start}, then {self.then} below bucket {self.threshold}"


@attrs.frozen
class Plan:
    """A mix of two policies.

    Attributes:
        cheaper: The policy with a quality at or below the target.
        better: The policy with a quality at or above the target.
        better_share: Share of requests that follow ``better``.
        meets_target: Whether the mix is expected to meet the target.
    """

    cheaper: Policy
    better: Policy
    better_share: float
    meets_target: bool

    def policy(self, uniform: float) -> Policy:
        """Returns the policy for a request.

        Args:
            uniform: The request's random number in [0, 1).
        """
        return self.better if uniform < self.better_share else self.cheaper

    @property
    def cost(self) -> float:
        """Expected micros per request."""
        gap = self.better.cost - self.cheaper.cost
        return self.cheaper.cost + self.better_share * gap


@attrs.frozen
class Profile:
    """Estimates for one version and one kind of request.

    Attributes:
        key: Key of the version.
        cost: Expected micros per answer.
        quality: Expected share of good answers over all buckets.
        bucket_shares: Share of the version's answers in each confidence bucket.
        bucket_qualities: Expected share of good answers in each bucket.
        lacks_confidence: Whether the version's engines report no confidence.
    """

    key: str
    cost: float
    quality: float
    bucket_shares: tuple[float, ...]
    bucket_qualities: tuple[float, ...]
    lacks_confidence: bool = False


def make_profiles(
    estimates: quality_estimates.QualityEstimates,
    row: model.Version,
    kind: str,
    tokens: tuple[float, float],
    deviations: Sequence[float],
) -> list[Profile]:
    """Returns a version's profiles, one for each of ``deviations``.

    Args:
        estimates: Quality estimates from ratings.
        row: The version.
        kind: Kind of the request.
        tokens: Average prompt and output tokens of this kind.
        deviations: Standard deviations added to the expected quality; a
            negative value gives a pessimistic profile.
    """
    shares = estimates.bucket_shares(row, kind)
    means = [
        estimate.mean for estimate in estimates.bucket_estimates(row, kind)
    ]
    mean = _dot(shares, means)
    overall = estimates.kind_estimate(row, kind)
    # Only answers above the escalation threshold are delivered and rated, so
    # the kind's own ratings are biased upwards. Those of the buckets are not.
    offset = 0.0 if estimates.has_confidence(row, kind) else overall.mean - mean
    found = []
    for z in deviations:
        # The errors of the buckets are independent, and that of their sum is
        # the error of the overall estimate, which is therefore distributed.
        shift = overall.bound(z) - overall.mean
        by_bucket = _distribute_shift(means, shares, shift)
        found.append(
            Profile(
                row.key,
                expected_cost(row, tokens),
                _clamp(mean + offset + shift),
                tuple(shares),
                tuple(_clamp(value + offset) for value in by_bucket),
                row.key in estimates.without_confidence,
            )
        )
    return found


def _clamp(share: float) -> float:
    return min(1.0, max(0.0, share))


def _distribute_shift(
    means: list[float], shares: list[float], shift: float
) -> list[float]:
    """Distributes a shift of the overall mean over the buckets.

    Each bucket gets a part in proportion to its standard deviation.
    """
    deviations = [math.sqrt(max(1e-6, mean * (1.0 - mean))) for mean in means]
    total = sum(
        share * deviation
        for share, deviation in zip(shares, deviations, strict=True)
    )
    return [
        mean + shift * deviation / total
        for mean, deviation in zip(means, deviations, strict=True)
    ]


def expected_cost(row: model.Version, tokens: tuple[float, float]) -> float:
    """Returns the expected micros per answer."""
    prompt, output = tokens
    return (prompt * row.input_price + output * row.output_price) / 1000.0


def single_version_policies(profiles: Sequence[Profile]) -> list[Policy]:
    """Returns the policies that accept any answer of a single version."""
    return [Policy(p.key, ACCEPT_ALL, "", p.cost, p.quality) for p in profiles]


def all_policies(profiles: Sequence[Profile]) -> list[Policy]:
    """Returns all policies with one or two versions."""
    found = single_version_policies(profiles)
    for first in profiles:
        if first.lacks_confidence:
            continue
        difficulty_factors = _difficulty_factors(first)
        for second in profiles:
            if first.cost < second.cost:
                found.extend(
                    _two_step_policies(first, second, difficulty_factors)
                )
    return found


def _two_step_policies(
    first: Profile, second: Profile, difficulty_factors: list[float]
) -> list[Policy]:
    quality_after = _quality_after_escalation(first, second, difficulty_factors)
    quality = _dot(first.bucket_shares, first.bucket_qualities)
    found = []
    escalated = 0.0
    for threshold in range(1, len(first.bucket_shares)):
        bucket = threshold - 1
        share = first.bucket_shares[bucket]
        escalated += share
        quality += share * (
            quality_after[bucket] - first.bucket_qualities[bucket]
        )
        cost = first.cost + escalated * second.cost
        found.append(Policy(first.key, threshold, second.key, cost, quality))
    return found


def _difficulty_factors(first: Profile) -> list[float]:
    """Returns the factors on a second version's odds by bucket of ``first``.

    Requests that are difficult for one version are mostly difficult for
    others too.
    """
    mean = _log_odds(_dot(first.bucket_shares, first.bucket_qualities))
    return [
        math.exp(SHARED_DIFFICULTY * (_log_odds(quality) - mean))
        for quality in first.bucket_qualities
    ]


def _quality_after_escalation(
    first: Profile, second: Profile, difficulty_factors: list[float]
) -> list[float]:
    """Returns the quality of ``second`` by confidence bucket of ``first``.

    The result is scaled so that its mean over all buckets is the overall
    quality of ``second``.
    """
    odds = math.exp(_log_odds(second.quality))
    bad = [1.0 / (1.0 + odds * factor) for factor in difficulty_factors]
    scale = (1.0 - second.quality) / max(1e-9, _dot(first.bucket_shares, bad))
    return [1.0 - min(1.0, scale * share) for share in bad]


def _log_odds(share: float) -> float:
    share = min(0.998, max(0.002, share))
    return math.log(share / (1.0 - share))


def _dot(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))


def make_plan(candidates: Sequence[Policy], target: float) -> Plan:
    """Returns the cheapest mix of policies that meets ``target``.

    Args:
        candidates: At least one policy.
        target: Target share of good answers.

    Returns:
        The plan, or that of the highest quality if none meets the target.
    """
    return plan_from_hull(lower_hull(candidates), target)


def plan_from_hull(options: Sequence[Policy], target: float) -> Plan:
    """Returns the cheapest plan for ``target`` from a precomputed hull."""
    best = options[-1]
    if best.quality < target:
        return Plan(best, best, 1.0, meets_target=False)
    if options[0].quality >= target:
        return Plan(options[0], options[0], 1.0, meets_target=True)
    index = next(i for i, p in enumerate(options) if p.quality >= target)
    below, above = options[index - 1], options[index]
    share = (target - below.quality) / (above.quality - below.quality)
    return Plan(below, above, share, meets_target=True)


def offset_exploration(
    target: float, exploring: Plan, expected: Sequence[Policy]
) -> float:
    """Returns the target that offsets the quality lost to exploration.

    Args:
        target: Target share of good answers over all requests.
        exploring: The plan of the requests that explore.
        expected: The policies of ``exploring`` with their expected quality.
    """
    quality = {policy.steps: policy.quality for policy in expected}

    def quality_of(policy: Policy) -> float:
        return quality[policy.steps]

    share = exploring.better_share
    reached = share * quality_of(exploring.better)
    reached += (1.0 - share) * quality_of(exploring.cheaper)
    shortfall = max(0.0, target - reached)
    return target + shortfall * EXPLORATION_SHARE / (1.0 - EXPLORATION_SHARE)


def lower_hull(candidates: Sequence[Policy]) -> list[Policy]:
    """Returns the lower convex hull of cost over quality, cheapest first."""
    ordered = sorted(candidates, key=lambda p: (p.cost, -p.quality))
    found: list[Policy] = []
    for policy in ordered:
        if found and policy.quality <= found[-1].quality:
            continue
        while len(found) > 1 and _is_above_hull(found[-2], found[-1], policy):
            found.pop()
        found.append(policy)
    return found


def _is_above_hull(left: Policy, middle: Policy, right: Policy) -> bool:
    """Returns whether a mix of the outer two is no costlier than ``middle``."""
    return (middle.cost - left.cost) * (right.quality - left.quality) >= (
        right.cost - left.cost
    ) * (middle.quality - left.quality)
