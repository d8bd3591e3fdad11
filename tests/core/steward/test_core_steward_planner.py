"""Planned orders: safe steps, spread of replicas, and concurrent changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import steward_world as worlds

from hoistmoor.core.steward import placement
from hoistmoor.core.steward import planner as planner_lib
from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import state as state_lib

if TYPE_CHECKING:
    from hoistmoor.core.table import model

OLD, NEW = worlds.OLD, worlds.NEW
DELAY = planner_lib.UNLOAD_DELAY_SECONDS


def engine(*versions: str) -> placement.EngineCondition:
    """Returns the condition of an engine with ``versions`` loaded."""
    return placement.EngineCondition(
        wanted=frozenset(versions), loaded=frozenset(versions)
    )


def view_of(share: float = 0.01, **changes: object) -> rollouts.RolloutView:
    """Returns a view in which the new version has ``share``."""
    rollout = state_lib.Rollout(worlds.DIGEST, 0, share)
    state = state_lib.StewardState(rollouts={NEW: rollout})
    return rollouts.RolloutView(attrs.evolve(state, **changes))


def settle(
    table: model.Table,
    view: rollouts.RolloutView,
    conditions: dict[str, placement.EngineCondition],
) -> int:
    """Executes all orders; returns the maximum number planned at once."""
    planner = planner_lib.Planner()
    maximum = 0
    for now in range(0, 3000, 30):
        orders = planner.plan(table, view, conditions, -1, float(now))
        maximum = max(maximum, len(orders))
        for order in orders:
            conditions[order.server.server] = engine(*order.wanted)
        check_old_version_serves(conditions)
    assert planner.plan(table, view, conditions, -1, 9000.0) == ()
    return maximum


def check_old_version_serves(
    conditions: dict[str, placement.EngineCondition],
) -> None:
    assert any(OLD in row.loaded for row in conditions.values())


def holders(
    conditions: dict[str, placement.EngineCondition], version: str
) -> set[str]:
    return {name for name, row in conditions.items() if version in row.loaded}


@pytest.mark.parametrize("servers", [2, 9, 40])
def test_replicas_spread_and_the_pool_changes_gradually(servers: int) -> None:
    table = worlds.make_table(servers, domains=2)
    conditions = {name: engine() for name in table.servers}
    conditions["s0"] = engine(OLD)
    maximum = settle(table, view_of(share=1.0), conditions)
    assert maximum <= max(1, servers // planner_lib.SERVERS_PER_CHANGE)
    for version in (OLD, NEW):
        names = holders(conditions, version)
        domains = {table.servers[name].failure_domain for name in names}
        assert (len(names), len(domains)) == (2, 2)


def test_moved_replica_is_loaded_before_it_is_unloaded() -> None:
    table = worlds.make_table(2, domains=1)
    version = attrs.evolve(table.versions[OLD], replicas=1)
    table = attrs.evolve(table, versions={OLD: version})
    view = view_of(draining={"s0": "op"})
    conditions = {"s0": engine(OLD), "s1": engine()}
    planner = planner_lib.Planner()
    orders = planner.plan(table, view, conditions, -1, 0.0)
    assert [order.server.server for order in orders] == ["s1"]
    assert orders[0].loads == {OLD}


def test_unwanted_replica_is_unloaded_only_after_the_delay() -> None:
    table = worlds.make_table(4)
    conditions = {name: engine(OLD) for name in table.servers}
    planner = planner_lib.Planner()
    view = rollouts.RolloutView()
    assert planner.plan(table, view, conditions, -1, 0.0) == ()
    assert planner.plan(table, view, conditions, -1, DELAY - 1) == ()
    assert len(planner.plan(table, view, conditions, -1, DELAY)) == 1


def test_last_replica_is_kept_while_its_replacement_loads() -> None:
    table = worlds.make_table(4)
    loading_engine = placement.EngineCondition(
        wanted=frozenset({OLD}), loading=frozenset({OLD})
    )
    conditions = {
        "s0": engine(OLD),
        "s1": loading_engine,
        "s2": engine(OLD, "m@0"),
    }
    conditions["s3"] = engine(OLD)
    planner = planner_lib.Planner(unload_delay=0.0)
    for order in planner.plan(
        table, rollouts.RolloutView(), conditions, -1, 0.0
    ):
        conditions[order.server.server] = engine(*order.wanted)
    assert len(holders(conditions, OLD)) >= 2


def test_withdrawn_version_is_unloaded_everywhere() -> None:
    table = worlds.make_table(4)
    conditions = {name: engine(OLD, NEW) for name in table.servers}
    record = worlds.records.VersionWithdrawn(
        NEW, "bad", "host", "", worlds.DIGEST
    )
    settle(table, view_of(withdrawn={NEW: record}), conditions)
    assert not holders(conditions, NEW)


def test_failed_server_is_replaced_and_rejoins_after_recovery() -> None:
    table = worlds.make_table(4)
    conditions = {name: engine() for name in table.servers}
    conditions["s0"] = engine(OLD)
    view = rollouts.RolloutView()
    settle(table, view, conditions)
    failed = min(holders(conditions, OLD))
    conditions[failed] = attrs.evolve(
        conditions[failed], failed_reads=placement.MAX_FAILED_READS
    )
    settle(table, view, conditions)
    assert len(holders(conditions, OLD) - {failed}) == 2
    conditions[failed] = engine()
    settle(table, view, conditions)
    assert len(holders(conditions, OLD)) == 2


def test_engine_that_never_finishes_loading_can_be_corrected() -> None:
    table = worlds.make_table(4)
    stuck = placement.EngineCondition(
        wanted=frozenset({"m@0"}), loading=frozenset({"m@0"})
    )
    conditions = {name: engine(OLD) for name in table.servers}
    conditions["s1"] = stuck
    planner = planner_lib.Planner(unload_delay=0.0)
    orders = planner.plan(table, rollouts.RolloutView(), conditions, -1, 0.0)
    assert [order.server.server for order in orders] == ["s1"]


def test_unknown_server_gets_no_order() -> None:
    table = worlds.make_table(4)
    conditions = {"s0": engine(OLD)}
    orders = planner_lib.Planner().plan(table, view_of(), conditions, -1, 0.0)
    assert {order.server.server for order in orders} <= {"s0"}
