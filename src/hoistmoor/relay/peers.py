"""Relays that ask one another for what the store says.

Each host lists itself on a topic of the store at its start. A host asks those
before it in the shared order; if none has anything current, it reads the
store itself. With its questions it tells what only it knows: its work at the
backend servers and its counts in roll-outs.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from hoistmoor.core import errors
from hoistmoor.relay import follower as follower_lib
from hoistmoor.relay import peer_codec
from hoistmoor.relay import ports
from hoistmoor.relay import store_gate

if TYPE_CHECKING:
    from hoistmoor.core.relay import mirror
    from hoistmoor.core.relay import topics
    from hoistmoor.relay import peer_client
    from hoistmoor.relay import state as state_lib

PERIOD = 0.3  # Seconds between two questions.
# Seconds until the first one: by then the other hosts are known, and before
# that each topic was read once.
FIRST_QUESTION = 0.45
# Age of a configuration above which a copy is not current enough, from a host
# that reads the store itself; that stays below 0.6 s. Each host between adds
# a PERIOD.
OLDEST = 0.9
# Age from which a host reads the store itself, whatever others may still say:
# operators allow two seconds until a change is in force.
OLDEST_OWN = 1.4
# Seconds until a host that begins to read the store reads the slow topics too:
# most often another host is found before.
SETTLED = 1.0
SLOW_TOPICS = frozenset({"phases", "hosts"})
LIST_RETRY = 0.5  # Seconds until a host tries again to list itself.
_FOREVER = 1e9  # Seconds; JSON has no infinity.


class HostListener:
    """Takes the hosts' own entries."""

    def __init__(
        self, state: state_lib.RelayState, sources: mirror.Sources
    ) -> None:
        self._state = state
        self._sources = sources

    def __call__(
        self, update: follower_lib.Update
    ) -> tuple[topics.Record, ...]:
        """Takes one update."""
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                self._sources.put(peer_codec.decode_host(record.value))
            except ValueError as error:
                self._state.log.write(
                    "host_unreadable", key=record.key, detail=str(error)
                )
        return update.batch.records


class PeerAnswers:
    """Answers other hosts."""

    def __init__(
        self,
        state: state_lib.RelayState,
        followers: dict[str, follower_lib.TopicFollower],
    ) -> None:
        self._state = state
        self._followers = followers

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one question."""
        try:
            asked = peer_codec.decode_request(await request.read())
        except ValueError:
            return web.Response(status=400)
        return web.Response(body=peer_codec.encode(self.answer(asked)))

    def answer(self, asked: peer_codec.CopyRequest) -> peer_codec.CopyAnswer:
        """Returns what is new to the other host."""
        copies = {}
        for name, offset in asked.offsets.items():
            follower = self._followers.get(name)
            new = follower.mirror.copy_from(offset) if follower else None
            if follower is not None and new is not None:
                outage = min(follower.after_outage, _FOREVER)
                copies[name] = peer_codec.TopicCopy(new, outage)
        for evidence in asked.evidence:
            self._state.evidence.take(evidence)
        now = self._state.clock()
        age = min(self._followers["operator"].age(), _FOREVER)
        outstanding = self._state.outstanding
        outstanding.take(asked.host, asked.work, now)
        own = self._state.router.fleet.own_work()
        return peer_codec.CopyAnswer(
            age,
            self._state.depth,
            copies,
            outstanding.told_to(asked.host, own, now),
            self._state.look_for_doubts(asked.doubts),
        )


class PeerReader:
    """Asks other hosts, and switches the followers to the store if need be."""

    def __init__(
        self,
        state: state_lib.RelayState,
        sources: mirror.Sources,
        followers: dict[str, follower_lib.TopicFollower],
        client: peer_client.PeerClient,
        gate: store_gate.StoreGate,
    ) -> None:
        """Makes the task.

        Args:
            state: What the relay knows.
            sources: The other hosts.
            followers: Read the store, by topic.
            client: Carries the questions.
            gate: Holds reads back while the store is away.
        """
        self._state = state
        self._gate = gate
        self._stale: set[str] = set()
        self._direct_since = state.clock()
        self._sources = sources
        self._followers = followers
        self._operator = followers["operator"]
        self._client = client

    async def run(self) -> None:
        """Asks until cancelled."""
        await asyncio.sleep(FIRST_QUESTION)
        while True:
            # Before its first snapshot a host reads the store: that is there
            # also when all hosts start at once.
            has_all = self._followers.keys() <= self._state.topics_read
            found = await self._ask_any() if has_all else ""
            self._note_source(found)
            self._take_others_work()
            self._gate.longest_backoff = (
                store_gate.LONGEST_BACKOFF
                if self._sources.is_first()
                else store_gate.RELAXED_BACKOFF
            )
            self._switch(has_all)
            await asyncio.sleep(PERIOD)

    def _note_source(self, found: str) -> None:
        if found == self._state.source:
            return
        if not found:
            self._direct_since = self._state.clock()
            self._state.depth = 0
        self._state.source = found
        self._state.believe("source", peer=found or "store")

    def _switch(self, has_all: bool) -> None:
        """Has the followers read the store, or not."""
        is_direct = not self._state.source
        is_settled = (
            not has_all or self._state.clock() - self._direct_since >= SETTLED
        )
        for name, follower in self._followers.items():
            if is_direct and (is_settled or name not in SLOW_TOPICS):
                follower.read_directly()
            else:
                follower.direct.clear()

    def _take_others_work(self) -> None:
        now = self._state.clock()
        work = self._state.outstanding.of_others(now)
        if work is not None:
            self._state.router.fleet.take_others_work(work, now)

    async def _ask_any(self) -> str:
        """Returns the host that answered with something current, or empty."""
        for host in self._sources.candidates(self._state.clock()):
            if await self._ask(host):
                return host.name
            if self._operator.age() > OLDEST_OWN:
                break  # Another silent host would take too long.
        return ""

    async def _ask(self, host: mirror.Host) -> bool:
        """Returns whether a host answered with something current."""
        asked = peer_codec.CopyRequest(
            {name: each.next_offset for name, each in self._followers.items()},
            self._sources.own,
            self._state.outstanding.told_to_source(
                self._state.router.fleet.own_work(), self._state.clock()
            ),
            self._state.known_evidence(),
            self._state.look_for_doubts(),
        )
        sent_at = self._state.clock()
        answer = await self._client.ask(host, asked)
        if answer is None:
            self._sources.note_failed(host.name, self._state.clock())
            return False
        self._sources.note_answered(host.name)
        oldest = OLDEST + answer.depth * PERIOD
        if answer.age + self._state.clock() - sent_at > oldest:
            self._note_stale(host, answer.age)
            return False
        self._state.depth = answer.depth + 1
        self._stale.discard(host.name)
        self._take(answer, sent_at)
        return True

    def _note_stale(self, host: mirror.Host, age: float) -> None:
        """Logs it once: the host is asked again and again until it is not."""
        if host.name in self._stale:
            return
        self._stale.add(host.name)
        self._state.log.write("host_stale", peer=host.name, age=round(age, 3))

    def _take(self, answer: peer_codec.CopyAnswer, sent_at: float) -> None:
        # The answer was made after the question was sent, and its age counts
        # from when it was made.
        current_at = sent_at - answer.age
        self._state.outstanding.take_rest(answer.work, sent_at)
        self._state.look_for_doubts(answer.doubts)
        for name, topic in answer.topics.items():
            follower = self._followers.get(name)
            # A read of the store that is under way may have gone further.
            if follower is None or follower.is_ahead_of(topic.batch):
                continue
            follower.take(
                follower_lib.Update(topic.batch, current_at, topic.after_outage)
            )


class SelfListing:
    """Lists this host once, so that others may ask it."""

    def __init__(
        self,
        state: state_lib.RelayState,
        topic: ports.KeyedTopic,
        host: mirror.Host,
        gate: store_gate.StoreGate,
    ) -> None:
        """Makes the task.

        Args:
            state: What the relay knows.
            topic: Where hosts list themselves.
            host: This host's entry.
            gate: Holds calls back while the store is away.
        """
        self._state = state
        self._gate = gate
        self._topic = topic
        self._host = host

    async def run(self) -> None:
        """Returns once the host is listed."""
        entry = peer_codec.encode(self._host)
        while True:
            await self._gate.wait_until_heard()
            try:
                await self._topic.put(self._host.name, entry)
            except errors.HoistmoorError as error:
                self._state.log.write("listing_waits", detail=error.problem)
                await asyncio.sleep(LIST_RETRY)
            else:
                await asyncio.Event().wait()
