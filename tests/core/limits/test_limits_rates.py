"""The hosts' fractions of a rate never sum to more than 1."""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies as st
from testtools import assertions
from testtools import matchers

from hoistmoor.core import identity
from hoistmoor.core import refusals
from hoistmoor.core.limits import accounts
from hoistmoor.core.limits import rates
from hoistmoor.core.limits import records
from hoistmoor.core.table import model

if TYPE_CHECKING:
    import pytest

NAMES = ("h0", "h1", "h2", "h3")
START = 1e9


def share_of(name: str) -> rates.RateShares:
    shares = rates.RateShares(identity.Incarnation(name, 1))
    shares.on_hosts(NAMES, START)
    return shares


def report_of(name: str, weight: float) -> records.DemandReport:
    weights = (records.DemandWeight("a", weight),)
    return records.DemandReport(name, 1, weights)


# Reporting host, its weight, and the seconds until each host reads the report.
CHANGES = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.sampled_from([0.25, 1.0, 8.0]),
        st.tuples(*(st.integers(0, 4) for _ in NAMES)),
    ),
    max_size=4,
)


def largest_sum(
    changes: list[tuple[str, float, tuple[int, ...]]],
) -> float:
    """Returns the largest sum of all fractions at any second."""
    shares = [share_of(name) for name in NAMES]
    largest = 0.0
    for second in range(60):
        now = START + second
        for number, (name, weight, delays) in enumerate(changes):
            for reader, delay in zip(shares, delays, strict=True):
                if 10 * number + delay == second:
                    reader.on_report(report_of(name, weight), now)
        total = sum(reader.fraction("a", now) for reader in shares)
        largest = max(largest, total)
    return largest


@hypothesis.given(CHANGES)
@hypothesis.settings(derandomize=True, deadline=None)
def test_parts_sum_to_one_at_most_while_reports_spread(
    changes: list[tuple[str, float, tuple[int, ...]]],
) -> None:
    assertions.assert_that(largest_sum(changes), matchers.LessThan(1.0 + 1e-9))


def test_parts_exceed_one_without_the_settling_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rates, "SETTLE_SECONDS", 0.0)
    found = largest_sum([("h0", 8.0, (0, 4, 4, 4))])
    assertions.assert_that(found, matchers.GreaterThan(1.5))


def test_host_with_the_demand_gets_the_larger_part() -> None:
    shares = share_of("h0")
    for tick in range(600):
        shares.record_request("a", START + tick / 10)
    now = START + 60.0
    report = shares.report_due({"a": 10.0}, now)
    shares.on_report(report, now)
    initial = shares.fraction("a", now)
    settled = shares.fraction("a", now + rates.SETTLE_SECONDS + 1.0)
    assertions.assert_that(initial, matchers.Equals(0.25))
    assertions.assert_that(settled, matchers.GreaterThan(0.6))


def test_lost_host_keeps_its_part_for_a_while() -> None:
    shares = share_of("h0")
    shares.on_hosts(["h0"], START + 1.0)
    before = shares.fraction("a", START + 20.0)
    after = shares.fraction("a", START + 40.0)
    assertions.assert_that((before, after), matchers.Equals((0.25, 1.0)))


def test_rate_over_all_hosts_stays_within_rate_and_bursts() -> None:
    row = model.Account("a", (), 0, 20.0, 1_000)
    limiters = [
        accounts.AccountLimiter(identity.Incarnation(name, 1)) for name in NAMES
    ]
    entered = 0
    for limiter in limiters:
        limiter.shares.on_hosts(NAMES, START)
    for tick in range(3_000):
        limiter = limiters[tick % len(NAMES)]
        refusal = limiter.admit(row, START + tick / 100)
        if refusal is None:
            limiter.release("a")
            entered += 1
        else:
            assert refusal.reason is refusals.Reason.RATE_LIMITED
    assertions.assert_that(entered, matchers.LessThan(20 * 30 + 20 + 1))
    assertions.assert_that(entered, matchers.GreaterThan(20 * 30 - 20))
