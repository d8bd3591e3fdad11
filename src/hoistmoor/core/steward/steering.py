"""Applies rollouts, withdrawals and drains to the table for the router.

The operators' rows define the target. The stream ``steward`` restricts it
during rollouts: the weight of a candidate is scaled by the share of its stage,
versions found bad are withdrawn, and draining backend servers are removed.
Accounts, limits and sessions use the operators' table unchanged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.table import model

if TYPE_CHECKING:
    from hoistmoor.core.steward import rollouts


def steer(
    in_force: model.ActiveTable, view: rollouts.RolloutView
) -> model.ActiveTable:
    """Returns the table for the router, under the same revision.

    Args:
        in_force: The operators' table.
        view: Rollouts, withdrawals and drains.
    """
    table = in_force.table
    versions = {
        key: _steer_version(row, view) for key, row in table.versions.items()
    }
    servers = {
        key: row
        for key, row in table.servers.items()
        if not view.is_draining(row.server)
    }
    if versions == table.versions and len(servers) == len(table.servers):
        return in_force
    steered = attrs.evolve(table, versions=versions, servers=servers)
    return attrs.evolve(in_force, table=steered)


def _steer_version(
    row: model.Version, view: rollouts.RolloutView
) -> model.Version:
    if view.is_withdrawn(row):
        return attrs.evolve(row, stage=model.Stage.WITHDRAWN)
    if row.stage is not model.Stage.CANDIDATE:
        return row
    return attrs.evolve(row, weight=row.weight * view.share(row))
