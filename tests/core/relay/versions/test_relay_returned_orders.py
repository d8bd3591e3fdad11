"""Rollouts after the store was restored from an older copy."""

from __future__ import annotations

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import store_era
from hoistmoor.core.relay.versions import phases
from hoistmoor.core.relay.versions import rollouts

NOW = 100.0


def order(target: str, offset: int, era: int = 1) -> phases.Order:
    number = relay_parts.make_place(offset, era).serial
    return phases.Order("llm", target, 60.0, number)


def phase(target: str, offset: int, era: int, name: str) -> phases.PhaseRecord:
    number = relay_parts.make_place(offset, era).serial
    return phases.PhaseRecord("llm", target, number, phases.Phase(name))


@pytest.fixture
def registry() -> rollouts.RolloutRegistry:
    """Rollout of v3 in phase ``spread``, after a completed rollout of v2."""
    made = rollouts.RolloutRegistry(5.0)
    made.apply_order(order("v2", 4), NOW - 50.0)
    made.apply_phase(phase("v2", 4, 1, "complete"))
    made.apply_order(order("v3", 9), NOW)
    made.apply_phase(phase("v3", 9, 1, "spread"))
    made.progress["llm"].is_doubted = True
    return made


def test_rewritten_order_continues_its_rollout(
    registry: rollouts.RolloutRegistry,
) -> None:
    before = registry.progress["llm"]
    registry.record_restore(NOW + 2.0)
    # The copy contains the previous order, which was replaced.
    is_new = registry.apply_order(order("v2", 4, 2), NOW + 2.0)
    assertions.assert_that(is_new, matchers.Is(False))
    is_new = registry.apply_order(order("v3", 7, 2), NOW + 3.0)
    assertions.assert_that(is_new, matchers.Is(False))
    found = registry.progress["llm"]
    assertions.assert_that(found, matchers.Is(before))
    assertions.assert_that(found.seen_at, matchers.Equals(NOW))
    assertions.assert_that(found.phase, matchers.Equals(phases.Phase.SPREAD))
    assertions.assert_that(found.is_doubted, matchers.Is(True))
    assertions.assert_that(
        registry.doubts(),
        matchers.Equals((relay_parts.make_place(7, 2).serial,)),
    )


def test_order_in_the_copy_and_its_rewrite_are_the_same(
    registry: rollouts.RolloutRegistry,
) -> None:
    before = registry.progress["llm"]
    registry.record_restore(NOW + 2.0)
    for offset in (9, 11):
        registry.apply_order(order("v3", offset, 2), NOW + 2.0)
    assertions.assert_that(registry.progress["llm"], matchers.Is(before))
    # Long after the restore, it is a new order.
    later = NOW + 2.0 + store_era.RESTORE_GRACE_PERIOD
    is_new = registry.apply_order(order("v3", 15, 2), later)
    assertions.assert_that(is_new, matchers.Is(True))


def test_new_order_after_the_restore_is_applied(
    registry: rollouts.RolloutRegistry,
) -> None:
    registry.record_restore(NOW + 2.0)
    is_new = registry.apply_order(order("v4", 2, 2), NOW + 2.0)
    assertions.assert_that(is_new, matchers.Is(True))
    found = registry.progress["llm"]
    assertions.assert_that(found.phase, matchers.Equals(phases.Phase.TRIAL))


def test_phase_from_an_older_copy_reverts_nothing(
    registry: rollouts.RolloutRegistry,
) -> None:
    registry.apply_phase(phase("v3", 9, 1, "reverted"))
    registry.record_restore(NOW + 2.0)
    registry.apply_order(order("v3", 9, 2), NOW + 2.0)
    is_new = registry.apply_phase(phase("v3", 9, 1, "spread"))
    assertions.assert_that(is_new, matchers.Is(False))
    assertions.assert_that(
        registry.progress["llm"].phase, matchers.Equals(phases.Phase.REVERTED)
    )
    assertions.assert_that("v3" in registry.withdrawn["llm"], matchers.Is(True))


def test_starting_host_applies_phases_in_the_copy() -> None:
    made = rollouts.RolloutRegistry(5.0)
    made.apply_order(order("v2", 4, 3), NOW)
    made.apply_phase(phase("v2", 4, 1, "complete"))
    assertions.assert_that(
        made.progress["llm"].phase, matchers.Equals(phases.Phase.COMPLETE)
    )


def test_selected_sessions_do_not_depend_on_the_order_number() -> None:
    made = rollouts.RolloutRegistry(5.0)
    made.apply_order(order("v3", 9), NOW)
    late = NOW + 60.0 * 0.7

    def chosen() -> list[set[str]]:
        return [
            made.allowed_versions(
                "llm", {"v2", "v3"}, f"s{each}", frozenset(), late
            )
            for each in range(50)
        ]

    before = chosen()
    made.record_restore(late)
    made.apply_order(order("v3", 7, 2), late)
    assertions.assert_that(before, matchers.Contains({"v3"}))
    assertions.assert_that(chosen(), matchers.Equals(before))


def test_order_of_same_version_long_after_the_restore_is_new(
    registry: rollouts.RolloutRegistry,
) -> None:
    # The previous order was lost and never written again.
    registry.apply_phase(phase("v3", 9, 1, "reverted"))
    registry.record_restore(NOW + 2.0)
    later = NOW + 3.0 + store_era.RESTORE_GRACE_PERIOD
    is_new = registry.apply_order(order("v3", 7, 2), later)
    assertions.assert_that(is_new, matchers.Is(True))
    assertions.assert_that(
        registry.progress["llm"].phase, matchers.Equals(phases.Phase.TRIAL)
    )
