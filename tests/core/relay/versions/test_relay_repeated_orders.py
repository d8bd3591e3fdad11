"""Orders for a version that has all requests, or had them before.

Guards against a trial of a version that nothing else can stand in for, in
which all requests were refused, and against one that moves the requests to the
version that an operator takes back.
"""

from __future__ import annotations

import itertools

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import phases
from hoistmoor.core.relay.versions import rollouts

NOW = 100.0
ALL = {"v1", "v2"}
NONE: frozenset[str] = frozenset()
Phase = phases.Phase


def order(target: str, offset: int) -> phases.Order:
    number = relay_parts.make_place(offset).serial
    return phases.Order("llm", target, 16.0, number)


def record(target: str, offset: int, phase: Phase) -> phases.PhaseRecord:
    number = relay_parts.make_place(offset).serial
    return phases.PhaseRecord("llm", target, number, phase)


def send(
    registry: rollouts.RolloutRegistry, versions: set[str], count: int = 100
) -> list[str]:
    """Sends requests; returns their versions, empty for one refused."""
    sent = []
    for _ in range(count):
        allowed = registry.allowed_versions("llm", versions, "", NONE, NOW)
        sent.append(min(allowed, default=""))
        registry.record_sent("llm", sent[-1], "", NOW)
    return sent


def test_an_order_that_comes_again_after_its_completion_changes_nothing() -> (
    None
):
    registry = rollouts.RolloutRegistry(5.0)
    registry.apply_order(order("v2", 1), NOW)
    registry.apply_phase(record("v2", 1, Phase.COMPLETE))
    registry.apply_order(order("v2", 2), NOW)
    assertions.assert_that(
        registry.progress["llm"].phase, matchers.Is(Phase.COMPLETE)
    )
    assertions.assert_that(set(send(registry, {"v2"})), matchers.Equals({"v2"}))


@pytest.mark.parametrize(
    "events",
    itertools.permutations(
        [
            order("v2", 7),
            record("v2", 1, Phase.COMPLETE),
            record("v0", 0, Phase.COMPLETE),
        ]
    ),
)
def test_a_host_that_starts_does_not_try_what_is_complete(
    events: tuple[phases.Order | phases.PhaseRecord, ...],
) -> None:
    registry = rollouts.RolloutRegistry(5.0)
    for each in events:
        if isinstance(each, phases.Order):
            registry.apply_order(each, NOW)
        else:
            registry.apply_phase(each)
    assertions.assert_that(set(send(registry, {"v2"})), matchers.Equals({"v2"}))


def test_an_order_for_a_version_before_the_complete_one_is_tried() -> None:
    registry = rollouts.RolloutRegistry(5.0)
    registry.apply_order(order("v1", 1), NOW)
    registry.apply_phase(record("v1", 1, Phase.COMPLETE))
    registry.apply_order(order("v2", 2), NOW)
    registry.apply_phase(record("v2", 2, Phase.COMPLETE))
    registry.apply_order(order("v1", 3), NOW)
    sent = send(registry, ALL)
    assertions.assert_that(sent.count("v1"), matchers.LessThan(15))


@pytest.mark.parametrize("phase", [Phase.TRIAL, Phase.SPREAD, Phase.REVERTED])
def test_a_version_that_is_taken_back_gets_nothing(phase: Phase) -> None:
    registry = rollouts.RolloutRegistry(5.0)
    registry.apply_order(order("v2", 1), NOW)
    send(registry, ALL)
    registry.apply_phase(record("v2", 1, phase))
    registry.apply_order(order("v1", 2), NOW)
    assertions.assert_that(set(send(registry, ALL)), matchers.Equals({"v1"}))
    assertions.assert_that(
        registry.progress["llm"].phase, matchers.Is(Phase.COMPLETE)
    )


def test_a_version_that_is_new_is_tried_after_one_that_is_taken_back() -> None:
    registry = rollouts.RolloutRegistry(5.0)
    registry.apply_order(order("v2", 1), NOW)
    send(registry, ALL)
    registry.apply_order(order("v3", 2), NOW)
    sent = send(registry, {"v1", "v3"})
    assertions.assert_that(sent.count("v3"), matchers.LessThan(15))
