"""Tests that the cap on unproven answers holds over all hosts.

Claims may be repeated or lost, and hosts may read the log with a delay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import routing_rows
from testtools import assertions
from testtools import matchers

from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import messages
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from conftest import MakeRouter
    from conftest import MakeTable

CAP = 20
NO_SERVERS: frozenset[str] = frozenset()
ROW = routing_rows.version_row("small@v2", stage=model.Stage.CANDIDATE, cap=CAP)
DIGEST = exposure.row_digest(ROW)


class Fleet:
    """Simulated hosts that read a log with lost and repeated appends late."""

    def __init__(self, fold: type[exposure.ExposureLedger]) -> None:
        self.fold = fold
        self.log: list[messages.ExposureClaim] = []
        self.budgets: list[exposure.ExposureBudget] = []
        self.read: list[int] = []
        self.spent = 0

    def start(self) -> None:
        """Starts another host."""
        name = f"host-{len(self.budgets)}"
        budget = exposure.ExposureBudget(name, self.fold())
        self.budgets.append(budget)
        self.read.append(0)

    def use(self, host: int, now: float, views: int, repeats: int) -> None:
        """Uses the budget of a host and appends its claim ``repeats`` times."""
        budget = self.budgets[host % len(self.budgets)]
        self.spent += budget.try_consume(DIGEST)
        claim = budget.claim_if_exhausted(ROW, DIGEST, views, now)
        if claim is not None:
            self.log += [claim] * repeats

    def catch_up(self, host: int, records: int) -> None:
        """Lets a host read up to ``records`` further records."""
        host %= len(self.budgets)
        start = self.read[host]
        page = self.log[start : start + records]
        for offset, claim in enumerate(page, start):
            self.budgets[host].on_claim(offset, claim)
        self.read[host] = start + len(page)


actions = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("start")),
        strategies.tuples(
            strategies.just("use"),
            strategies.integers(0, 9),
            strategies.integers(1, 9),
            strategies.integers(0, 2),
        ),
        strategies.tuples(
            strategies.just("catch_up"),
            strategies.integers(0, 9),
            strategies.integers(1, 9),
        ),
    ),
    max_size=120,
)


def _run(fold: type[exposure.ExposureLedger], actions: list) -> int:
    fleet = Fleet(fold)
    fleet.start()
    now = 0.0
    for action in actions:
        now += 5.0
        if action[0] == "start":
            fleet.start()
        elif action[0] == "use":
            fleet.use(action[1], now, action[2], action[3])
        else:
            fleet.catch_up(action[1], action[2])
    for host in range(len(fleet.budgets)):
        fleet.catch_up(host, len(fleet.log))
        while fleet.budgets[host].try_consume(DIGEST):
            fleet.spent += 1
    return fleet.spent


@settings(derandomize=True, deadline=None, max_examples=200)
@given(actions=actions)
def test_cap_is_never_exceeded(actions: list) -> None:
    assert _run(exposure.ExposureLedger, actions) <= CAP


def test_cap_is_exceeded_without_the_fold() -> None:
    """Checks that the cap is exceeded if claims are granted unconditionally."""

    class Unlimited(exposure.ExposureLedger):
        def _grant(self, claim: messages.ExposureClaim) -> int:
            self.granted_by_claim[claim.claim_id] = claim.amount
            return claim.amount

    actions: list = []
    for host in range(8):
        actions += [("start",), ("use", host, 1, 1), ("catch_up", host, 9)]
    assertions.assert_that(_run(Unlimited, actions), matchers.GreaterThan(CAP))


def _claim(number: int, amount: int = 8) -> messages.ExposureClaim:
    return messages.ExposureClaim(
        f"h/{number}", ROW.key, DIGEST, "h", amount, CAP
    )


def test_late_reader_grants_nothing_before_a_tally() -> None:
    budget = exposure.ExposureBudget("h")
    budget.ledger.on_gap(2)
    budget.on_claim(2, _claim(2))
    assertions.assert_that(budget.try_consume(DIGEST), matchers.Equals(False))
    assert budget.claim_if_exhausted(ROW, DIGEST, 1, 0.0) is None
    # With two claims of 8 before the gap, 4 of 20 are left for the third one.
    budget.ledger.on_tally(messages.ExposureTally(1, {DIGEST: 8}))
    assertions.assert_that(budget.ledger.is_complete, matchers.Equals(False))
    budget.ledger.on_tally(messages.ExposureTally(2, {DIGEST: 16}))
    assertions.assert_that(budget.ledger.is_complete, matchers.Equals(True))
    assertions.assert_that(budget.ledger.granted[DIGEST], matchers.Equals(CAP))
    assert budget.claim_if_exhausted(ROW, DIGEST, 1, 0.0) is None


def test_unproven_candidate_needs_a_slice_and_gets_no_session(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    versions = (
        *routing_rows.DEFAULT_VERSIONS,
        routing_rows.version_row(
            "small@v2", stage=model.Stage.CANDIDATE, cap=CAP
        ),
    )
    router = make_router(make_table(versions))
    chosen = set()
    for number in range(400):
        found = router.choose(
            routing_rows.query(number, model="small"), NO_SERVERS, 0.0
        )
        chosen.add(found.version)
    assertions.assert_that(chosen, matchers.Equals({"small@v1"}))
    claims = router.drain_effects()
    assertions.assert_that(claims, matchers.HasLength(1))
    router.on_evidence(0, claims[0])
    versions_chosen = [
        router.choose(
            routing_rows.query(number, model="small", session=session),
            NO_SERVERS,
            0.0,
        ).version
        for session in ("", "s")
        for number in range(400)
    ]
    assertions.assert_that(
        versions_chosen.count("small@v2"),
        matchers.Equals(claims[0].amount),
    )
    assertions.assert_that(
        versions_chosen[400:], matchers.Not(matchers.Contains("small@v2"))
    )


def test_records_are_repeated_for_late_readers(
    make_table: MakeTable, make_router: MakeRouter
) -> None:
    table = make_table((*routing_rows.DEFAULT_VERSIONS, ROW))
    hosts = [make_router(table, f"h{i}", seed=i) for i in range(5)]
    log: list[messages.Effect] = [_claim(1)]
    row = table.versions["large@v1"]
    digest = routing_rows.digest(row)
    log.append(messages.Withdrawal(row.key, "*", digest, "h", 0.0, ""))
    read = [0] * len(hosts)
    for now in range(0, 3600, 10):
        for index, host in enumerate(hosts):
            for offset in range(read[index], len(log)):
                host.on_evidence(offset, log[offset])
            read[index] = len(log)
            host.on_load(routing_rows.report("llm-0", float(now)), float(now))
            log += host.drain_effects()
    tallies = [r for r in log if isinstance(r, messages.ExposureTally)]
    assert 1 <= len(tallies) <= 6
    late_router = make_router(table, "late", seed=9)
    late_router.on_evidence_gap(2)
    for offset in range(2, len(log)):
        late_router.on_evidence(offset, log[offset])
    assert late_router.budget.ledger.is_complete
    assertions.assert_that(
        late_router.budget.ledger.granted, matchers.Equals({DIGEST: 8})
    )
    assert late_router.monitor.is_withdrawn("large@v1", "answer")
