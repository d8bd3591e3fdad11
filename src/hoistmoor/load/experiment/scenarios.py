"""Scenarios: an ordinary day, and each failure that users named."""

from __future__ import annotations

import attrs

from hoistmoor.core.table import model
from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import quality_model


@attrs.frozen
class Outage:
    """A temporary outage of backend servers.

    Attributes:
        starts_at: Time of the start.
        ends_at: Time of the end.
        fraction: Fraction of the service's servers that are down.
    """

    starts_at: float
    ends_at: float
    fraction: float


@attrs.frozen
class Scenario:
    """The events of one run.

    Attributes:
        name: Name in reports.
        duration: Duration in seconds.
        load: Factor on the mean rates.
        plain_load: Additional factor on the rate of plain calls.
        diurnal: Whether the rate varies over the run.
        regressions: Quality regressions of versions.
        withdrawn_at: When the operators withdraw the bad versions manually; 0
            for never.
        has_rollout: Whether candidates in the table are rolled out.
        candidate_quality: True quality of the candidates; 0 for one near the
            prior.
        outage: Outage of backend servers, if any.
        slow_servers: Number of servers that become slow and fail calls.
        slow_at: When they become slow.
        log_outage: Start and end of an outage of the log.
    """

    name: str
    duration: float
    load: float = 1.0
    plain_load: float = 1.0
    diurnal: bool = False
    regressions: tuple[quality_model.QualityRegression, ...] = ()
    withdrawn_at: float = 0.0
    has_rollout: bool = False
    candidate_quality: float = 0.0
    outage: Outage | None = None
    slow_servers: int = 0
    slow_at: float = 0.0
    log_outage: tuple[float, float] = (0.0, 0.0)


_HOUR = 3600.0
_REGRESSION_START_SECONDS = 1800.0
_MANUAL_DELAY = 1800.0  # Delay until operators notice and react.
NAMES = (
    "day",
    "turns-bad",
    "turns-bad-slowly",
    "turns-bad-one-kind",
    "bad-candidate",
    "good-candidate",
    "roll-out-log-down",
    "pool-outage",
    "half-dead-server",
    "half-load",
    "overload",
)


def make_scenario(
    name: str, deployment: deployment_lib.Deployment, scale: float = 1.0
) -> Scenario:
    """Returns the scenario ``name``.

    Args:
        name: One of ``NAMES``.
        deployment: Deployment whose versions regress.
        scale: Factor on the duration, for short trials.
    """
    hour = _HOUR * scale
    regression_at = _REGRESSION_START_SECONDS * scale
    manual_at = regression_at + _MANUAL_DELAY * scale
    version = _median_version(deployment)
    kind = next(iter(deployment.kinds))
    sudden = quality_model.QualityRegression(version, regression_at)
    gradual = attrs.evolve(sudden, ramp_seconds=1200.0 * scale)
    one_kind = attrs.evolve(sudden, kind=kind)
    scenarios = {
        "day": Scenario("day", 4 * hour, diurnal=True),
        "turns-bad": Scenario(
            "turns-bad", 2 * hour, regressions=(sudden,), withdrawn_at=manual_at
        ),
        "turns-bad-slowly": Scenario(
            "turns-bad-slowly",
            2 * hour,
            regressions=(gradual,),
            withdrawn_at=manual_at + 1200.0 * scale,
        ),
        "turns-bad-one-kind": Scenario(
            "turns-bad-one-kind",
            2 * hour,
            regressions=(one_kind,),
            withdrawn_at=manual_at,
        ),
        "bad-candidate": Scenario(
            "bad-candidate",
            2 * hour,
            has_rollout=True,
            candidate_quality=0.4,
            withdrawn_at=_MANUAL_DELAY * scale,
        ),
        "good-candidate": Scenario(
            "good-candidate", 2 * hour, has_rollout=True
        ),
        "roll-out-log-down": Scenario(
            "roll-out-log-down",
            2 * hour,
            has_rollout=True,
            candidate_quality=0.4,
            withdrawn_at=_MANUAL_DELAY * scale,
            log_outage=(60.0, 3000.0 * scale),
        ),
        "pool-outage": Scenario(
            "pool-outage",
            hour / 2,
            load=1.5,
            outage=Outage(hour / 6, hour / 4, 0.7),
        ),
        "half-dead-server": Scenario(
            "half-dead-server", hour / 2, slow_servers=2, slow_at=hour / 8
        ),
        "half-load": Scenario(
            "half-load", 60.0, load=0.5, plain_load=half_load_factor(deployment)
        ),
        "overload": Scenario(
            "overload",
            60.0,
            load=4.0,
            plain_load=half_load_factor(deployment) / 2,
        ),
    }
    return scenarios[name]


def half_load_factor(deployment: deployment_lib.Deployment) -> float:
    """Returns the plain load factor for half of the plain capacity at load 0.5.

    Half of this factor at load 4 gives twice the capacity.
    """
    servers = deployment.table.servers_by_service[deployment.plain_service]
    # 1.046 is the ratio of mean to median of the lognormal durations.
    mean = deployment_lib.PLAIN_WORK_SECONDS * 1.046
    capacity = sum(row.concurrency for row in servers) / mean
    return capacity / deployment.plain_rate


def _median_version(deployment: deployment_lib.Deployment) -> str:
    """Returns the active version with the median price.

    It carries most of the traffic.
    """
    rows = sorted(
        (
            row
            for row in deployment.table.versions.values()
            if row.stage is model.Stage.ACTIVE
        ),
        key=lambda row: row.output_price,
    )
    return rows[len(rows) // 2].key


def initial_table(table: model.Table, scenario: Scenario) -> model.Table:
    """Returns the table at the start of a scenario.

    Candidates are withdrawn unless the scenario rolls them out.
    """
    if scenario.has_rollout:
        return table
    return withdraw_versions(
        table,
        {
            row.key
            for row in table.versions.values()
            if row.stage is model.Stage.CANDIDATE
        },
    )


def withdraw_versions(table: model.Table, keys: set[str]) -> model.Table:
    """Returns ``table`` with the given versions withdrawn."""
    versions = {
        key: attrs.evolve(row, stage=model.Stage.WITHDRAWN)
        if key in keys
        else row
        for key, row in table.versions.items()
    }
    return attrs.evolve(table, versions=versions)
