"""Stateful test of copies along a chain of hosts, with random interleavings.

Three hosts pass the operators' topic on: one reads the store, the second one
copies from it, and the third one from the second; any of them may also read the
store. Responses are delayed arbitrarily and applied in any order, hosts
restart, and the store is restored from an older copy. At each step, the lease
of each host must be justified, and no host may return to an older revision.
"""

from __future__ import annotations

import os
from typing import Any

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import relay_parts
import relay_platform
import relay_states

from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.relay.peers import listing as listing_lib
from hoistmoor.relay.peers import peer_client
from hoistmoor.relay.peers import peer_codec
from hoistmoor.relay.peers import reader as reader_lib
from hoistmoor.relay.peers import request_handler as request_handler_lib
from hoistmoor.relay.store import follower
from hoistmoor.relay.store import operator_listener
from hoistmoor.relay.store import store_gate

# Each host copies from the one before it; the first one reads the store.
HOSTS = (0, 1, 2)
NO_OUTAGE = 1e6  # Seconds since an outage that never happened.
NULL_DESCRIPTOR = os.open(os.devnull, os.O_WRONLY)


@attrs.define
class Published:
    """A revision, with the times at which the store accepted and lost it."""

    revision: int
    at: float
    lost_at: float = float("inf")


@attrs.define
class PendingResponse:
    """A response of the store or of a host that was not delivered yet.

    Attributes:
        run: The run of the host that sent the request.
        sent_at: Time at which the request was sent.
        batch: Response of the store; None for the response of a host.
        answer: Encoded response of a host; empty for the response of the store.
    """

    run: Host
    sent_at: float
    batch: topics.Batch | None = None
    answer: bytes = b""


class Host:
    """One run of one host."""

    def __init__(
        self, clock: relay_states.Clock, codec: relay_platform.NamedCodec
    ) -> None:
        self.state = relay_states.make_state(clock, NULL_DESCRIPTOR)
        gate = store_gate.StoreGate()
        self.operator = follower.TopicFollower(
            self.state,
            "operator",
            relay_platform.MemoryTopic(),
            operator_listener.OperatorListener(self.state, codec),
            wait=0.0,
            pause=0.0,
            gate=gate,
        )
        followers = {"operator": self.operator, "hosts": self.operator}
        self.answers = request_handler_lib.PeerRequestHandler(
            self.state, followers
        )
        sources = replication.SourceSelector("h", "z")
        listing = listing_lib.SelfListing(
            self.state,
            relay_platform.MemoryTopic(),
            replication.Host("h", "z", "127.0.0.1:1"),
            sources,
            listing_lib.HostListener(self.state, sources),
            is_first_start=False,
        )
        self.reader = reader_lib.PeerReader(
            self.state,
            sources,
            followers,
            peer_client.PeerClient(self.state, None),  # type: ignore[arg-type]
            gate,
            listing,
        )
        self.highest_revision = 0


class Chain(stateful.RuleBasedStateMachine):
    """Three hosts, the store, and the pending responses between them."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = relay_states.Clock()
        self.codec = relay_platform.NamedCodec()
        self.records: list[topics.Record] = []
        self.published: list[Published] = []
        self.hosts = {number: self.start() for number in HOSTS}
        self.pending: list[PendingResponse] = []
        self.era = 0
        self.publish()
        for number in HOSTS:
            self.read_store(number)
            self.deliver(self.pending.pop())

    def start(self) -> Host:
        """Returns a new run of a host, which has not read anything."""
        return Host(self.clock, self.codec)

    @stateful.rule(seconds=st.floats(0.01, 3.0))
    def advance_clock(self, seconds: float) -> None:
        """Advances the clock."""
        self.clock.now += seconds

    @stateful.rule()
    def publish(self) -> None:
        """Writes the next revision to the store."""
        revision = len(self.published) + 1
        name = f"r{revision}".encode()
        self.codec.known[name] = relay_parts.make_configuration(revision)
        place = relay_parts.make_place(len(self.records), self.era)
        self.records.append(topics.Record("config", name, place))
        self.published.append(Published(revision, self.clock.now))

    @stateful.rule(lost=st.integers(0, 4))
    def restore_store(self, lost: int) -> None:
        """Removes the newest records of the store and starts a new era."""
        self.era += 1
        kept = max(0, len(self.records) - lost)
        gone = {each.value for each in self.records[kept:]}
        self.records = [
            attrs.evolve(each, place=relay_parts.make_place(offset, self.era))
            for offset, each in enumerate(self.records[:kept])
        ]
        for each in self.published:
            is_lost = f"r{each.revision}".encode() in gone
            if is_lost and each.lost_at == float("inf"):
                each.lost_at = self.clock.now

    @stateful.rule(number=st.sampled_from(HOSTS))
    def read_store(self, number: int) -> None:
        """Creates a response of the store, to be delivered later."""
        host = self.hosts[number]
        place = host.operator.place
        end = relay_parts.make_place(len(self.records), self.era)
        if place is None or place.era != self.era:
            batch = topics.Batch(
                tuple(self.records[-1:]), end, is_snapshot=True
            )
        else:
            batch = topics.Batch(tuple(self.records[place.offset :]), end)
        self.pending.append(PendingResponse(host, self.clock.now, batch))

    @stateful.rule(number=st.sampled_from(HOSTS[1:]), age=st.floats(0.0, 2.0))
    def request_copy(self, number: int, age: float) -> None:
        """Creates a response to a request that a host sent earlier."""
        host, source = self.hosts[number], self.hosts[number - 1]
        request = peer_codec.CopyRequest(
            {"operator": host.operator.place},
            era=host.state.store_era.era,
            revision=host.state.revision,
        )
        answer = peer_codec.encode(source.answers.answer(request))
        sent_at = self.clock.now - age
        self.pending.append(PendingResponse(host, sent_at, answer=answer))

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(data=st.data())
    def deliver_any(self, data: st.DataObject) -> None:
        """Delivers any of the pending responses."""
        index = data.draw(st.integers(0, len(self.pending) - 1))
        self.deliver(self.pending.pop(index))

    def deliver(self, response: PendingResponse) -> None:
        """Delivers a response to its host."""
        if response.run not in self.hosts.values():
            return  # This run of the host has ended.
        if response.batch is None:
            answer = peer_codec.decode_answer(response.answer)
            response.run.state.store_era.record_era(answer.era, "host")
            response.run.reader._take(answer, response.sent_at)
            return
        response.run.state.store_era.record_era(response.batch.end.era, "store")
        if not response.run.operator.is_ahead_of(response.batch):
            update = follower.Update(
                response.batch, response.sent_at, NO_OUTAGE
            )
            response.run.operator.apply(update)

    @stateful.rule(number=st.sampled_from(HOSTS))
    def restart(self, number: int) -> None:
        """Replaces a run of a host by a new one."""
        self.hosts[number] = self.start()

    @stateful.invariant()
    def leases_are_justified(self) -> None:
        """Each host knows the revisions up to the proof of its lease."""
        for host in self.hosts.values():
            proved_at = host.state.lease.proved_at
            if proved_at is None:
                continue
            due = [
                each.revision
                for each in self.published
                if each.at < proved_at < each.lost_at
            ]
            assert host.state.configuration is not None
            known = host.state.configuration.revision
            assert known >= max(due, default=0), (known, due, proved_at)

    @stateful.invariant()
    def no_host_reverts(self) -> None:
        """A run of a host never returns to an older revision."""
        for host in self.hosts.values():
            configuration = host.state.configuration
            revision = configuration.revision if configuration else 0
            assert revision >= host.highest_revision
            host.highest_revision = revision

    def teardown(self) -> None:
        """Checks that all hosts are current once each has read or copied."""
        self.clock.now += 1.0
        for number in HOSTS:
            self.read_store(number)
            self.deliver(self.pending.pop())
        for number in HOSTS[1:]:
            self.request_copy(number, 0.0)
            self.deliver(self.pending.pop())
        self.leases_are_justified()
        self.no_host_reverts()
        newest = self.records[-1].value if self.records else None
        for host in self.hosts.values():
            assert host.state.revision >= (int(newest[1:]) if newest else -1)


CHECK_SETTINGS = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)

# The examples that hypothesis generates depend on the constants of all local
# modules, so a mutant may take many examples to detect. The search stops at the
# first failure.
MUTANT_SETTINGS = settings(
    CHECK_SETTINGS, max_examples=5000, report_multiple_bugs=False
)


def assert_mutant_is_detected() -> None:
    """Asserts that the state machine fails with a mutation in place."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Chain, settings=MUTANT_SETTINGS)


def test_leases_along_chain_are_justified() -> None:
    stateful.run_state_machine_as_test(Chain, settings=CHECK_SETTINGS)


def test_counting_age_from_arrival_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = reader_lib.PeerReader._take

    def apply_as_of_now(
        self: reader_lib.PeerReader, answer: peer_codec.CopyAnswer, _: float
    ) -> None:
        original(self, answer, self._state.clock())

    monkeypatch.setattr(reader_lib.PeerReader, "_take", apply_as_of_now)
    assert_mutant_is_detected()


def test_ignoring_age_of_source_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower.TopicFollower, "age", lambda self: 0.0)
    assert_mutant_is_detected()


def test_comparing_offsets_without_era_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def is_ahead_of(self: follower.TopicFollower, batch: topics.Batch) -> bool:
        return self.place is not None and batch.end.offset < self.place.offset

    monkeypatch.setattr(follower.TopicFollower, "is_ahead_of", is_ahead_of)
    assert_mutant_is_detected()


def test_accepting_older_revision_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = operator_listener.OperatorListener._take_configuration

    def apply_any(
        self: operator_listener.OperatorListener,
        candidate: Any,
        record: topics.Record,
    ) -> bool:
        self._state.configuration = None
        return original(self, candidate, record)

    monkeypatch.setattr(
        operator_listener.OperatorListener, "_take_configuration", apply_any
    )
    assert_mutant_is_detected()
