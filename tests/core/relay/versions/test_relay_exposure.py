"""Requests that a version may get before it is proved."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import durations
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import exposure as exposure_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.core.relay.versions import verdicts

LIMIT = exposure_lib.ExposureLimit(0.15, 30.0)
Phase = phases.Phase


def make_tally(attempts: int) -> evidence_lib.Tally:
    times = durations.Durations()
    for _ in range(attempts):
        times.record_reached(0.2)
    return evidence_lib.Tally(
        durations={attempt_times.Stage.RESPONSE.value: times}
    )


def measure(target: int, others: int, age: float) -> exposure_lib.Exposure:
    route = evidence_lib.RouteEvidence(make_tally(target), make_tally(others))
    return exposure_lib.measure({"chat": route}, LIMIT, age, duration=20.0)


def test_bound_covers_all_requests_until_the_time_limit() -> None:
    # 10 requests a second; others count from second 5 on.
    exposure = measure(20, 80, age=15.0)
    assertions.assert_that(exposure.used, matchers.Equals(20))
    assertions.assert_that(exposure.rate, matchers.Equals(10.0))
    assertions.assert_that(exposure.allowed, matchers.Equals(60.0))


@pytest.mark.parametrize(
    ("target", "others", "age", "expected"),
    [
        (10, 20, 15.0, True),  # 3 a second, 15 until the limit, 39 allowed.
        (20, 80, 15.0, False),  # 10 a second, 50 until the limit, 60 allowed.
        (0, 0, 15.0, False),
    ],
)
def test_all_requests_are_allowed_only_if_they_fit_the_bound(
    target: int, others: int, age: float, expected: bool
) -> None:
    assertions.assert_that(
        measure(target, others, age).allows_all, matchers.Is(expected)
    )


@pytest.mark.parametrize(
    ("phase", "exposure", "expected"),
    [
        # Nothing proves this route by itself: two usual responses.
        (Phase.TRIAL, exposure_lib.Exposure(5.0, 60.0, 2.0, 10.0), "spread"),
        (Phase.TRIAL, exposure_lib.Exposure(5.0, 60.0, 20.0, 10.0), None),
    ],
)
def test_target_spreads_before_each_route_is_proved_if_the_bound_allows_it(
    phase: Phase, exposure: exposure_lib.Exposure, expected: str | None
) -> None:
    pooled = {
        "chat": evidence_lib.RouteEvidence(make_tally(20), make_tally(100)),
        "plan": evidence_lib.RouteEvidence(make_tally(2), make_tally(50)),
    }
    assertions.assert_that(
        verdicts.judge(pooled), matchers.Is(verdicts.Verdict.LIKELY_SOUND)
    )
    assertions.assert_that(
        phases.next_phase(phase, pooled, 0.7, exposure),
        matchers.Equals(expected),
    )


def test_spreading_target_is_withdrawn_before_it_exceeds_the_bound() -> None:
    slow = make_tally(0)
    times = slow.durations[attempt_times.Stage.RESPONSE.value]
    for _ in range(10):
        times.record_reached(0.2)
    for _ in range(8):
        times.record_unreached(5.0)
    pooled = {"chat": evidence_lib.RouteEvidence(slow, make_tally(100))}
    assertions.assert_that(
        verdicts.judge(pooled), matchers.Is(verdicts.Verdict.LIKELY_BAD)
    )
    for allowed, expected in ((100.0, None), (60.0, Phase.REVERTED)):
        exposure = exposure_lib.Exposure(40.0, allowed, 20.0, 3.0)
        assertions.assert_that(
            phases.next_phase(Phase.SPREAD, pooled, 0.7, exposure),
            matchers.Equals(expected),
        )
