"""Retry delays for refused callers."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import refusals
from hoistmoor.core.relay.course import retry_after

Reason = refusals.Reason
MIDDLE = 0.5


def count_refusals(fixed_delay: float | None, outage: float) -> int:
    """Returns how often a caller is refused that retries during an outage.

    Args:
        fixed_delay: Fixed retry delay; None to use ``delay_for_reason``.
        outage: Seconds for which all hosts refuse requests.
    """
    now, refused = 0.01, 0
    while now < outage:
        refused += 1
        wait = retry_after.delay_for_reason(Reason.NO_TABLE, now, MIDDLE)
        now += wait if fixed_delay is None else fixed_delay
    return refused


def test_retry_delay_grows_during_an_outage() -> None:
    # All hosts restart while the store stays unavailable for two more seconds.
    assertions.assert_that(count_refusals(0.05, 2.0), matchers.Equals(40))
    assertions.assert_that(count_refusals(None, 2.0), matchers.LessThan(9))


@pytest.mark.parametrize(
    ("reason", "unable_for", "expected"),
    [
        # Another host can serve the request.
        (Reason.STOPPING, 0.0, 0.05),
        (Reason.BACKEND_UNREACHABLE, 9.0, 0.05),
        # Only this host has just started.
        (Reason.NO_TABLE, 0.01, 0.05),
        # The delay grows with the duration of the outage.
        (Reason.NO_TABLE, 1.2, 1.2),
        (Reason.TABLE_STALE, 2.0, 2.0),
        (Reason.TABLE_STALE, 60.0, 3.0),
        (Reason.NO_CAPACITY, 0.0, 0.5),
        (Reason.BACKEND_DECLINED, 0.0, 0.5),
    ],
)
def test_retry_delays(
    reason: Reason, unable_for: float, expected: float
) -> None:
    found = retry_after.delay_for_reason(reason, unable_for, MIDDLE)
    assertions.assert_that(found, matchers.Equals(expected))


def test_retries_of_clients_refused_together_are_spread() -> None:
    waits = {
        retry_after.delay_for_reason(Reason.NO_TABLE, 2.0, draw / 10)
        for draw in range(10)
    }
    assertions.assert_that(waits, matchers.HasLength(10))
    assertions.assert_that(max(waits) - min(waits), matchers.GreaterThan(0.8))
