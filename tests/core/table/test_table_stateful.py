# ruff: noqa: D102
"""Stateful test of hosts, operators, retention, snapshots and peers.

Hypothesis interleaves their steps and ``table_history`` checks the invariants.
The mutation tests disable one mechanism at a time; the checker must detect
each.
"""

from __future__ import annotations

import attrs
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
import table_cases
import table_history

from hoistmoor.core import codec
from hoistmoor.core.table import check
from hoistmoor.core.table import edit_history
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import replay
from hoistmoor.core.table import snapshots

_HOSTS = strategies.integers(0, 2)
_NAMES = strategies.sampled_from(["ann", "bo"])
_MAX_BASE_AGE = 10  # In records; small, so that the bound is often reached.


# The seed of a derandomized state machine is a digest of its source. Every edit
# of this class therefore changes the interleavings that the tests explore, and
# with them the mutations that the checker detects.
class TableMachine(stateful.RuleBasedStateMachine):
    """Three hosts, operators with stale views, one steward that pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.log = table_history.Log()
        self.history = table_history.History()
        self.hosts = [table_history.Host(self.history) for _ in range(3)]
        self.views: list[int] = [-1]
        self.sent: list[bytes] = []
        self.kept: list[edits.TableSnapshot] = []
        self.serial = 0
        service = model.Service("llm", model.ServiceKind.ENGINE, 5.0, ())
        self._edit(-1, edits.RowSet("services", "llm", service))

    def _edit(self, base: int, *changes: edits.Change) -> None:
        self.serial += 1
        edit = table_cases.edit(str(self.serial), base, *changes)
        self.sent.append(codec.encode(edit))
        self.log.append(self.sent[-1])

    @stateful.rule(host=_HOSTS, count=strategies.integers(1, 8))
    def host_reads(self, host: int, count: int) -> None:
        self.hosts[host].read(self.log, count)

    @stateful.rule(host=_HOSTS)
    def operator_looks(self, host: int) -> None:
        current = self.hosts[host].replay.fold
        if current is not None:
            self.views.append(current.as_of)

    @stateful.rule(
        view=strategies.integers(0, 3),
        name=_NAMES,
        spend=strategies.integers(0, 9),
    )
    def operator_sets(self, view: int, name: str, spend: int) -> None:
        self._edit(
            self.views[-1 - view % len(self.views)],
            table_cases.add_account(name, spend),
        )

    @stateful.rule(view=strategies.integers(0, 3), name=_NAMES)
    def operator_removes(self, view: int, name: str) -> None:
        self._edit(
            self.views[-1 - view % len(self.views)],
            edits.RowDelete("accounts", name),
        )

    @stateful.rule(view=strategies.integers(0, 3), name=_NAMES)
    def operator_sets_what_needs_the_row(self, view: int, name: str) -> None:
        service = model.Service("till", model.ServiceKind.PLAIN, 5.0, (name,))
        self._edit(
            self.views[-1 - view % len(self.views)],
            edits.RowSet("services", "till", service),
        )

    @stateful.rule(which=strategies.integers(0, 5))
    def append_lands_again(self, which: int) -> None:
        self.log.append(self.sent[-1 - which % len(self.sent)])

    @stateful.rule()
    def noise_lands(self) -> None:
        self.log.append(b"{")

    @stateful.rule(host=_HOSTS)
    def steward_makes_a_snapshot(self, host: int) -> None:
        current = self.hosts[host].replay.fold
        if current is not None:
            self.kept.append(current.snapshot())

    @stateful.precondition(lambda self: self.kept)
    @stateful.rule(which=strategies.integers(0, 5))
    def steward_wakes_and_appends_one(self, which: int) -> None:
        snapshot = self.kept[-1 - which % len(self.kept)]
        self.log.append(codec.encode(snapshot))

    @stateful.rule(count=strategies.integers(1, 12))
    def retention_takes(self, count: int) -> None:
        self.log.first = min(self.log.first + count, len(self.log.payloads))

    @stateful.rule(host=_HOSTS)
    def host_restarts(self, host: int) -> None:
        self.hosts[host].restart()

    @stateful.rule(host=_HOSTS, peer=_HOSTS)
    def peer_offers(self, host: int, peer: int) -> None:
        self.hosts[host].take_from(self.hosts[peer])

    @stateful.precondition(lambda self: self.kept)
    @stateful.rule(host=_HOSTS, which=strategies.integers(0, 5))
    def late_offer_arrives(self, host: int, which: int) -> None:
        self.hosts[host].take(self.kept[-1 - which % len(self.kept)])

    def teardown(self) -> None:
        """All hosts that can catch up do, and agree."""
        for host in self.hosts:
            host.read(self.log, len(self.log.payloads))
            current = host.replay.fold
            if host.replay.problem is None:
                assert current is not None
                assert current.as_of >= len(self.log.payloads) - 1


def _run(examples: int) -> None:
    stateful.run_state_machine_as_test(
        TableMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=40,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.fixture(autouse=True)
def _short_history(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(edit_history, "MAX_BASE_AGE_RECORDS", _MAX_BASE_AGE)


def test_hosts_agree_and_never_revert() -> None:
    _run(300)


@attrs.frozen
class Mutation:
    """A replacement that disables one mechanism."""

    owner: object
    name: str
    replacement: object


def _adopt_any_snapshot(
    self: replay.TableReplay, offset: int, payload: bytes
) -> tuple[fold.Verdict, ...]:
    record = fold.decode_record(payload)
    if isinstance(record, edits.TableSnapshot):
        self.fold = fold.TableFold.from_snapshot(
            attrs.evolve(record, as_of=offset)
        )
        return ()
    return _FEED(self, offset, payload)


_FEED = replay.TableReplay.feed

MUTATIONS = {
    "conflict detection": Mutation(
        edit_history.EditHistory, "change_since", lambda *_: None
    ),
    "deduplication of edits": Mutation(
        edit_history.EditHistory, "first_offset", lambda *_: None
    ),
    "validation": Mutation(check, "RULES", {1: lambda _: ()}),
    "maximum age of a base": Mutation(
        edit_history, "is_base_covered", lambda *_: True
    ),
    "usability of snapshots": Mutation(snapshots, "is_usable", lambda *_: True),
    "running hosts ignore snapshots": Mutation(
        replay.TableReplay, "feed", _adopt_any_snapshot
    ),
    "only newer snapshots are adopted": Mutation(
        replay, "_is_newer", lambda *_: True
    ),
}


@pytest.mark.parametrize("mechanism", MUTATIONS)
def test_checker_detects_a_disabled_mechanism(
    monkeypatch: pytest.MonkeyPatch, mechanism: str
) -> None:
    mutation = MUTATIONS[mechanism]
    monkeypatch.setattr(mutation.owner, mutation.name, mutation.replacement)

    with pytest.raises(
        (table_history.InvariantViolationError, fold.TableGapError)
    ):
        _run(400)
