"""Determinism and accounting of experiment runs."""

from __future__ import annotations

import pathlib

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.core.table import model
from hoistmoor.load.experiment import clock as clock_lib
from hoistmoor.load.experiment import command
from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import engine as engine_lib
from hoistmoor.load.experiment import policies
from hoistmoor.load.experiment import report
from hoistmoor.load.experiment import runs
from hoistmoor.load.experiment import scenarios


@pytest.fixture
def deployment() -> deployment_lib.Deployment:
    versions = [
        _make_version("small@1", 600, 0.75, model.Stage.ACTIVE),
        _make_version("small@2", 600, 0.78, model.Stage.CANDIDATE),
        _make_version("large@1", 9000, 0.95, model.Stage.ACTIVE),
    ]
    servers = [
        model.Server(f"llm-{i}", "llm", f"10.0.0.{i}:1", f"d{i % 2}", 8, True)
        for i in range(4)
    ] + [
        model.Server(f"desk-{i}", "desk", f"10.0.1.{i}:1", f"d{i}", 64, False)
        for i in range(2)
    ]
    services = [
        model.Service("llm", model.ServiceKind.ENGINE, 30.0, ()),
        model.Service("desk", model.ServiceKind.PLAIN, 5.0, ("*",)),
    ]
    grants = [
        model.Grant("big", name, "*", 0.85) for name in ("small", "large")
    ]
    table = model.Table(
        accounts={"big": model.Account("big", (), 1, 10.0, 9)},
        versions={row.key: row for row in versions},
        grants={row.key: row for row in grants},
        services={row.service: row for row in services},
        servers={row.server: row for row in servers},
    )
    return deployment_lib.from_table("taemsuk", table)


def _make_version(
    key: str, price: int, quality: float, stage: model.Stage
) -> model.Version:
    name, _, version = key.partition("@")
    return model.Version(
        model=name,
        version=version,
        service="llm",
        stage=stage,
        weight=1.0,
        input_price=price // 4,
        output_price=price,
        prior_quality=quality,
        exposure_cap=20,
        replicas=2,
    )


@pytest.mark.parametrize("policy", runs.POLICIES)
def test_run_is_deterministic_and_accounts_for_each_request(
    deployment: deployment_lib.Deployment, policy: str
) -> None:
    scenario = scenarios.make_scenario("pool-outage", deployment, 0.05)
    first = runs.run(deployment, scenario, policy, 1).metrics
    second = runs.run(deployment, scenario, policy, 1).metrics
    assertions.assert_that(
        repr(first.summary()), matchers.Equals(repr(second.summary()))
    )
    arrivals = deployment_lib.generate_arrivals(
        deployment, scenario.duration, scenario.load, 1, scenario.diurnal
    )
    ended = first.delivered + first.unserved_requests
    ended += len(first.plain_seconds) + first.unserved_plain_calls
    assertions.assert_that(ended, matchers.Equals(len(arrivals)))


def test_bad_candidate_stays_within_its_exposure_cap(
    deployment: deployment_lib.Deployment,
) -> None:
    scenario = scenarios.make_scenario("bad-candidate", deployment, 0.1)
    routed = runs.run(deployment, scenario, "hoistmoor", 1).metrics
    assert 0 < routed.responses_by_version["small@2"] <= 20
    baseline = runs.run(deployment, scenario, "two-reported", 1).metrics
    assert baseline.responses_by_version["small@2"] > 20


def test_cached_prefix_needs_no_prefill_and_batch_drains() -> None:
    clock = clock_lib.VirtualClock()
    engine = engine_lib.SimulatedEngine("e", clock, 8, ("v",))
    ended: list[float] = []

    def submit() -> None:
        engine.submit(
            engine_lib.Job(
                "v", 128, 1.0, 10, (1, 2), False,
                lambda job, ok: ended.append(job.first_token_at),
            )
        )  # fmt: skip

    submit()
    clock.run_until(10.0)
    alone = clock.now
    assertions.assert_that(ended, matchers.HasLength(1))
    assert ended[0] > 0.0
    submit()
    submit()
    clock.run_until(20.0)
    assertions.assert_that(ended[1:], matchers.Equals([alone, alone]))
    assertions.assert_that(engine.running, matchers.Equals(0))


def test_report_shows_the_range_and_unknown_deployment_is_rejected(
    deployment: deployment_lib.Deployment,
) -> None:
    scenario = scenarios.make_scenario("half-dead-server", deployment, 0.02)
    results = [
        runs.run(deployment, scenario, "random", seed) for seed in (1, 2)
    ]
    markdown = report.Report("small", tuple(results)).markdown()
    assertions.assert_that(markdown, matchers.Contains("| random |"))
    assertions.assert_that(markdown, matchers.Contains(".."))
    with pytest.raises(errors.ConfigurationError):
        command.Experiment(table=pathlib.Path("nowhere"))()


def test_baseline_accepts_response_if_all_granted_versions_are_withdrawn(
    deployment: deployment_lib.Deployment,
) -> None:
    policy = policies.make_baseline("fixed-cascade", deployment, 1)
    arrivals = deployment_lib.generate_arrivals(deployment, 30.0, 1.0, 1, False)
    arrival = next(a for a in arrivals if a.kind)
    table = scenarios.withdraw_versions(
        deployment.table, set(deployment.table.versions)
    )
    policy.on_table(table, 1)
    query = policies.Query(arrival, None, frozenset(), 1)
    decision = policies.Decision("small@1", "llm-0", hold=True)
    assert policy.judge(query, decision, 0.1, 0.0) is None
