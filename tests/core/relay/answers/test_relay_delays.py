"""Expected time to the first byte of a response."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import (
    first_byte_delays as first_byte_delays_lib,
)
from hoistmoor.core.relay.placement import partition

LARGE = partition.WorkClass(2, 3, True)
SMALL = partition.WorkClass(0, 3, False)


@pytest.fixture
def delays() -> first_byte_delays_lib.FirstByteDelays:
    """Delays with one class of work whose responses took one second."""
    made = first_byte_delays_lib.FirstByteDelays()
    for number in range(60):
        started_at = number / 100
        serial = made.begin(LARGE, started_at)
        made.end(LARGE, serial, started_at + 1.0, answered=True)
    return made


def test_expected_delay_follows_past_responses(
    delays: first_byte_delays_lib.FirstByteDelays,
) -> None:
    now = 1.6
    expected = delays.expected(LARGE, now)
    assertions.assert_that(expected, matchers.GreaterThan(0.8))
    assertions.assert_that(expected, matchers.LessThan(1.1))
    assertions.assert_that(delays.expected(SMALL, now), matchers.Equals(0.0))


def test_pending_requests_count_with_their_age(
    delays: first_byte_delays_lib.FirstByteDelays,
) -> None:
    for _ in range(3):
        delays.begin(LARGE, 2.0)
    assertions.assert_that(delays.expected(LARGE, 7.0), matchers.Equals(5.0))


def test_average_decays_and_ignores_failed_requests(
    delays: first_byte_delays_lib.FirstByteDelays,
) -> None:
    serial = delays.begin(LARGE, 1.6)
    delays.end(LARGE, serial, 30.0, answered=False)
    assertions.assert_that(
        delays.expected(LARGE, 30.0), matchers.LessThan(0.02)
    )
