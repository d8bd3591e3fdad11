"""Consistency of the Procfile, the demo scenario and the example sheets."""

from __future__ import annotations

import hashlib
import pathlib

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.table import model
from hoistmoor.core.table import sheets
from hoistmoor.load import deployments
from hoistmoor.load import scenario

ROOT = pathlib.Path(__file__).parents[2]
DEPLOYMENTS = pytest.mark.parametrize(
    "deployment", deployments.ALL, ids=[row.name for row in deployments.ALL]
)


@pytest.fixture
def commands() -> dict[str, str]:
    """Returns the commands of the Procfile by process name."""
    text = (ROOT / "Procfile").read_text()
    rows = [row for row in text.splitlines() if not row.startswith("#")]
    return dict(row.split(": ", 1) for row in rows)


def _read_table(deployment: deployments.Deployment) -> model.Table:
    files = (ROOT / deployment.sheet_directory).glob("*.csv")
    result = sheets.parse_sheets(
        {path.name: path.read_text() for path in files}
    )
    assertions.assert_that(result.faults, matchers.Equals(()))
    return result.table


@DEPLOYMENTS
def test_each_backend_server_listens_on_its_table_address(
    deployment: deployments.Deployment, commands: dict[str, str]
) -> None:
    for server in _read_table(deployment).servers.values():
        assertions.assert_that(
            commands[server.server],
            matchers.Contains(f"--listen {server.address} "),
        )


@DEPLOYMENTS
def test_each_version_in_use_is_loaded_by_an_engine(
    deployment: deployments.Deployment, commands: dict[str, str]
) -> None:
    table = _read_table(deployment)
    engines = " ".join(commands[name] for name in table.servers)
    for version in table.versions.values():
        if version.stage is model.Stage.WITHDRAWN:
            continue
        assertions.assert_that(
            engines, matchers.Contains(f"--serve {version.key}=")
        )


@DEPLOYMENTS
def test_scenario_keys_are_in_the_table(
    deployment: deployments.Deployment,
) -> None:
    known = _read_table(deployment).account_by_key_hash
    for step in scenario.STEPS[deployment.name]:
        key_hash = hashlib.sha256(step.call.bearer.encode()).hexdigest()
        assertions.assert_that(
            key_hash in known, matchers.Equals(step.reason != "wrong_key")
        )
