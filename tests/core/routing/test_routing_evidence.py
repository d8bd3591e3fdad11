"""Tests quality estimates, cascade plans and the detection of degradation."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
import routing_rows
from testtools import assertions
from testtools import matchers

from hoistmoor.core.routing import cascade
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import sequential

if TYPE_CHECKING:
    from conftest import MakeRouter
    from conftest import MakeTable

SMALL, MEDIUM, LARGE = routing_rows.DEFAULT_VERSIONS


@pytest.mark.parametrize(
    ("confidence", "escalated", "expected"),
    [
        (0.99, False, (9, False)),
        (0.1, True, (0, True)),
        (None, True, (-1, True)),
        (None, False, (-1, False)),
    ],
)
def test_answer_id_encodes_bucket_and_escalation(
    confidence: float | None, escalated: bool, expected: tuple[int, bool]
) -> None:
    tagged = quality_estimates.make_answer_id("h.1.2~x", confidence, escalated)
    assertions.assert_that(
        quality_estimates.parse_answer_id(tagged), matchers.Equals(expected)
    )
    assertions.assert_that(
        quality_estimates.parse_answer_id("foreign~99"),
        matchers.Equals((-1, False)),
    )


def test_estimates_start_at_prior_follow_ratings_and_decay() -> None:
    estimates = quality_estimates.QualityEstimates()
    first = estimates.kind_estimate(SMALL, "answer")
    assertions.assert_that(first.mean, matchers.Equals(0.8))
    for _ in range(200):
        bad = routing_rows.rating(SMALL.key, good=False)
        estimates.on_rating(bad, SMALL, 0.0)
    posterior = estimates.kind_estimate(SMALL, "answer")
    assert posterior.mean < 0.1
    assert posterior.variance < first.variance
    estimates.on_rating(
        routing_rows.rating(SMALL.key, good=True),
        SMALL,
        50 * quality_estimates.HALF_LIFE_S,
    )
    assert estimates.kind_estimate(SMALL, "answer").mean > 0.7


policy_lists = strategies.lists(
    strategies.builds(
        cascade.Policy,
        start=strategies.just("a"),
        threshold=strategies.just(0),
        then=strategies.just(""),
        cost=strategies.floats(1.0, 1000.0),
        quality=strategies.floats(0.0, 1.0),
    ),
    min_size=1,
    max_size=20,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(policies=policy_lists, target=strategies.floats(0.0, 1.0))
def test_plan_meets_target_and_no_single_policy_is_cheaper(
    policies: list[cascade.Policy], target: float
) -> None:
    plan = cascade.make_plan(policies, target)
    share = plan.better_share
    quality = share * plan.better.quality + (1 - share) * plan.cheaper.quality
    meeting = [p for p in policies if p.quality >= target]
    assert plan.meets_target == bool(meeting)
    if meeting:
        assert quality >= target - 1e-9
        assert plan.cost <= min(p.cost for p in meeting) + 1e-6
    else:
        assert plan.better.quality == max(p.quality for p in policies)


def test_cascade_is_planned_once_confidence_predicts_quality() -> None:
    estimates = quality_estimates.QualityEstimates()
    for number in range(600):
        is_confident = number % 4 > 0
        confidence = 0.97 if is_confident else 0.2
        answer = quality_estimates.make_answer_id(
            f"r{number}", confidence, False
        )
        estimates.on_answer(SMALL.key, "answer", confidence)
        estimates.on_rating(
            routing_rows.rating(SMALL.key, good=is_confident, answer=answer),
            SMALL,
            0.0,
        )
        escalated = quality_estimates.make_answer_id(f"e{number}", 0.9, True)
        estimates.on_rating(
            routing_rows.rating(
                LARGE.key, good=number % 10 > 0, answer=escalated
            ),
            LARGE,
            0.0,
        )
    profiles = [
        cascade.make_profiles(
            estimates, row, "answer", (100.0, 100.0), (-1.0,)
        )[0]
        for row in (SMALL, LARGE)
    ]
    plan = cascade.make_plan(cascade.all_policies(profiles), 0.9)
    assertions.assert_that(plan.cheaper.start, matchers.Equals(SMALL.key))
    assertions.assert_that(plan.better.then, matchers.Equals(LARGE.key))
    assert plan.cost < 0.6 * cascade.expected_cost(LARGE, (100.0, 100.0))


def _ratings_until_alarm(
    quality: float, baseline: float, limit: float, seed: int, max_ratings: int
) -> int:
    source = random.Random(f"detector {seed}")
    detector = sequential.DegradationDetector()
    for number in range(1, max_ratings + 1):
        detector.add(source.random() < quality, baseline)
        if detector.statistic >= limit:
            return number
    return max_ratings


def test_false_alarm_rate_and_detection_delay_are_within_bounds() -> None:
    # A low threshold makes false alarms frequent enough for a short run.
    runs = [_ratings_until_alarm(0.9, 0.9, 100.0, i, 2000) for i in range(60)]
    assert sum(runs) / len(runs) >= 100.0
    limit = sequential.threshold(0.99)
    delays = [_ratings_until_alarm(0.4, 0.9, limit, i, 500) for i in range(60)]
    bound = sequential.min_detection_delay(0.9, 0.4, 0.99)
    assert sum(delays) / len(delays) <= 1.5 * bound


def test_version_that_degrades_late_is_withdrawn(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    router = make_router(make_table())
    source = random.Random("late turn")
    for number in range(400):
        good = source.random() < 0.9
        rating = routing_rows.rating(MEDIUM.key, good, f"a{number}~9")
        router.on_rating(rating, float(number))
    assertions.assert_that(router.drain_effects(), matchers.Equals([]))
    bad = 0
    while not router.monitor.is_withdrawn(MEDIUM.key, "answer") and bad < 100:
        bad += 1
        rating = routing_rows.rating(MEDIUM.key, False, f"b{bad}~9")
        router.on_rating(rating, 400.0 + bad)
    assert bad < 12
    assertions.assert_that(router.drain_effects(), matchers.HasLength(1))


def test_degraded_version_is_kept_without_the_monitor(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    """Checks that bad ratings withdraw nothing if the monitor is disabled."""
    router = make_router(make_table())
    router.monitor.threshold = float("inf")
    for number in range(100):
        rating = routing_rows.rating(MEDIUM.key, False, f"b{number}~9")
        router.on_rating(rating, float(number))
    assert not router.monitor.is_withdrawn(MEDIUM.key, "answer")


def test_margin_covers_calibration_error_and_shrinks_with_ratings() -> None:
    estimates = quality_estimates.QualityEstimates()
    first = estimates.margin("answer", 0.8, 1.28)
    for number in range(400):
        rating = routing_rows.rating(SMALL.key, good=number % 5 > 0)
        estimates.on_rating(rating, SMALL, 0.0)
    calibrated = estimates.margin("answer", 0.8, 1.28)
    assert 0.0 < calibrated < first / 2.0
    for _ in range(30):
        estimates.on_rating(routing_rows.rating(SMALL.key, False), SMALL, 0.0)
    assert estimates.margin("answer", 0.8, 1.28) > 1.5 * calibrated


def test_no_cascade_starts_with_a_version_without_confidence() -> None:
    estimates = quality_estimates.QualityEstimates()

    def starts() -> set[str]:
        profiles = [
            cascade.make_profiles(
                estimates, row, "answer", (100.0, 100.0), (0.0,)
            )[0]
            for row in (SMALL, LARGE)
        ]
        return {p.start for p in cascade.all_policies(profiles) if p.then}

    assertions.assert_that(starts(), matchers.Equals({SMALL.key}))
    estimates.on_answer(SMALL.key, "answer", None)
    assertions.assert_that(starts(), matchers.Equals(set()))
    estimates.on_answer(SMALL.key, "answer", 0.9)
    assertions.assert_that(starts(), matchers.Equals({SMALL.key}))
