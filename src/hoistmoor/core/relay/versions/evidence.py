"""Response counts of a rollout, and the statistical test applied to them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import durations as durations_lib

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

# Responses of the target version required for the test: fewer may all come from
# a single failing server.
MIN_RESPONSES = 8
# Log-likelihood ratio from which a version counts as bad. A good version
# reaches it in about 1 of 400 evaluations, and four failures in eight responses
# do if one in thirty responses of the other versions fails.
BAD_THRESHOLD = 6.0
# The same for doubtful versions; a good one reaches it in 1 of 7 evaluations.
DOUBT_THRESHOLD = 2.0
# Factor and increase over the baseline rate that are tolerated regardless of
# the likelihood ratio: a version is not bad because one of six servers fails
# half of its requests.
RATE_FACTOR = 2.0
RATE_SLACK = 0.1
# Baseline rate that is assumed before other versions were seen, and its weight
# as a number of responses.
PRIOR_RATE = 0.05
PRIOR_RESPONSES = 6
# Limits of the estimated baseline rate.
MIN_BASELINE_RATE = 0.03
MAX_BASELINE_RATE = 0.99


@attrs.define
class Tally:
    """Response counts of one version on one route.

    Attributes:
        answers: Complete responses, responses discarded in favor of a larger
            model, and requests that timed out without a response.
        failures: Responses that report a server failure.
        slow: Responses that took several times the average time, or never
            started. Hosts of earlier versions judge the target by it; here it
            only tells whether the other versions are broken.
        durations: Times of all attempts, including those that still run, by
            stage. Hosts of earlier versions send none.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0
    durations: dict[str, durations_lib.Durations] = attrs.field(factory=dict)

    def add(self, other: Tally) -> None:
        """Adds the counts of another host."""
        self.answers += other.answers
        self.failures += other.failures
        self.slow += other.slow
        durations_lib.add_all(self.durations, other.durations)

    @property
    def attempts(self) -> int:
        """Number of attempts whose times are known."""
        return sum(each.total for each in self._first_stages())

    @property
    def served(self) -> int:
        """Number of attempts that got a response, or its first part.

        Hosts of earlier versions only count complete responses.
        """
        reached = sum(each.total_reached for each in self._first_stages())
        return max(reached, self.answers - self.failures)

    def _first_stages(self) -> Iterator[durations_lib.Durations]:
        for stage in attempt_times.FIRST_STAGES:
            if stage in self.durations:
                yield self.durations[stage]


@attrs.frozen
class RouteEvidence:
    """Counts of the target version and of all other versions on one route."""

    target: Tally = attrs.field(factory=Tally)
    others: Tally = attrs.field(factory=Tally)


@attrs.frozen
class Evidence:
    """Counts of one rollout by one process of one host.

    Attributes:
        service: Service that is rolled out.
        number: Number of the rollout order.
        host: Name of the host and its process.
        routes: Counts by route name.
        taken_at: Seconds since that process read the order, at which the counts
            were taken; 0 from hosts of earlier versions.
    """

    service: str
    number: int
    host: str
    routes: dict[str, RouteEvidence] = attrs.field(factory=dict)
    taken_at: float = 0.0

    @property
    def has_target(self) -> bool:
        """Whether any attempt went to the target version."""
        return any(
            route.target.answers or route.target.attempts
            for route in self.routes.values()
        )


class EvidenceRegistry:
    """Newest counts of each process of each host.

    Of two copies, the one taken later is newer, regardless of how each was
    received. If that is unknown, it is the one with more responses, as these
    only increase.
    """

    def __init__(self) -> None:
        self._newest: dict[tuple[str, str], Evidence] = {}

    def merge(self, evidence: Evidence) -> None:
        """Stores counts unless newer ones are known."""
        key = (evidence.service, evidence.host)
        known = self._newest.get(key)
        if known is None or _recency(known) <= _recency(evidence):
            self._newest[key] = evidence

    def for_order(self, service: str, number: int) -> list[Evidence]:
        """Returns the counts of all hosts for one rollout.

        Args:
            service: Service that is rolled out.
            number: Number of the rollout order.
        """
        return [
            evidence
            for evidence in self._newest.values()
            if evidence.service == service and evidence.number == number
        ]


def _recency(evidence: Evidence) -> tuple[int, float, int]:
    answers = sum(
        route.target.answers + route.others.answers
        for route in evidence.routes.values()
    )
    return evidence.number, evidence.taken_at, answers


def pool_evidence(all_evidence: list[Evidence]) -> dict[str, RouteEvidence]:
    """Returns the sums of the counts of several hosts, by route."""
    pooled: dict[str, RouteEvidence] = {}
    for evidence in all_evidence:
        for name, route in evidence.routes.items():
            sums = pooled.setdefault(name, RouteEvidence())
            sums.target.add(route.target)
            sums.others.add(route.others)
    return pooled


def group_by_order(
    all_evidence: tuple[Evidence, ...],
) -> dict[int, list[Evidence]]:
    """Groups the counts of several hosts by order number."""
    grouped: dict[int, list[Evidence]] = {}
    for evidence in all_evidence:
        grouped.setdefault(evidence.number, []).append(evidence)
    return grouped


def format_counts(pooled: Mapping[str, RouteEvidence]) -> str:
    """Formats counts for a log line: answers/failures/slow, target first."""
    texts = []
    for name, route in sorted(pooled.items()):
        target, others = route.target, route.others
        texts.append(
            f"{name}={target.answers}/{target.failures}/{target.slow}"
            f" of {others.answers}/{others.failures}/{others.slow}"
        )
    return "; ".join(texts)


def is_bad(routes: Mapping[str, RouteEvidence]) -> bool:
    """Returns whether the target fails more often than the other versions.

    A version may be bad on a single route, and a trial yields few responses.
    The test is therefore applied to each route and to the total: nine failures
    in 22 responses on three routes stop a trial, although no route has enough
    responses by itself.

    Args:
        routes: Counts by route name.
    """
    return _exceeds_baseline(routes, BAD_THRESHOLD)


def is_doubtful(routes: Mapping[str, RouteEvidence]) -> bool:
    """Returns whether the target needs more evidence before it is promoted."""
    return _exceeds_baseline(routes, DOUBT_THRESHOLD)


def _exceeds_baseline(
    routes: Mapping[str, RouteEvidence], threshold: float
) -> bool:
    total = RouteEvidence()
    for route in routes.values():
        total.target.add(route.target)
        total.others.add(route.others)
    return any(
        _is_route_worse(route, threshold) for route in (total, *routes.values())
    )


def _is_route_worse(route: RouteEvidence, threshold: float) -> bool:
    target, others = route.target, route.others
    return _is_rate_higher(
        target.failures,
        target.answers,
        others.failures,
        others.answers,
        threshold,
    )


def _is_rate_higher(
    bad: int,
    answers: int,
    baseline_bad: int,
    baseline_answers: int,
    threshold: float,
) -> bool:
    """Returns whether ``bad`` of ``answers`` exceeds the baseline rate.

    The rate must be well above the baseline, and the log-likelihood ratio of
    the two rates must reach ``threshold``.
    """
    baseline = (baseline_bad + PRIOR_RATE * PRIOR_RESPONSES) / (
        baseline_answers + PRIOR_RESPONSES
    )
    baseline = min(max(baseline, MIN_BASELINE_RATE), MAX_BASELINE_RATE)
    if answers < MIN_RESPONSES:
        return False
    rate = bad / answers
    if rate <= RATE_FACTOR * baseline + RATE_SLACK:
        return False
    ratio = bad * math.log(rate / baseline)
    if bad < answers:
        good = answers - bad
        ratio += good * math.log((1.0 - rate) / (1.0 - baseline))
    return ratio >= threshold
