"""Which requests are sent on while a host stops."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.course import host_stop

STOP = host_stop.HostStop(ends_at=107.2)
KEY = ("route", "")


@pytest.mark.parametrize(
    ("usual_duration", "now", "expected"),
    [
        (None, 100.0, True),
        (0.05, 102.4, True),
        (7.0, 100.1, True),
        (7.0, 100.3, False),
        (5.0, 102.3, False),
        (0.05, 107.1, True),
        (0.05, 107.2, False),
    ],
)
def test_a_request_is_sent_only_if_it_usually_ends_in_time(
    usual_duration: float | None, now: float, expected: bool
) -> None:
    found = STOP.has_time(usual_duration, now)
    assertions.assert_that(found, matchers.Is(expected))


def test_the_usual_duration_is_known_after_some_responses() -> None:
    times = response_times.ResponseTimes()
    measured = response_times.ResponseTiming("", first=2.0, total=3.0)
    for _ in range(response_times.MIN_RESPONSES):
        assertions.assert_that(times.usual_duration(KEY), matchers.Is(None))
        times.record(KEY, measured)
    assertions.assert_that(times.usual_duration(KEY), matchers.Equals(3.0))
