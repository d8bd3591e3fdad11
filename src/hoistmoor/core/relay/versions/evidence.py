"""What hosts have counted of the answers in a roll-out, and what it proves."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

# Answers of the target before they are judged: fewer may all come from one
# server that fails.
MIN_ANSWERS = 8
# Natural logarithm of the likelihood ratio at which a version is bad: a good
# one is taken for bad in about one look of 400. Four failures of eight answers
# reach it, where the others fail one time in thirty.
CERTAIN = 6.0
DOUBT = 2.0  # The same at which a version must prove more: one look in seven.
# Times the old version's share of bad answers, and this share more, that are
# allowed whatever the proof: one server of six that fails half of its requests
# does not make a version bad.
SHARE_FACTOR = 2.0
SHARE_SLACK = 0.1
# Before the old version was seen, one answer in twenty is taken to be bad,
# with the weight of so many answers.
PRIOR_SHARE = 0.05
PRIOR_ANSWERS = 6
LEAST_USUAL = 0.03  # Share below which no old version is believed to be.
MOST_USUAL = 0.99


@attrs.define
class Tally:
    """Answers of one version on one route.

    Attributes:
        answers: Whole answers, those that were dropped for a larger model's,
            and requests that were given up after a long silence.
        failures: Those that said that the server failed.
        slow: Those that took several times the usual time, or never began.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0

    def add(self, other: Tally) -> None:
        """Adds another host's counts."""
        self.answers += other.answers
        self.failures += other.failures
        self.slow += other.slow


@attrs.frozen
class RouteEvidence:
    """Answers on one route: of the target, and of the versions before it."""

    target: Tally = attrs.field(factory=Tally)
    others: Tally = attrs.field(factory=Tally)


@attrs.frozen
class Evidence:
    """What one run of one host has counted in one roll-out.

    Attributes:
        service: The service.
        number: Number of the order.
        host: Name of the host and of its run.
        routes: Counts by the route's name.
    """

    service: str
    number: int
    host: str
    routes: dict[str, RouteEvidence] = attrs.field(factory=dict)

    @property
    def target_answers(self) -> int:
        """Answers of the version that is rolled out."""
        return sum(route.target.answers for route in self.routes.values())


class EvidenceBook:
    """The newest counts of each run of each host.

    Counts only grow, so of two copies the one with more answers is newer,
    whatever way each came.
    """

    def __init__(self) -> None:
        self._newest: dict[tuple[str, str], Evidence] = {}

    def take(self, evidence: Evidence) -> None:
        """Takes the counts of one run of a host."""
        key = (evidence.service, evidence.host)
        known = self._newest.get(key)
        if known is None or _age_rank(known) <= _age_rank(evidence):
            self._newest[key] = evidence

    def of(self, service: str, number: int) -> list[Evidence]:
        """Returns the counts of all hosts in one roll-out.

        Args:
            service: The service.
            number: Number of the order.
        """
        return [
            evidence
            for evidence in self._newest.values()
            if evidence.service == service and evidence.number == number
        ]


def _age_rank(evidence: Evidence) -> tuple[int, int]:
    answers = sum(
        route.target.answers + route.others.answers
        for route in evidence.routes.values()
    )
    return evidence.number, answers


def pool(all_evidence: list[Evidence]) -> dict[str, RouteEvidence]:
    """Returns the counts of several hosts, added up by route."""
    pooled: dict[str, RouteEvidence] = {}
    for evidence in all_evidence:
        for name, route in evidence.routes.items():
            sums = pooled.setdefault(name, RouteEvidence())
            sums.target.add(route.target)
            sums.others.add(route.others)
    return pooled


def by_order(
    all_evidence: tuple[Evidence, ...],
) -> dict[int, list[Evidence]]:
    """Returns the counts of several hosts by the number of the order."""
    grouped: dict[int, list[Evidence]] = {}
    for evidence in all_evidence:
        grouped.setdefault(evidence.number, []).append(evidence)
    return grouped


def text_of(pooled: Mapping[str, RouteEvidence]) -> str:
    """Returns counts for a log line: answers/failures/slow, target first."""
    texts = []
    for name, route in sorted(pooled.items()):
        target, others = route.target, route.others
        texts.append(
            f"{name}={target.answers}/{target.failures}/{target.slow}"
            f" of {others.answers}/{others.failures}/{others.slow}"
        )
    return "; ".join(texts)


def is_bad(routes: Mapping[str, RouteEvidence]) -> bool:
    """Returns whether the target does worse than the versions before it.

    A version may be bad on one route only, and a trial's answers are few, so
    each route is judged by itself and all of them together: nine failures of
    22 answers on three routes stop a trial, though no route has enough alone.

    Args:
        routes: Counts by the route's name.
    """
    return _stands_out(routes, CERTAIN)


def is_doubtful(routes: Mapping[str, RouteEvidence]) -> bool:
    """Returns whether the target should prove more before it gets all work."""
    return _stands_out(routes, DOUBT)


def _stands_out(routes: Mapping[str, RouteEvidence], proof: float) -> bool:
    total = RouteEvidence()
    for route in routes.values():
        total.target.add(route.target)
        total.others.add(route.others)
    return any(_is_worse(route, proof) for route in (total, *routes.values()))


def _is_worse(route: RouteEvidence, proof: float) -> bool:
    target, others = route.target, route.others
    return _is_more(
        target.failures, target.answers, others.failures, others.answers, proof
    ) or _is_more(
        target.slow, target.answers, others.slow, others.answers, proof
    )


def _is_more(
    bad: int, answers: int, usual_bad: int, usual_answers: int, proof: float
) -> bool:
    """Returns whether ``bad`` of ``answers`` is more than usual.

    Two things must hold: the share is well above the usual one, and the
    logarithm of the likelihood ratio of the two shares reaches ``proof``.
    """
    usual = (usual_bad + PRIOR_SHARE * PRIOR_ANSWERS) / (
        usual_answers + PRIOR_ANSWERS
    )
    usual = min(max(usual, LEAST_USUAL), MOST_USUAL)
    if answers < MIN_ANSWERS:
        return False
    share = bad / answers
    if share <= SHARE_FACTOR * usual + SHARE_SLACK:
        return False
    ratio = bad * math.log(share / usual)
    if bad < answers:
        good = answers - bad
        ratio += good * math.log((1.0 - share) / (1.0 - usual))
    return ratio >= proof
