# ruff: noqa: D102
"""Each completed request is billed once under random faults.

Mutants that each disable one mechanism verify that the checks detect the
resulting faults.
"""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import billing_cluster
from hypothesis import stateful
from hypothesis import strategies
import pytest
import random_machine

from hoistmoor.core.billing import bills
from hoistmoor.core.billing import held
from hoistmoor.core.billing import pending_bills
from hoistmoor.core.billing import statement

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core import identity

HOSTS = 3

hosts = strategies.integers(0, HOSTS - 1)
booleans = strategies.booleans()


class BillingMachine(stateful.RuleBasedStateMachine):
    """Applies random operations and faults to a cluster."""

    cluster_arguments: dict[str, Any] = {}

    def __init__(self) -> None:
        super().__init__()
        self.cluster = billing_cluster.Cluster(**self.cluster_arguments)
        for index in range(HOSTS):
            self.cluster.start(index)

    @stateful.rule(index=hosts)
    def bill(self, index: int) -> None:
        self.cluster.bill(self.cluster.hosts[index])

    @stateful.rule(index=hosts, at=hosts, reply=booleans)
    def hold(self, index: int, at: int, reply: bool) -> None:
        peers = self.cluster.hosts
        self.cluster.hold(peers[index], peers[at], reply)

    @stateful.rule(index=hosts, is_stored=booleans)
    def append(self, index: int, is_stored: bool) -> None:
        host = self.cluster.hosts[index]
        self.cluster.start_append(host)
        if is_stored:
            self.cluster.store(host)

    @stateful.rule(index=hosts, released=booleans)
    def reply(self, index: int, released: bool) -> None:
        self.cluster.reply(self.cluster.hosts[index], released)

    @stateful.rule(index=hosts)
    def lose_reply(self, index: int) -> None:
        self.cluster.lose_reply(self.cluster.hosts[index])

    @stateful.rule()
    def store_late(self) -> None:
        self.cluster.store_late()

    @stateful.rule(index=hosts, reply=booleans)
    def check_peers(self, index: int, reply: bool) -> None:
        self.cluster.check_peers(self.cluster.hosts[index], reply)

    @stateful.rule(index=hosts)
    def crash(self, index: int) -> None:
        self.cluster.start(index)

    def teardown(self) -> None:
        self.cluster.check()


def test_each_completed_request_is_billed_exactly_once() -> None:
    random_machine.run(BillingMachine, 300)


class CountsDuplicates(statement.Statement):
    """Does not drop duplicates."""

    def _is_new(self, text: str, at: float) -> bool:
        super()._is_new(text, at)
        return True


class IgnoresOrphans(held.HeldBatches):
    """Never returns the batches of failed owners."""

    def orphans(
        self, is_alive: Callable[[identity.Incarnation], bool]
    ) -> tuple[bills.BillBatch, ...]:
        return ()


class DropsHeldBills(pending_bills.PendingBills):
    """Drops bills once a peer holds them, instead of appending them."""

    def record_held(
        self, batch: bills.BillBatch, holder: identity.Incarnation
    ) -> bool:
        super().record_held(batch, holder)
        for bill in batch.bills:
            self._bills.pop(bill.request_id, None)
            self._copies.pop(bill.request_id, None)
        return True


class IgnoresFailedHolders(pending_bills.PendingBills):
    """Does not mark bills as unsecured when their holder fails."""

    def record_holder_failed(self, holder: identity.Incarnation) -> None:
        held = [id_ for id_, h in self._copies.items() if h.holder == holder]
        for request_id in held:
            del self._copies[request_id]


MUTANTS = {
    "counts_duplicates": (
        {"make_statement": CountsDuplicates},
        "more than once",
    ),
    "ignores_orphans": ({"make_held": IgnoresOrphans}, "never billed"),
    "drops_held_bills": ({"make_pending": DropsHeldBills}, "never billed"),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_checks_detect_a_disabled_mechanism(name: str) -> None:
    cluster_arguments, message = MUTANTS[name]
    with pytest.raises(AssertionError, match=message):
        random_machine.run(
            BillingMachine, 3000, cluster_arguments=cluster_arguments
        )


def fail_holder_then_owner(cluster: billing_cluster.Cluster) -> None:
    for index in range(HOSTS):
        cluster.start(index)
    owner, first, second = cluster.hosts
    cluster.bill(owner)
    cluster.hold(owner, first, reply=True)
    cluster.start(1)
    cluster.check_peers(owner, reply=True)
    cluster.hold(owner, second, reply=True)
    cluster.start(0)
    assert not cluster.may_be_lost, "no process has the bill"
    cluster.check()


def test_a_bill_is_held_again_after_its_holder_fails() -> None:
    fail_holder_then_owner(billing_cluster.Cluster())
    with pytest.raises(AssertionError, match="no process has the bill"):
        fail_holder_then_owner(
            billing_cluster.Cluster(make_pending=IgnoresFailedHolders)
        )
