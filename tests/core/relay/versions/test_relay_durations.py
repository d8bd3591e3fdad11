"""Distributions of durations with attempts that still run."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import durations as durations_lib


def make_durations(
    reached: list[float], unreached: list[float]
) -> durations_lib.Durations:
    made = durations_lib.Durations()
    for seconds in reached:
        made.record_reached(seconds)
    for seconds in unreached:
        made.record_unreached(seconds)
    return made


def fraction_beyond(made: durations_lib.Durations, seconds: float) -> float:
    return made.survival()[durations_lib.bucket_of(seconds)]


@pytest.mark.parametrize("seconds", [0.001, 0.02, 0.3, 1.0, 80.0])
def test_bucket_contains_its_duration(seconds: float) -> None:
    bucket = durations_lib.bucket_of(seconds)
    end = durations_lib.bucket_end(bucket)
    assertions.assert_that(seconds <= end, matchers.Is(True))
    begin = durations_lib.bucket_end(bucket - 1) if bucket else 0.0
    assertions.assert_that(seconds > begin, matchers.Is(True))


def test_longest_durations_share_the_last_bucket() -> None:
    assertions.assert_that(
        durations_lib.bucket_of(1e6), matchers.Equals(durations_lib.MAX_BUCKET)
    )


def test_without_running_attempts_the_fractions_are_those_counted() -> None:
    made = make_durations([0.1] * 6 + [1.0] * 4, [])
    assertions.assert_that(
        round(fraction_beyond(made, 0.5), 9), matchers.Equals(0.4)
    )
    assertions.assert_that(fraction_beyond(made, 2.0), matchers.Equals(0.0))


def test_attempts_that_outlast_the_others_count_as_slow() -> None:
    # Of those that ended, none was slow.
    made = make_durations([0.1] * 6, [1.0] * 6)
    assertions.assert_that(
        round(fraction_beyond(made, 0.5), 9), matchers.Equals(0.5)
    )


def test_attempts_cut_early_count_for_neither_side() -> None:
    made = make_durations([0.4] * 5 + [4.0] * 5, [0.05] * 90)
    assertions.assert_that(
        round(fraction_beyond(made, 1.0), 9), matchers.Equals(0.5)
    )


def test_durations_of_hosts_add_up() -> None:
    sums = {"first": make_durations([0.1], [1.0])}
    durations_lib.add_all(sums, {"first": make_durations([0.1], [])})
    durations_lib.add_all(sums, {"pace": make_durations([], [0.1])})
    assertions.assert_that(sums["first"].total, matchers.Equals(3))
    assertions.assert_that(sums["first"].total_reached, matchers.Equals(2))
    assertions.assert_that(sums["pace"].total, matchers.Equals(1))
