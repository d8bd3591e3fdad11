"""The steered table under rollouts, withdrawals and drains."""

from __future__ import annotations

import attrs
import steward_world as worlds

from hoistmoor.core.steward import records
from hoistmoor.core.steward import rollouts
from hoistmoor.core.steward import state as state_lib
from hoistmoor.core.steward import steering
from hoistmoor.core.table import model


def steer(state: state_lib.StewardState, complete: bool = True) -> model.Table:
    in_force = model.ActiveTable(7, worlds.make_table())
    view = rollouts.RolloutView(state, complete)
    return steering.steer(in_force, view).table


def test_weight_of_candidate_is_scaled_by_the_share_of_its_stage() -> None:
    rollout = state_lib.Rollout(worlds.DIGEST, 0, 0.25)
    state = state_lib.StewardState(rollouts={worlds.NEW: rollout})
    assert steer(state).versions[worlds.NEW].weight == 0.25
    assert steer(state).versions[worlds.OLD].weight == 1.0
    assert steer(state, complete=False).versions[worlds.NEW].weight == 0.0
    older = attrs.evolve(rollout, row_digest="older")
    state = state_lib.StewardState(rollouts={worlds.NEW: older})
    assert steer(state).versions[worlds.NEW].weight == 0.0


def test_withdrawn_version_and_draining_server_get_no_traffic() -> None:
    withdrawal = records.VersionWithdrawn(
        worlds.NEW, "", "x", "", worlds.DIGEST
    )
    state = state_lib.StewardState(
        withdrawn={worlds.NEW: withdrawal}, draining={"s1": "op"}
    )
    table = steer(state)
    assert table.versions[worlds.NEW].stage is model.Stage.WITHDRAWN
    assert "s1" not in table.servers
    assert len(table.servers) == 3
