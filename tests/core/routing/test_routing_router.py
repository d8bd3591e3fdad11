"""Tests the invariants of the router under any order of events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
import routing_rows
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.routing import degradation
from hoistmoor.core.routing import messages
from hoistmoor.core.routing import options
from hoistmoor.core.routing import router as router_lib
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from conftest import MakeRouter
    from conftest import MakeTable

NO_SERVERS: frozenset[str] = frozenset()
STAGES = tuple(model.Stage)
NAMES = ("small@v1", "medium@v1", "large@v1")


def _restage(table: model.Table, key: str, stage: model.Stage) -> model.Table:
    row = attrs.evolve(table.versions[key], stage=stage)
    return attrs.evolve(table, versions={**table.versions, key: row})


def _regrant(table: model.Table, granted: set[str]) -> model.Table:
    rows = [model.Grant("agents", name, "*", 0.9) for name in sorted(granted)]
    return attrs.evolve(table, grants={row.key: row for row in rows})


def _expect_refusal(
    found: messages.Choice | refusals.Refusal, reason: refusals.Reason
) -> None:
    assertions.assert_that(found, matchers.IsInstance(refusals.Refusal))
    assertions.assert_that(found.reason, matchers.Equals(reason))
    assertions.assert_that(
        found.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("stage"),
            strategies.sampled_from(NAMES),
            strategies.sampled_from(STAGES),
        ),
        strategies.tuples(
            strategies.just("grant"),
            strategies.sets(
                strategies.sampled_from(("small", "medium", "large"))
            ),
        ),
        strategies.tuples(
            strategies.just("turn"), strategies.sampled_from(NAMES)
        ),
        strategies.tuples(
            strategies.just("ask"),
            strategies.sampled_from(("auto", "small", "large", *NAMES)),
            strategies.sampled_from((None, *NAMES)),
            strategies.integers(0, 999),
            strategies.floats(0.0, 1.0),
        ),
    ),
    max_size=30,
)


def _interleave(router: router_lib.Router, steps: list) -> None:
    table = routing_rows.table(routing_rows.DEFAULT_VERSIONS)
    router.on_table(model.ActiveTable(0, table))
    held: list[tuple[messages.RouteQuery, messages.Choice]] = []
    for revision, step in enumerate(steps, start=1):
        if step[0] == "ask":
            _, name, pin, number, confidence = step
            query = routing_rows.query(number, model=name, pin=pin)
            _check(router, table, query, held, confidence, float(revision))
            continue
        if step[0] == "stage":
            table = _restage(table, step[1], step[2])
        elif step[0] == "grant":
            table = _regrant(table, step[1])
        else:
            row = table.versions[step[1]]
            router.on_evidence(revision, _withdrawal(row))
        router.on_table(model.ActiveTable(revision, table))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(steps=steps)
def test_only_granted_versions_in_a_serving_stage_get_work(steps: list) -> None:
    """Interleaves table edits, withdrawals, requests and held answers."""
    _interleave(router_lib.Router("bangna", 7, "bangna-1"), steps)


@pytest.mark.parametrize(
    "step",
    [
        ("stage", "small@v1", model.Stage.WITHDRAWN),
        ("stage", "small@v1", model.Stage.DRAINING),
        ("grant", {"large"}),
        ("turn", "small@v1"),
    ],
)
def test_interleaving_detects_a_missing_check(
    monkeypatch: pytest.MonkeyPatch, step: tuple
) -> None:
    monkeypatch.setattr(
        options.OptionsCatalog, "exclusion_reason", lambda *_: ""
    )
    router = router_lib.Router("bangna", 7, "bangna-1")
    asks = [("ask", "small@v1", None, n, 0.1) for n in range(3)]
    with pytest.raises(AssertionError):
        _interleave(router, [step, *asks])


def _withdrawal(row: model.Version, kind: str = "*") -> messages.Withdrawal:
    digest = routing_rows.digest(row)
    return messages.Withdrawal(row.key, kind, digest, "h", 0.0, "")


def _check(
    router: router_lib.Router,
    table: model.Table,
    query: messages.RouteQuery,
    held: list[tuple[messages.RouteQuery, messages.Choice]],
    confidence: float,
    now: float,
) -> None:
    found = router.choose(query, NO_SERVERS, now)
    if isinstance(found, messages.Choice):
        _check_allowed(router, table, query, found)
        held.append((query, found))
    if not held:
        return
    judged, choice = held.pop(0)
    verdict = router.judge(
        judged, choice, messages.AnswerFacts(confidence), now
    )
    if isinstance(verdict, messages.Escalate):
        fresh = attrs.evolve(judged, pin=None)
        _check_allowed(router, table, fresh, verdict.choice)


def _check_allowed(
    router: router_lib.Router,
    table: model.Table,
    query: messages.RouteQuery,
    choice: messages.Choice,
) -> None:
    row = table.versions[choice.version]
    assert table.grant_for(query.account, row) is not None
    assert row.stage is not model.Stage.WITHDRAWN
    if row.stage is model.Stage.DRAINING:
        assert query.pin == row.key
    assert not router.monitor.is_withdrawn(row.key, query.kind)


def test_session_keeps_its_draining_version(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    table = _restage(make_table(), "medium@v1", model.Stage.DRAINING)
    router = make_router(table)
    query = routing_rows.query(1, model="medium", pin="medium@v1")
    choice = router.choose(query, NO_SERVERS, 0.0)
    assertions.assert_that(choice.version, matchers.Equals("medium@v1"))
    assertions.assert_that(choice.hold_answer, matchers.Equals(False))
    _expect_refusal(
        router.choose(attrs.evolve(query, pin=None), NO_SERVERS, 0.0),
        refusals.Reason.VERSION_WITHDRAWN,
    )


def test_session_moves_from_a_withdrawn_version_with_a_reason(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    table = _restage(make_table(), "medium@v1", model.Stage.WITHDRAWN)
    query = routing_rows.query(1, pin="medium@v1")
    choice = make_router(table).choose(query, NO_SERVERS, 0.0)
    assertions.assert_that(choice.version, matchers.NotEquals("medium@v1"))
    assertions.assert_that(
        choice.reason, matchers.StartsWith("moved from medium@v1")
    )


def test_first_requests_of_a_session_agree_on_all_hosts(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    routers = [make_router(make_table(), f"h{i}", seed=i) for i in range(5)]
    versions = {
        router.choose(
            routing_rows.query(i, model="auto", session="s1"), NO_SERVERS, 0.0
        ).version
        for i, router in enumerate(routers)
    }
    assertions.assert_that(versions, matchers.HasLength(1))


@pytest.mark.parametrize(
    ("name", "reason"),
    [
        ("nothing", refusals.Reason.UNKNOWN_MODEL),
        ("nothing@v9", refusals.Reason.UNKNOWN_MODEL),
        ("large", refusals.Reason.NOT_GRANTED),
        ("large@v1", refusals.Reason.NOT_GRANTED),
    ],
)
def test_unknown_and_ungranted_models_are_refused(
    make_table: MakeTable,
    make_router: MakeRouter,
    name: str,
    reason: refusals.Reason,
) -> None:
    router = make_router(make_table(granted=("small",)))
    _expect_refusal(
        router.choose(routing_rows.query(model=name), NO_SERVERS, 0.0), reason
    )


def test_requests_to_a_full_pool_are_refused_with_spread_retries(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    router = make_router(make_table(servers=2))
    for i in range(2):
        full = routing_rows.report(f"llm-{i}", 1.0, running=8, queued=4)
        router.on_load(full, 1.0)
    waits = []
    for number in range(200):
        found = router.choose(routing_rows.query(number), NO_SERVERS, 1.5)
        _expect_refusal(found, refusals.Reason.NO_CAPACITY)
        waits.append(found.wait)
    # Retries are spread at the rate at which calls to the pool end.
    busiest = max(waits.count(wait) for wait in set(waits[:100]))
    assertions.assert_that(busiest, matchers.LessThan(20))
    assertions.assert_that(max(waits), matchers.LessThan(61))
    router.on_load(routing_rows.report("llm-0", 2.0), 2.0)
    choice = router.choose(routing_rows.query(0), NO_SERVERS, 2.0)
    assertions.assert_that(choice, matchers.IsInstance(messages.Choice))


def test_last_active_version_is_not_withdrawn(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    router = make_router(make_table())
    for _ in range(200):
        router.on_rating(routing_rows.rating("medium@v1", good=False), 0.0)
    records = router.drain_effects()
    assert records
    assert router.monitor.is_withdrawn("medium@v1", "answer")
    for name in ("small@v1", "large@v1"):
        for _ in range(300):
            router.on_rating(routing_rows.rating(name, good=False), 0.0)
    left = [
        name
        for name in NAMES
        if not router.monitor.is_withdrawn(name, degradation.ALL_KINDS)
    ]
    assertions.assert_that(left, matchers.HasLength(1))


def test_withdrawal_of_a_kind_applies_until_the_row_is_edited(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    table = make_table()
    router = make_router(table)
    record = _withdrawal(table.versions["small@v1"], "receipt")
    router.on_evidence(4, record)
    named = routing_rows.query(model="small@v1", kind="receipt")
    _expect_refusal(
        router.choose(named, NO_SERVERS, 0.0), refusals.Reason.VERSION_WITHDRAWN
    )
    other = attrs.evolve(named, kind="answer")
    choice = router.choose(other, NO_SERVERS, 0.0)
    assertions.assert_that(choice, matchers.IsInstance(messages.Choice))
    row = attrs.evolve(table.versions["small@v1"], prior_quality=0.7)
    edited = attrs.evolve(table, versions={**table.versions, row.key: row})
    router.on_table(model.ActiveTable(5, edited))
    lifted = router.choose(named, NO_SERVERS, 0.0)
    assertions.assert_that(lifted, matchers.IsInstance(messages.Choice))
