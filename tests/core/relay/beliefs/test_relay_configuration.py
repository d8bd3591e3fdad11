"""Lookup of routes and client accounts, and the configuration lease."""

from __future__ import annotations

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import configuration_lease
from hoistmoor.core.relay.course import budget

NESTED_ROUTE = attrs.evolve(
    relay_parts.ROUTE, name="narrow", prefix="/look/deep/"
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("shop.example", "/look/x", "look"),
        ("SHOP.example", "/look/", "look"),
        ("shop.example", "/look/deep/x", "narrow"),
        ("shop.example", "/look/deepest", "look"),
        ("shop.example", "/look", None),
        ("shop.example", "/other/", None),
        ("else.example", "/look/x", None),
    ],
)
def test_longest_matching_prefix_wins(
    host: str, path: str, expected: str | None
) -> None:
    found = relay_parts.make_configuration(
        routes=(relay_parts.ROUTE, NESTED_ROUTE)
    )
    route = found.find_route(host, path)
    assertions.assert_that(
        route.name if route else None, matchers.Equals(expected)
    )


def test_account_is_found_by_any_of_its_keys() -> None:
    found = relay_parts.make_configuration()
    holder = found.find_account("key2")
    assert holder is not None
    assertions.assert_that(holder.name, matchers.Equals("farm"))
    assertions.assert_that(found.find_account("key3"), matchers.Is(None))
    assertions.assert_that(found.find_account(""), matchers.Is(None))


@pytest.mark.parametrize(
    ("now", "holds"), [(10.0, True), (14.4, True), (14.6, False), (99.0, False)]
)
def test_lease_expires_before_the_bound(now: float, holds: bool) -> None:
    lease = configuration_lease.ConfigurationLease(5.0)
    assertions.assert_that(lease.is_valid(0.0), matchers.Is(False))
    lease.renew(10.0)
    lease.renew(
        9.0
    )  # A delayed reply to an older read does not shorten the lease.
    assertions.assert_that(lease.is_valid(now), matchers.Is(holds))


def test_lease_without_strict_revocation_survives_an_outage() -> None:
    lease = configuration_lease.ConfigurationLease(5.0, is_strict=False)
    assertions.assert_that(lease.is_valid(0.0), matchers.Is(False))
    lease.renew(10.0)
    assertions.assert_that(lease.is_valid(3600.0), matchers.Is(True))
    assertions.assert_that(lease.is_current(14.4), matchers.Is(True))
    assertions.assert_that(lease.is_current(14.6), matchers.Is(False))


def test_retry_budget_grows_with_requests_only() -> None:
    retries = budget.RetryBudget(ratio=0.5, window=10.0, spare=1.0)
    allowed = 0
    for number in range(100):
        now = number / 20
        retries.record_request(now)
        if retries.allows_retry(now):
            retries.record_retry(now)
            allowed += 1
    bound = budget.USED_FRACTION * 0.5 * 100 + 1
    assertions.assert_that(allowed, matchers.LessThan(bound + 1))
    assertions.assert_that(allowed, matchers.GreaterThan(bound - 2))
    assertions.assert_that(retries.allows_retry(5.0), matchers.Is(False))
    # After the window has passed, only the spare retry is left.
    assertions.assert_that(retries.allows_retry(30.0), matchers.Is(True))
    retries.record_retry(30.0)
    assertions.assert_that(retries.allows_retry(30.0), matchers.Is(False))
