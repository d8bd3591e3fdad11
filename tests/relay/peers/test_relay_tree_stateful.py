"""Copies along the tree of hosts, under random interleavings.

Three hosts pass the operators' topic on: one reads the store, the next asks
it, the last asks that one; at times any of them reads the store. Reads and
answers take any time on their way, a host may pause before it takes what has
come, hosts start again, and the store comes back from an older copy. At each
step the lease of each host must tell the truth, and no host may go back.
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

from hoistmoor.core.relay.beliefs import mirror
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.relay.peers import answers as answers_lib
from hoistmoor.relay.peers import listing as listing_lib
from hoistmoor.relay.peers import peer_client
from hoistmoor.relay.peers import peer_codec
from hoistmoor.relay.peers import reader as reader_lib
from hoistmoor.relay.store import follower
from hoistmoor.relay.store import operator_listener
from hoistmoor.relay.store import store_gate

HOSTS = (0, 1, 2)  # Each asks the one before it; the first reads the store.
FOREVER = 1e6
NOWHERE = os.open(os.devnull, os.O_WRONLY)


@attrs.define
class Published:
    """A revision, when the store took it, and when it lost it."""

    revision: int
    at: float
    lost_at: float = float("inf")


@attrs.define
class OnItsWay:
    """A read of the store, or an answer of a host, that has not been taken.

    Attributes:
        run: The run of the host that waits for it.
        sent_at: When the question was sent.
        batch: What the store answered; None for a host's answer.
        answer: What a host answered, as bytes; empty for the store's.
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
        self.state = relay_states.fresh(clock, NOWHERE)
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
        self.answers = answers_lib.PeerAnswers(self.state, followers)
        sources = mirror.Sources("h", "z")
        listing = listing_lib.SelfListing(
            self.state,
            relay_platform.MemoryTopic(),
            mirror.Host("h", "z", "127.0.0.1:1"),
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
        self.newest_seen = 0


class Tree(stateful.RuleBasedStateMachine):
    """Three hosts, the store, and what is on its way between them."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = relay_states.Clock()
        self.codec = relay_platform.NamedCodec()
        self.records: list[topics.Record] = []
        self.published: list[Published] = []
        self.hosts = {number: self.start() for number in HOSTS}
        self.on_their_way: list[OnItsWay] = []
        self.era = 0
        self.publish()
        for number in HOSTS:
            self.store_answers(number)
            self.arrive(self.on_their_way.pop())

    def start(self) -> Host:
        """Returns a run of a host that has read nothing."""
        return Host(self.clock, self.codec)

    @stateful.rule(seconds=st.floats(0.01, 3.0))
    def time_passes(self, seconds: float) -> None:
        """Nothing happens for a while."""
        self.clock.now += seconds

    @stateful.rule()
    def publish(self) -> None:
        """The store takes the next revision."""
        revision = len(self.published) + 1
        name = f"r{revision}".encode()
        self.codec.known[name] = relay_parts.in_force(revision)
        place = relay_parts.at(len(self.records), self.era)
        self.records.append(topics.Record("config", name, place))
        self.published.append(Published(revision, self.clock.now))

    @stateful.rule(lost=st.integers(0, 4))
    def store_comes_back(self, lost: int) -> None:
        """The store loses its newest records, and numbers go on anew."""
        self.era += 1
        kept = max(0, len(self.records) - lost)
        gone = {each.value for each in self.records[kept:]}
        self.records = [
            attrs.evolve(each, place=relay_parts.at(offset, self.era))
            for offset, each in enumerate(self.records[:kept])
        ]
        for each in self.published:
            is_lost = f"r{each.revision}".encode() in gone
            if is_lost and each.lost_at == float("inf"):
                each.lost_at = self.clock.now

    @stateful.rule(number=st.sampled_from(HOSTS))
    def store_answers(self, number: int) -> None:
        """A read is sent and answered at once; it arrives when it likes."""
        host = self.hosts[number]
        place = host.operator.place
        end = relay_parts.at(len(self.records), self.era)
        if place is None or place.era != self.era:
            batch = topics.Batch(
                tuple(self.records[-1:]), end, is_snapshot=True
            )
        else:
            batch = topics.Batch(tuple(self.records[place.offset :]), end)
        self.on_their_way.append(OnItsWay(host, self.clock.now, batch))

    @stateful.rule(number=st.sampled_from(HOSTS[1:]), age=st.floats(0.0, 2.0))
    def host_answers(self, number: int, age: float) -> None:
        """A question that was sent a while ago is answered."""
        host, source = self.hosts[number], self.hosts[number - 1]
        asked = peer_codec.CopyRequest(
            {"operator": host.operator.place},
            era=host.state.history.era,
            revision=host.state.revision,
        )
        answer = peer_codec.encode(source.answers.answer(asked))
        sent_at = self.clock.now - age
        self.on_their_way.append(OnItsWay(host, sent_at, answer=answer))

    @stateful.precondition(lambda self: self.on_their_way)
    @stateful.rule(data=st.data())
    def arrives(self, data: st.DataObject) -> None:
        """Anything that is on its way is taken."""
        place = data.draw(st.integers(0, len(self.on_their_way) - 1))
        self.arrive(self.on_their_way.pop(place))

    def arrive(self, found: OnItsWay) -> None:
        """Has its host take what was on its way."""
        if found.run not in self.hosts.values():
            return  # That run of the host has ended.
        if found.batch is None:
            answer = peer_codec.decode_answer(found.answer)
            found.run.state.history.learn(answer.era, "host")
            found.run.reader._take(answer, found.sent_at)
            return
        found.run.state.history.learn(found.batch.end.era, "store")
        if not found.run.operator.is_ahead_of(found.batch):
            update = follower.Update(found.batch, found.sent_at, FOREVER)
            found.run.operator.take(update)

    @stateful.rule(number=st.sampled_from(HOSTS))
    def starts_again(self, number: int) -> None:
        """A run of a host ends, and the next begins."""
        self.hosts[number] = self.start()

    @stateful.invariant()
    def leases_tell_the_truth(self) -> None:
        """What was in force when a lease was proved is known."""
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
    def no_host_goes_back(self) -> None:
        """A run of a host never uses an older revision again."""
        for host in self.hosts.values():
            found = host.state.configuration
            revision = found.revision if found else 0
            assert revision >= host.newest_seen
            host.newest_seen = revision

    def teardown(self) -> None:
        """Once each has read, all know what the store says."""
        self.clock.now += 1.0
        for number in HOSTS:
            self.store_answers(number)
            self.arrive(self.on_their_way.pop())
        for number in HOSTS[1:]:
            self.host_answers(number, 0.0)
            self.arrive(self.on_their_way.pop())
        self.leases_tell_the_truth()
        self.no_host_goes_back()
        newest = self.records[-1].value if self.records else None
        for host in self.hosts.values():
            assert host.state.revision >= (int(newest[1:]) if newest else -1)


PLAYED = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)

# What hypothesis draws changes with the constants of any local module, so a
# mutant may take many examples. The search ends with the first that shows it.
SEARCHED = settings(PLAYED, max_examples=5000, report_multiple_bugs=False)


def assert_is_found() -> None:
    """Asserts that the tree shows what was broken."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Tree, settings=SEARCHED)


def test_leases_along_the_tree_tell_the_truth() -> None:
    stateful.run_state_machine_as_test(Tree, settings=PLAYED)


def test_an_age_that_counts_from_the_arrival_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    take = reader_lib.PeerReader._take

    def take_as_of_now(
        self: reader_lib.PeerReader, answer: peer_codec.CopyAnswer, _: float
    ) -> None:
        take(self, answer, self._state.clock())

    monkeypatch.setattr(reader_lib.PeerReader, "_take", take_as_of_now)
    assert_is_found()


def test_a_source_that_forgets_the_age_of_its_copy_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower.TopicFollower, "age", lambda self: 0.0)
    assert_is_found()


def test_a_copy_that_is_judged_by_its_offset_alone_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def is_ahead_of(self: follower.TopicFollower, batch: topics.Batch) -> bool:
        return self.place is not None and batch.end.offset < self.place.offset

    monkeypatch.setattr(follower.TopicFollower, "is_ahead_of", is_ahead_of)
    assert_is_found()


def test_a_host_that_takes_what_an_older_copy_has_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    take = operator_listener.OperatorListener._take_configuration

    def take_any(
        self: operator_listener.OperatorListener,
        found: Any,
        record: topics.Record,
    ) -> bool:
        self._state.configuration = None
        return take(self, found, record)

    monkeypatch.setattr(
        operator_listener.OperatorListener, "_take_configuration", take_any
    )
    assert_is_found()
