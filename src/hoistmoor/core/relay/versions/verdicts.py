"""Verdicts on the target version of a rollout, from the pooled counts.

A version is sound only if there is evidence for it: enough of its attempts on
each route with a notable part of the requests must be as fast, and fail as
rarely, as those of the other versions. Without that, it stays undecided.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import durations as durations_lib
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import slowness

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Log-likelihood ratios that decide, over all routes. By Wald's bounds, a bad
# version is found sound in 1 of 50 rollouts. The other bound is far lower, as
# attempts that run at the same time are slowed by the same load.
SOUND_EVIDENCE = 4.0
BAD_EVIDENCE = -8.0
# The same for one route: its servers alone may be cold or have long prompts.
BAD_ROUTE_EVIDENCE = -12.0
LIKELY_BAD_EVIDENCE = -3.0
# Attempts of the target version without which it is not found bad.
MIN_ATTEMPTS = 8
# The same for one route: three usual responses.
ROUTE_EVIDENCE = 2.0
# Fraction of the other versions' attempts from which a route must be proved by
# itself.
NOTABLE_FRACTION = 0.1
# Responses of the other versions, and the fraction of them that failed or never
# started, from which these versions are broken.
MIN_BROKEN_RESPONSES = 10
BROKEN_FRACTION = 0.5


class Verdict(enum.IntEnum):
    """What the counts say of the target version, from worst to best."""

    BAD = enum.auto()
    # More likely bad than not; only decides if time runs out.
    LIKELY_BAD = enum.auto()
    UNDECIDED = enum.auto()
    # Sound in total, and more likely so than not on each route.
    LIKELY_SOUND = enum.auto()
    SOUND = enum.auto()


@attrs.frozen
class RouteFindings:
    """Evidence of one route.

    Attributes:
        stages: Comparisons of durations by stage; those for which too little
            is known are left out.
        failures: Log-likelihood ratio of failures in favor of the target.
        is_notable: Whether the route must be proved by itself.
    """

    stages: dict[attempt_times.Stage, slowness.Comparison]
    failures: float
    is_notable: bool

    @property
    def weakest(self) -> float:
        """The weakest evidence of all kinds."""
        speeds = [each.evidence for each in self.stages.values()]
        return min([self.failures, *speeds])

    def has_evidence(self, required: float) -> bool:
        """Returns whether the evidence suffices for this route.

        Args:
            required: Log-likelihood ratio required of a notable route.
        """
        if not self.is_notable:
            return self.weakest >= 0.0
        return bool(self.stages) and self.weakest >= required


def examine(
    routes: Mapping[str, evidence_lib.RouteEvidence],
) -> dict[str, RouteFindings]:
    """Returns the evidence of each route.

    Args:
        routes: Counts of all hosts, by route name.
    """
    total = sum(route.others.attempts for route in routes.values())
    return {
        name: RouteFindings(
            _compare_stages(route),
            _weigh_failures(route),
            route.others.attempts >= NOTABLE_FRACTION * max(1, total),
        )
        for name, route in routes.items()
    }


def _compare_stages(
    route: evidence_lib.RouteEvidence,
) -> dict[attempt_times.Stage, slowness.Comparison]:
    target, others = route.target, route.others
    if others.answers >= MIN_BROKEN_RESPONSES and (
        others.failures + others.slow >= BROKEN_FRACTION * others.answers
    ):
        # An order that replaces a broken version has no speed to compare with.
        only = slowness.Comparison(
            attempts=target.served, usual_rate=slowness.MAX_RATE
        )
        return {attempt_times.Stage.RESPONSE: only}
    none = durations_lib.Durations()
    shows_pace = slowness.shows(
        others.durations.get(attempt_times.Stage.PACE, none)
    )
    margins = {
        attempt_times.Stage.RESPONSE: slowness.MARGIN_BUCKETS,
        attempt_times.Stage.FIRST: slowness.FIRST_EVENT_MARGIN
        if shows_pace
        else slowness.SHORT_STREAM_MARGIN,
        attempt_times.Stage.PACE: slowness.MARGIN_BUCKETS,
    }
    found = {}
    for stage, margin in margins.items():
        comparison = slowness.compare(
            target.durations.get(stage, none),
            others.durations.get(stage, none),
            margin,
        )
        if comparison is not None:
            found[stage] = comparison
    return found


def _weigh_failures(route: evidence_lib.RouteEvidence) -> float:
    target, others = route.target, route.others
    usual_rate = slowness.smoothed_rate(
        others.failures,
        others.failures + others.served,
        evidence_lib.PRIOR_RATE,
    )
    return slowness.weigh(
        target.failures, target.failures + target.served, usual_rate
    )


def judge(routes: Mapping[str, evidence_lib.RouteEvidence]) -> Verdict:
    """Returns the verdict on a target version.

    Args:
        routes: Counts of all hosts, by route name.
    """
    findings = examine(routes).values()
    speeds = _total_speeds(findings)
    if evidence_lib.is_bad(routes) or _is_slower(findings, speeds):
        return Verdict.BAD
    weakest = min((each.weakest for each in findings), default=0.0)
    if weakest <= LIKELY_BAD_EVIDENCE:
        return Verdict.LIKELY_BAD
    if (
        not speeds
        or _weakest_total(findings, speeds) < SOUND_EVIDENCE
        or weakest < 0.0
        or evidence_lib.is_doubtful(routes)
    ):
        return Verdict.UNDECIDED
    is_proved = all(each.has_evidence(ROUTE_EVIDENCE) for each in findings)
    return Verdict.SOUND if is_proved else Verdict.LIKELY_SOUND


def _total_speeds(
    findings: Iterable[RouteFindings],
) -> dict[attempt_times.Stage, tuple[float, float]]:
    """Returns the attempts and the evidence of each stage, over all routes."""
    totals: dict[attempt_times.Stage, tuple[float, float]] = {}
    for each in findings:
        for stage, comparison in each.stages.items():
            attempts, evidence = totals.get(stage, (0.0, 0.0))
            totals[stage] = (
                attempts + comparison.attempts,
                evidence + comparison.evidence,
            )
    return totals


def _weakest_total(
    findings: Iterable[RouteFindings],
    speeds: Mapping[attempt_times.Stage, tuple[float, float]],
) -> float:
    """Returns the weakest evidence of all kinds, each over all routes."""
    failures = sum(each.failures for each in findings)
    return min([failures, *(evidence for _, evidence in speeds.values())])


def _is_slower(
    findings: Iterable[RouteFindings],
    totals: Mapping[attempt_times.Stage, tuple[float, float]],
) -> bool:
    """Returns whether the target is slower in a stage of a route or of all."""
    for each in findings:
        for comparison in each.stages.values():
            is_known = comparison.attempts >= MIN_ATTEMPTS
            if is_known and comparison.evidence <= BAD_ROUTE_EVIDENCE:
                return True
    return any(
        attempts >= MIN_ATTEMPTS and evidence <= BAD_EVIDENCE
        for attempts, evidence in totals.values()
    )


def format_findings(
    routes: Mapping[str, evidence_lib.RouteEvidence],
) -> str:
    """Formats the evidence for a log line, by route and stage.

    Slow and all attempts of the target, the limit in seconds and the usual
    rate beyond it, and the log-likelihood ratio; that of failures at the end.
    """
    texts = []
    for name, each in sorted(examine(routes).items()):
        stages = ", ".join(
            f"{stage.value} {speed.slow:.1f}/{speed.attempts:.1f}"
            f" over {speed.limit:.2f}s usual {speed.usual_rate:.2f}"
            f" evidence {speed.evidence:.1f}"
            for stage, speed in each.stages.items()
        )
        texts.append(f"{name}={stages}, failures {each.failures:.1f}")
    return "; ".join(texts)
