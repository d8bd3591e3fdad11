"""How long a request must expect to wait for the first part of its answer."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import delays as delays_lib
from hoistmoor.core.relay.placement import partition

LARGE = partition.WorkClass(2, 3, True)
SMALL = partition.WorkClass(0, 3, False)


@pytest.fixture
def delays() -> delays_lib.FirstDelays:
    """A class whose requests were answered after a second."""
    made = delays_lib.FirstDelays()
    for number in range(60):
        began = number / 100
        serial = made.begin(LARGE, began)
        made.end(LARGE, serial, began + 1.0, answered=True)
    return made


def test_a_class_is_expected_to_take_what_it_took(
    delays: delays_lib.FirstDelays,
) -> None:
    now = 1.6
    expected = delays.expected(LARGE, now)
    assertions.assert_that(expected, matchers.GreaterThan(0.8))
    assertions.assert_that(expected, matchers.LessThan(1.1))
    assertions.assert_that(delays.expected(SMALL, now), matchers.Equals(0.0))


def test_requests_that_still_wait_count(
    delays: delays_lib.FirstDelays,
) -> None:
    for _ in range(3):
        delays.begin(LARGE, 2.0)
    assertions.assert_that(delays.expected(LARGE, 7.0), matchers.Equals(5.0))


def test_old_delays_fade_and_failed_ones_teach_nothing(
    delays: delays_lib.FirstDelays,
) -> None:
    serial = delays.begin(LARGE, 1.6)
    delays.end(LARGE, serial, 30.0, answered=False)
    assertions.assert_that(
        delays.expected(LARGE, 30.0), matchers.LessThan(0.02)
    )
