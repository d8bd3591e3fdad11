"""When refused callers should come back."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import refusals
from hoistmoor.core.relay.course import retry_after

Reason = refusals.Reason
MIDDLE = 0.5


def refusals_in_an_outage(first_wait: float | None, outage: float) -> int:
    """Returns how often a caller is refused that comes at its start.

    Args:
        first_wait: What it is told each time; None for the rule.
        outage: Seconds for which all hosts refuse.
    """
    now, refused = 0.01, 0
    while now < outage:
        refused += 1
        wait = retry_after.wait_for(Reason.NO_TABLE, now, MIDDLE)
        now += wait if first_wait is None else first_wait
    return refused


def test_callers_are_not_refused_again_and_again_in_an_outage() -> None:
    # All hosts start again while the store is away for two seconds more.
    assertions.assert_that(
        refusals_in_an_outage(0.05, 2.0), matchers.Equals(40)
    )
    assertions.assert_that(
        refusals_in_an_outage(None, 2.0), matchers.LessThan(9)
    )


@pytest.mark.parametrize(
    ("reason", "unable_for", "expected"),
    [
        # Another host serves it.
        (Reason.STOPPING, 0.0, 0.05),
        (Reason.BACKEND_UNREACHABLE, 9.0, 0.05),
        # This host alone has just started.
        (Reason.NO_TABLE, 0.01, 0.05),
        # The longer it lasts, the longer it will.
        (Reason.NO_TABLE, 1.2, 1.2),
        (Reason.TABLE_STALE, 2.0, 2.0),
        (Reason.TABLE_STALE, 60.0, 3.0),
        (Reason.NO_CAPACITY, 0.0, 0.5),
        (Reason.BACKEND_DECLINED, 0.0, 0.5),
    ],
)
def test_waits(reason: Reason, unable_for: float, expected: float) -> None:
    found = retry_after.wait_for(reason, unable_for, MIDDLE)
    assertions.assert_that(found, matchers.Equals(expected))


def test_callers_refused_together_do_not_come_back_together() -> None:
    waits = {
        retry_after.wait_for(Reason.NO_TABLE, 2.0, draw / 10)
        for draw in range(10)
    }
    assertions.assert_that(waits, matchers.HasLength(10))
    assertions.assert_that(max(waits) - min(waits), matchers.GreaterThan(0.8))
