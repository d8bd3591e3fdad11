"""The shares of a limit never exceed it, whatever fails.

Each mutant disables one mechanism, and the model has to detect it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from hypothesis import stateful
import pytest
import share_model
from testtools import assertions
from testtools import matchers

from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core.limits import handoffs
from hoistmoor.core.limits import ledger as ledger_lib
from hoistmoor.core.limits import local_shares
from hoistmoor.core.limits import records
from hoistmoor.core.limits import shares
from hoistmoor.core.limits import transfers

if TYPE_CHECKING:
    from collections.abc import Mapping

DAY = records.day_of(share_model.START)
AT = share_model.START + 10.0


def ask(
    host: str, amount: int, serial: int = 1, revision: int = 1, limit: int = 100
) -> records.ShareRequest:
    item = records.ShareAsk("a", amount, limit, revision)
    return records.ShareRequest(host, 1, serial, DAY, (item,))


def grant_all(*requests: records.ShareRequest) -> list[int]:
    fold = shares.ShareFold()
    fold.restart(0)
    return [
        grant.amount
        for offset, request in enumerate(requests)
        for grant in fold.apply(offset, AT, request)
    ]


@pytest.mark.parametrize(
    "machine",
    [
        share_model.ShareMachine,
        share_model.TransferMachine,
        share_model.HandoffMachine,
    ],
)
def test_limit_holds_over_crashes_lost_replies_and_retention(
    machine: type[share_model.ShareMachine],
) -> None:
    stateful.run_state_machine_as_test(machine, settings=share_model.SETTINGS)


class SpendsBeforeReadingBack(ledger_lib.ShareLedger):
    """Credits a share when requesting it, before reading it back."""

    def plan(
        self, now: float, needs: Mapping[str, int]
    ) -> tuple[records.ShareRequest, ...]:
        """Credits the asks of each planned request."""
        requests = super().plan(now, needs)
        for request in requests:
            for item in request.asks:
                self.local_shares.credit(
                    item.account, request.day, 0, item.amount, now
                )
        return requests


class KeepsReturnedAmounts(ledger_lib.ShareLedger):
    """Keeps returned amounts, as if a missing reply meant not stored."""

    def plan(
        self, now: float, needs: Mapping[str, int]
    ) -> tuple[records.ShareRequest, ...]:
        """Restores the amounts that each planned request returns."""
        requests = super().plan(now, needs)
        for request in requests:
            for item in request.returns:
                share = self.local_shares.share(item.account, request.day)
                share.granted += item.amount
        return requests


class IgnoresMissingRecords(ledger_lib.ShareLedger):
    """Treats the first readable record as the beginning of the stream."""

    def __init__(self, incarnation: identity.Incarnation) -> None:
        super().__init__(incarnation)
        begin_at = self.fold.restart

        def begin(first_offset: int) -> None:
            begin_at(first_offset)
            self.fold._end_replay()

        self.fold.restart = begin


class IgnoresOtherHosts(ledger_lib.ShareLedger):
    """Applies only its own records."""

    def apply(self, offset: int, at: float, record: object, now: float) -> bool:
        """Discards the records of other hosts."""
        other = getattr(record, "host", None) != self.incarnation.host
        return super().apply(offset, at, None if other else record, now)


class DeductsAfterAnswering(ledger_lib.ShareLedger):
    """Deducts a transfer only at the next plan, after answering."""

    def __init__(self, incarnation: identity.Incarnation) -> None:
        super().__init__(incarnation)
        self.deferred: list[tuple[local_shares.Share, int]] = []

    def grant_transfer(
        self, request: transfers.TransferRequest, now: float
    ) -> transfers.TransferAnswer:
        """Answers a request, and postpones the deduction."""
        share = self.local_shares.share(request.account, request.day)
        before = share.granted
        answer = super().grant_transfer(request, now)
        self.deferred.append((share, before - share.granted))
        share.granted = before
        return answer

    def plan(
        self, now: float, needs: Mapping[str, int]
    ) -> tuple[records.ShareRequest, ...]:
        """Applies the postponed deductions before planning."""
        while self.deferred:
            share, amount = self.deferred.pop()
            share.granted -= amount
        return super().plan(now, needs)


class _CreditsTwice(transfers.Transfers):
    def accept(self, answer: transfers.TransferAnswer) -> int:
        """Credits a duplicate answer again."""
        pending = dict(self._pending)
        amount = super().accept(answer)
        self._pending = pending
        return amount


class _CreditsForAnyProcess(transfers.Transfers):
    def _matches(
        self,
        answer: transfers.TransferAnswer,
        request: transfers.TransferRequest,
    ) -> bool:
        return answer.serial == request.serial


class CreditsAnswersTwice(ledger_lib.ShareLedger):
    """Credits an answer every time it is delivered."""

    def __init__(self, incarnation: identity.Incarnation) -> None:
        super().__init__(incarnation)
        self.transfers = _CreditsTwice(incarnation, self.local_shares)


class CreditsAnswersToDeadProcess(ledger_lib.ShareLedger):
    """Credits an answer that an earlier process may have credited."""

    def __init__(self, incarnation: identity.Incarnation) -> None:
        super().__init__(incarnation)
        self.transfers = _CreditsForAnyProcess(incarnation, self.local_shares)


class _CreditsHandoffsTwice(handoffs.Handoffs):
    def receive(self, handoff: handoffs.Handoff) -> handoffs.HandoffReceipt:
        """Forgets which handoffs were credited."""
        self._seen.clear()
        return super().receive(handoff)


class _CreditsHandoffsForOthers(handoffs.Handoffs):
    def receive(self, handoff: handoffs.Handoff) -> handoffs.HandoffReceipt:
        """Credits a handoff that is addressed to another process."""
        handoff = attrs.evolve(handoff, to=self.incarnation.number)
        return super().receive(handoff)


class _KeepsHandoffs(handoffs.Handoffs):
    def prepare(self, to: int, today: int, peers: int) -> handoffs.Handoff:
        """Hands off amounts without deducting them."""
        handoff = super().prepare(to, today, peers)
        for item in handoff.items:
            self.local_shares.share(
                item.account, item.day
            ).granted += item.amount
        return handoff


def _with_handoffs(
    broken: type[handoffs.Handoffs],
) -> type[ledger_lib.ShareLedger]:
    """Returns a class whose handoff implementation is broken."""

    class Ledger(ledger_lib.ShareLedger):
        def __init__(self, incarnation: identity.Incarnation) -> None:
            super().__init__(incarnation)
            self.handoffs = broken(incarnation, self.local_shares)

    return Ledger


@pytest.mark.parametrize(
    ("mutant", "machine"),
    [
        (SpendsBeforeReadingBack, share_model.ShareMachine),
        (KeepsReturnedAmounts, share_model.ShareMachine),
        (IgnoresMissingRecords, share_model.ShareMachine),
        (IgnoresOtherHosts, share_model.ShareMachine),
        (DeductsAfterAnswering, share_model.TransferMachine),
        (CreditsAnswersTwice, share_model.TransferMachine),
        (CreditsAnswersToDeadProcess, share_model.TransferMachine),
        (_with_handoffs(_CreditsHandoffsTwice), share_model.HandoffMachine),
        (_with_handoffs(_CreditsHandoffsForOthers), share_model.HandoffMachine),
        (_with_handoffs(_KeepsHandoffs), share_model.HandoffMachine),
    ],
)
def test_limit_breaks_without_each_mechanism(
    mutant: type[ledger_lib.ShareLedger],
    machine: type[share_model.ShareMachine],
) -> None:
    class Mutated(machine):
        make_ledger = mutant

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            Mutated, settings=share_model.MUTANT_SETTINGS
        )


def test_order_of_the_log_decides() -> None:
    granted = grant_all(ask("h1", 70), ask("h2", 70), ask("h3", 70))
    assertions.assert_that(granted, matchers.Equals([70, 30, 0]))


def test_newest_revision_sets_the_limit() -> None:
    granted = grant_all(
        ask("h1", 70),
        ask("h2", 10, revision=2, limit=50),
        ask("h1", 10, serial=2, revision=1, limit=100),
        ask("h1", 30, serial=3, revision=3, limit=90),
    )
    assertions.assert_that(granted, matchers.Equals([70, 0, 0, 20]))


def test_ask_for_a_day_long_past_or_far_ahead_is_ignored() -> None:
    fold = shares.ShareFold()
    fold.restart(0)
    late = fold.apply(0, AT + records.SECONDS_PER_DAY, ask("h1", 70))
    early = fold.apply(1, AT - 3 * shares.ASK_AHEAD_SECONDS, ask("h1", 70))
    assertions.assert_that(late + early, matchers.Equals(()))
    assertions.assert_that(fold.ignored, matchers.Equals(2))


def test_cut_limit_scales_what_each_host_may_still_spend() -> None:
    ledger = ledger_lib.ShareLedger(identity.Incarnation("h1", 1))
    ledger.fold.restart(0)
    ledger.in_force = share_model.table_of(1_000)
    for offset, host in enumerate(("h1", "h2")):
        item = records.ShareAsk(share_model.ACCOUNT, 400, 1_000, 1)
        request = records.ShareRequest(host, 1, 1, DAY, (item,))
        ledger.apply(offset, AT, request, AT)
    ledger.in_force = share_model.table_of(200, revision=2)
    account = share_model.ACCOUNT
    verdicts = [ledger.reserve(account, 100, DAY, AT) for _ in range(2)]
    assertions.assert_that(
        verdicts,
        matchers.Equals(
            [ledger_lib.ReserveResult.RESERVED, ledger_lib.ReserveResult.WAIT]
        ),
    )


def test_share_comes_back_from_an_idle_host_to_a_starved_one() -> None:
    ledgers = [
        ledger_lib.ShareLedger(identity.Incarnation(f"h{n}", 1)) for n in (1, 2)
    ]
    log: list[object] = []
    account = share_model.ACCOUNT
    for ledger in ledgers:
        ledger.fold.restart(0)
        ledger.hosts = 2
        ledger.in_force = share_model.table_of(1_000)
    now = AT
    covered = 0
    for step in range(200):
        now += 1.0
        needs = ({account: 400} if step == 0 else {}, {account: 50})
        for ledger, need in zip(ledgers, needs, strict=True):
            log.extend(ledger.plan(now, need))
            for offset in range(ledger.fold.next_offset, len(log)):
                ledger.apply(offset, now, log[offset], now)
        while (
            ledgers[1].reserve(account, 50, DAY, now)
            is ledger_lib.ReserveResult.RESERVED
        ):
            covered += 50
    # The idle host was granted shares for 400 and needs none of them.
    assertions.assert_that(covered, matchers.GreaterThan(900))


def test_records_survive_the_codec() -> None:
    fold = shares.ShareFold()
    fold.restart(0)
    fold.apply(0, AT, ask("h1", 70))
    fold.apply(
        1,
        AT,
        records.DemandReport("h1", 1, (records.DemandWeight("a", 2.0),)),
    )
    snapshot = fold.snapshot()
    assertions.assert_that(
        codec.decode(codec.encode(snapshot)), matchers.Equals(snapshot)
    )


def test_outage_over_midnight_finds_shares_of_the_new_day() -> None:
    ledger = ledger_lib.ShareLedger(identity.Incarnation("h1", 1))
    ledger.fold.restart(0)
    ledger.hosts = 9
    ledger.in_force = share_model.table_of(1_000_000)
    midnight = (DAY + 1) * float(records.SECONDS_PER_DAY)
    offset = 0
    # The log goes down at 18:00.
    for now in range(int(midnight) - 30_000, int(midnight) - 21_600, 10):
        for request in ledger.plan(now, {}):
            ledger.apply(offset, now, request, now)
            offset += 1
    ledger.log_is_up = False
    verdict = ledger.reserve(share_model.ACCOUNT, 10_000, DAY + 1, midnight + 1)
    assertions.assert_that(
        verdict, matchers.Equals(ledger_lib.ReserveResult.RESERVED)
    )


def test_hosts_that_do_not_know_each_other_yet_leave_most_of_the_limit() -> (
    None
):
    fold = shares.ShareFold()
    fold.restart(0)
    for offset in range(local_shares.MIN_ASSUMED_HOSTS):
        ledger = ledger_lib.ShareLedger(identity.Incarnation(f"h{offset}", 1))
        ledger.fold.restart(0)
        ledger.in_force = share_model.table_of(1_000_000)
        (request,) = ledger.plan(AT, {})
        fold.apply(offset, AT, request)
    day_sum = fold.sum_for(share_model.ACCOUNT, DAY)
    assertions.assert_that(day_sum.granted, matchers.LessThan(125_001))
    assertions.assert_that(day_sum.granted, matchers.GreaterThan(100_000))
