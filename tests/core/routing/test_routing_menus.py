"""Tests when the plans shared between accounts are recomputed."""

from __future__ import annotations

import attrs
import pytest
import routing_rows
from testtools import assertions
from testtools import matchers

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import options
from hoistmoor.core.routing import policy_cache
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import router as router_lib
from hoistmoor.core.table import model

ROWS = routing_rows.DEFAULT_VERSIONS
TOKENS = (100.0, 100.0)


def rate(
    estimates: quality_estimates.QualityEstimates, ratings: int, now: float
) -> None:
    for number in range(ratings):
        rating = routing_rows.rating(ROWS[0].key, good=number % 5 > 0)
        estimates.on_rating(rating, ROWS[0], now)


@pytest.fixture
def cache() -> policy_cache.PolicyCache:
    return policy_cache.PolicyCache(quality_estimates.QualityEstimates())


def test_entry_is_reused_until_estimates_change_enough(
    cache: policy_cache.PolicyCache,
) -> None:
    rate(cache.estimates, 1000, 0.0)
    first = cache.get(ROWS, "answer", TOKENS, 1.0)
    rate(cache.estimates, 3, 2.0)
    assert cache.get(ROWS, "answer", TOKENS, 30.0) is first
    rate(cache.estimates, 3, 31.0)
    second = cache.get(ROWS, "answer", TOKENS, 32.0)
    assert second is not first
    rate(cache.estimates, 500, 33.0)
    assert cache.get(ROWS, "answer", TOKENS, 34.0) is second
    third = cache.get(ROWS, "answer", TOKENS, 38.0)
    assert third is not second
    late = 38.0 + policy_cache.MAX_AGE_S
    assert cache.get(ROWS, "answer", TOKENS, late) is not third


def test_edited_row_refreshes_an_entry_at_once(
    cache: policy_cache.PolicyCache,
) -> None:
    first = cache.get(ROWS, "answer", TOKENS, 1.0)
    edited = (attrs.evolve(ROWS[0], output_price=900), *ROWS[1:])
    second = cache.get(edited, "answer", TOKENS, 1.0)
    assertions.assert_that(second, matchers.Not(matchers.Equals(first)))
    assert cache.get(edited, "answer", TOKENS, 1.0) is second


def test_refresh_rate_is_limited(
    cache: policy_cache.PolicyCache,
) -> None:
    kinds = [f"kind-{i}" for i in range(40)]
    for kind in kinds:
        cache.get(ROWS, kind, TOKENS, 0.0)
    made_before = cache.computed
    for tick in range(100):
        now = 100.0 + tick / 10.0
        rate(cache.estimates, 10, now)
        for kind in kinds:
            cache.get(ROWS, kind, TOKENS, now)
    limit = 10.0 / policy_cache.MIN_REFRESH_INTERVAL_S + 1
    assertions.assert_that(
        cache.computed - made_before, matchers.LessThan(limit + 1)
    )
    assertions.assert_that(
        cache.computed - made_before, matchers.GreaterThan(limit / 2)
    )


def test_number_of_entries_is_limited(cache: policy_cache.PolicyCache) -> None:
    for number in range(2 * policy_cache.MAX_ENTRIES):
        cache.get(ROWS[:1], f"kind-{number}", TOKENS, 0.0)
    assert len(cache.entries) <= policy_cache.MAX_ENTRIES


@pytest.fixture
def two_accounts() -> router_lib.Router:
    table = routing_rows.table(target=0.85)
    grants = [
        model.Grant(account, grant.model, "*", target)
        for account, target in (("agents", 0.85), ("shops", 0.95))
        for grant in table.grants.values()
    ]
    created = router_lib.Router("bangna", 7, "bangna-1")
    table = attrs.evolve(table, grants={row.key: row for row in grants})
    created.on_table(model.ActiveTable(1, table))
    return created


def auto(
    router: router_lib.Router, account: str, now: float
) -> options.AutoOptions:
    found = router.options_for(account, model.AUTO_MODEL, "answer", now)
    assert isinstance(found, options.AutoOptions)
    return found


def test_accounts_share_an_entry_with_separate_targets(
    two_accounts: router_lib.Router,
) -> None:
    low = auto(two_accounts, "agents", 1.0)
    high = auto(two_accounts, "shops", 1.0)
    assert two_accounts.catalog.policies.computed == 1
    assert low.default_plan.cost < high.default_plan.cost


def test_withdrawal_invalidates_a_shared_plan_at_once(
    two_accounts: router_lib.Router,
) -> None:
    planned = auto(two_accounts, "shops", 1.0).default_plan.better.start
    row = two_accounts.catalog.table.versions[planned]
    two_accounts.on_evidence(
        1,
        messages.Withdrawal(
            planned, "*", routing_rows.digest(row), "nonburi-1", 1.0, "test"
        ),
    )
    for account in ("agents", "shops"):
        found = auto(two_accounts, account, 1.01)
        steps = {
            key
            for plan in (
                found.default_plan,
                found.exploration_plan,
                found.session_plan,
            )
            for policy in (plan.cheaper, plan.better)
            for key in (policy.start, policy.then)
        }
        assert planned not in steps
        assert planned not in found.fallbacks
