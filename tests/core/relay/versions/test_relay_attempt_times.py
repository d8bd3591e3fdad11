"""Stages of timed attempts."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import durations as durations_lib

Stage = attempt_times.Stage


@pytest.fixture
def times() -> attempt_times.AttemptTimes:
    return attempt_times.AttemptTimes()


def begin(
    times: attempt_times.AttemptTimes, *, is_stream: bool = True
) -> attempt_times.TimedAttempt:
    return times.begin("chat", 10.0, is_target=True, is_stream=is_stream)


def stages(
    times: attempt_times.AttemptTimes, now: float
) -> dict[str, tuple[list[int], list[int]]]:
    """Returns the buckets of attempts that reached a stage or did not."""
    return {
        stage: (sorted(each.reached), sorted(each.unreached))
        for stage, each in times.durations(now)["chat", True].items()
    }


def buckets(*seconds: float) -> list[int]:
    return [durations_lib.bucket_of(each) for each in seconds]


def test_stream_passes_its_first_event_and_then_its_pace(
    times: attempt_times.AttemptTimes,
) -> None:
    attempt = begin(times)
    attempt.record_events(1, 10.5)
    attempt.record_events(attempt_times.PACE_EVENTS, 11.0)
    attempt.record_events(attempt_times.PACE_EVENTS + 1, 11.5)
    attempt.record_end(20.0, is_served=True)
    assertions.assert_that(
        stages(times, 30.0),
        matchers.Equals(
            {
                Stage.FIRST: (buckets(0.5), []),
                Stage.PACE: (buckets(1.0), []),
            }
        ),
    )


def test_running_attempt_counts_with_its_age(
    times: attempt_times.AttemptTimes,
) -> None:
    begin(times)
    assertions.assert_that(
        stages(times, 14.0),
        matchers.Equals({Stage.FIRST: ([], buckets(4.0))}),
    )


@pytest.mark.parametrize("is_stream", [False, True])
def test_attempt_dropped_for_a_larger_model_does_not_count_as_fast(
    times: attempt_times.AttemptTimes, is_stream: bool
) -> None:
    begin(times, is_stream=is_stream).record_end(10.1, is_served=False)
    (counts,) = stages(times, 30.0).values()
    assertions.assert_that(counts, matchers.Equals(([], buckets(0.1))))


def test_stream_that_is_short_shows_no_pace(
    times: attempt_times.AttemptTimes,
) -> None:
    attempt = begin(times)
    attempt.record_events(1, 10.5)
    attempt.record_end(10.7, is_served=True)
    assertions.assert_that(
        stages(times, 30.0)[Stage.PACE], matchers.Equals(([], buckets(0.2)))
    )


def test_plain_response_counts_with_its_end(
    times: attempt_times.AttemptTimes,
) -> None:
    begin(times, is_stream=False).record_end(10.4, is_served=True)
    assertions.assert_that(
        stages(times, 30.0),
        matchers.Equals({Stage.RESPONSE: (buckets(0.4), [])}),
    )


def test_attempt_counts_once_after_its_end(
    times: attempt_times.AttemptTimes,
) -> None:
    attempt = begin(times)
    attempt.record_end(10.4, is_served=False)
    attempt.record_events(1, 12.0)
    attempt.record_end(13.0, is_served=True)
    assertions.assert_that(
        stages(times, 30.0),
        matchers.Equals({Stage.FIRST: ([], buckets(0.4))}),
    )
