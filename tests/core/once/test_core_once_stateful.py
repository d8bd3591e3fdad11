# ruff: noqa: D102
"""Stateful tests of at-most-once execution under arbitrary interleavings.

Each mutant disables one mechanism, and the same checker has to detect it.
"""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from hypothesis import stateful
from hypothesis import strategies
import once_cluster
import pytest
import random_machine

from hoistmoor.core import outcomes
from hoistmoor.core.once import claimant as claimant_lib
from hoistmoor.core.once import known_keys
from hoistmoor.core.once import messages
from hoistmoor.core.once import records
from hoistmoor.core.once import view as view_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core.once import runs

HOSTS = 2
KEYS = "ab"
STEPS = ["start_append", "land", "reply", "read_all", "run"]

hosts = strategies.integers(0, HOSTS - 1)


def make_cluster(
    claimant_class: type[claimant_lib.Claimant],
) -> once_cluster.Cluster:
    cluster = once_cluster.Cluster(claimant_class)
    for index in range(HOSTS):
        cluster.start(index)
    return cluster


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Drives a cluster with random steps."""

    claimant_class: type[claimant_lib.Claimant] = claimant_lib.Claimant

    def __init__(self) -> None:
        super().__init__()
        self.cluster = make_cluster(self.claimant_class)

    @stateful.initialize(windows=strategies.sampled_from([0.2, 2.5]))
    def keep_records(self, windows: float) -> None:
        self.cluster.retention = windows * once_cluster.WINDOW

    @stateful.rule(
        index=hosts,
        key=strategies.sampled_from(KEYS),
        left_out=strategies.sampled_from(["", *STEPS]),
        stop=strategies.integers(1, 2 * len(STEPS)),
    )
    def serve(self, index: int, key: str, left_out: str, stop: int) -> None:
        """Processes a request up to some step, possibly omitting one step."""
        host = self.cluster.hosts[index]
        self.cluster.begin(host, key, False)
        for step in STEPS[:stop]:
            if step != left_out:
                getattr(self.cluster, step)(host)

    @stateful.rule(
        index=hosts,
        key=strategies.sampled_from(KEYS),
        forwarded=strategies.booleans(),
    )
    def begin(self, index: int, key: str, forwarded: bool) -> None:
        self.cluster.begin(self.cluster.hosts[index], key, forwarded)

    @stateful.rule(index=hosts, lands=strategies.booleans())
    def append(self, index: int, lands: bool) -> None:
        host = self.cluster.hosts[index]
        self.cluster.start_append(host)
        if lands:
            self.cluster.land(host)

    @stateful.rule(index=hosts)
    def reply(self, index: int) -> None:
        self.cluster.reply(self.cluster.hosts[index])

    @stateful.rule(index=hosts)
    def lose_reply(self, index: int) -> None:
        self.cluster.lose_reply(self.cluster.hosts[index])

    @stateful.rule(index=strategies.integers(0, 3))
    def land_late(self, index: int) -> None:
        self.cluster.land_late(index)

    @stateful.rule(index=hosts, count=strategies.integers(1, 4))
    def read(self, index: int, count: int) -> None:
        self.cluster.read(self.cluster.hosts[index], count)

    @stateful.rule(
        index=hosts, outcome=strategies.sampled_from(outcomes.Outcome)
    )
    def run(self, index: int, outcome: outcomes.Outcome) -> None:
        self.cluster.run(self.cluster.hosts[index], outcome)

    @stateful.rule(index=hosts)
    def read_all(self, index: int) -> None:
        self.cluster.read_all(self.cluster.hosts[index])

    @stateful.rule(index=hosts)
    def give_up(self, index: int) -> None:
        self.cluster.give_up(self.cluster.hosts[index])

    @stateful.rule(index=hosts)
    def crash(self, index: int) -> None:
        self.cluster.run_and_crash(index)

    @stateful.rule(index=hosts)
    def suspect_wrongly(self, index: int) -> None:
        host = self.cluster.hosts[index]
        self.cluster.suspected_dead.add(host.claimant.incarnation)

    @stateful.rule(parts=strategies.sampled_from([1, 1, 1, 2, 4, 8]))
    def wait_long(self, parts: int) -> None:
        self.cluster.wait_long(parts * once_cluster.WINDOW / 4)

    def teardown(self) -> None:
        for key in KEYS:
            self.cluster.check_usable(key)


def check(
    claimant_class: type[claimant_lib.Claimant], examples: int, steps: int = 40
) -> None:
    random_machine.run(
        AtMostOnce, examples, steps, claimant_class=claimant_class
    )


def test_each_key_runs_at_most_once_and_not_run_is_true() -> None:
    check(claimant_lib.Claimant, examples=400)


class StartsOnReply(claimant_lib.Claimant):
    """Starts a run on the append's reply, without reading the claim back."""

    def on_append_stored(self, batch: records.ClaimBatch) -> None:
        super().on_append_stored(batch)
        for claim in batch.claims:
            run = self._runs.get(claim.key)
            if run and run.claim == claim and run.stage.name == "CLAIMING":
                run.stage = type(run.stage).WON
                self._changed[run.claim_id] = messages.Change.MOVED_ON


class KeepsAbandonedClaims(claimant_lib.Claimant):
    """Releases a claim on the log without removing it locally first."""

    def _abandon_unstarted(self, run: runs.Run) -> None:
        if run.sent and run.stage.name == "CLAIMING":
            self._queue_end(run.claim, outcomes.Outcome.NOT_RUN, None)
            return
        super()._abandon_unstarted(run)


class FreesKeysOfDeadHosts(known_keys.KnownKeys):
    """Treats a key as free if its holder is believed to be dead."""

    def _held(
        self,
        state: view_lib.KeyState,
        request: messages.KeyedRequest,
        now: float,
    ) -> Any:
        assert state.owner is not None
        if self.is_alive(state.owner):
            return super()._held(state, request, now)
        state.status = view_lib.Status.FREE
        return None


class TakesOverFromDeadHosts(claimant_lib.Claimant):
    """Takes a key over from a host that is believed to be dead."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._known = FreesKeysOfDeadHosts(
            self.incarnation, self._known.is_alive, self.answers, self.outbox
        )


class MutantView(view_lib.KeyView):
    """Base class of views with one mechanism disabled."""


class LatestClaimWins(MutantView):
    """Gives a held key to the latest claim."""

    def _decide(
        self, state: view_lib.KeyState, claim_id: str
    ) -> view_lib.Verdict:
        if state.status is view_lib.Status.HELD:
            return view_lib.Verdict.WON
        return super()._decide(state, claim_id)


class NeverClosesKeys(MutantView):
    """Treats every end of a run as a release."""

    def _end(
        self, offset: int, batch: records.ClaimBatch, ended: records.Ended
    ) -> None:
        freed = records.Ended(ended.key, ended.serial, outcomes.Outcome.NOT_RUN)
        super()._end(offset, batch, freed)


class IgnoresMissedWindow(MutantView):
    """Treats a key as free without having read a whole window."""

    def _sees_window(self) -> bool:
        return True

    def seconds_until_certain(self, now: float) -> float:
        return 0.0


class ForgetsVoidClaims(MutantView):
    """Lets a released claim win if it is stored after its release."""

    def _decide(
        self, state: view_lib.KeyState, claim_id: str
    ) -> view_lib.Verdict:
        state.void_claims = ()
        return super()._decide(state, claim_id)


def with_view(view: type[view_lib.KeyView]) -> type[claimant_lib.Claimant]:
    class Mutant(claimant_lib.Claimant):
        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            self.view = view(once_cluster.WINDOW)

    return Mutant


MUTANTS = {
    "starts_on_reply": (StartsOnReply, "ran twice"),
    "keeps_abandoned_claims": (KeepsAbandonedClaims, "ran after|ran twice"),
    "takes_over_from_dead_hosts": (TakesOverFromDeadHosts, "ran twice"),
    "latest_claim_wins": (with_view(LatestClaimWins), "ran twice"),
    "never_closes_keys": (with_view(NeverClosesKeys), "ran twice"),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_checker_catches_a_mechanism_taken_out(name: str) -> None:
    mutant, message = MUTANTS[name]
    with pytest.raises(AssertionError, match=message):
        check(mutant, examples=3000)


def release_lands_before_its_claim(cluster: once_cluster.Cluster) -> None:
    owner = cluster.hosts[0]
    cluster.begin(owner, "a", False)
    cluster.start_append(owner)
    cluster.lose_reply(owner)  # The claim is delayed and not stored yet.
    cluster.give_up(owner)
    cluster.start_append(owner)
    cluster.land(owner)
    cluster.reply(owner)
    cluster.land_late(0)
    cluster.check_usable("a")


def host_starts_after_retention_took_the_run(
    cluster: once_cluster.Cluster,
) -> None:
    cluster.retention = 0.2 * once_cluster.WINDOW
    for _ in range(2):
        host = cluster.hosts[0]
        cluster.begin(host, "a", False)
        for step in STEPS:
            getattr(cluster, step)(host)
        cluster.wait_long(0.3 * once_cluster.WINDOW)
        cluster.start(0)


HISTORIES = {
    release_lands_before_its_claim: (ForgetsVoidClaims, "can never be run"),
    host_starts_after_retention_took_the_run: (
        IgnoresMissedWindow,
        "ran twice",
    ),
}


@pytest.mark.parametrize("history", HISTORIES)
def test_history_needs_its_mechanism(
    history: Callable[[once_cluster.Cluster], None],
) -> None:
    mutant, message = HISTORIES[history]
    history(make_cluster(claimant_lib.Claimant))
    with pytest.raises(AssertionError, match=message):
        history(make_cluster(with_view(mutant)))
