"""What hosts have counted of the answers in a roll-out, and what it proves."""

from __future__ import annotations

import attrs

MIN_ANSWERS = 8  # Answers of one route before its share of failures counts.
MIN_BAD = 5  # Bad answers before a version is judged.
FAILURE_FACTOR = 2.0  # Times the old version's failures, and
FAILURE_SLACK = 0.1  # this share more, make a version bad.
SLOW_SHARE = 0.35  # Share of slow answers, above the old one's, that is bad.


@attrs.define
class Tally:
    """Answers of one version on one route.

    Attributes:
        answers: Whole answers.
        failures: Those that said that the server failed.
        slow: Those that took several times the usual time.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0

    def add(self, other: Tally) -> None:
        """Adds another host's counts."""
        self.answers += other.answers
        self.failures += other.failures
        self.slow += other.slow

    def share(self, count: int) -> float:
        """Returns ``count`` as a share of all answers."""
        return count / self.answers if self.answers else 0.0


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


def is_bad(route: RouteEvidence) -> bool:
    """Returns whether the target does worse on a route than the others."""
    target, others = route.target, route.others
    if target.answers < MIN_ANSWERS:
        return False
    usual = others.share(others.failures)
    if (
        target.failures >= MIN_BAD
        and target.share(target.failures)
        > FAILURE_FACTOR * usual + FAILURE_SLACK
    ):
        return True
    slower = target.share(target.slow) - others.share(others.slow)
    return target.slow >= MIN_BAD and slower > SLOW_SHARE
