"""Relays that ask one another for what the store says.

Each host lists itself on a topic of the store at its start. A host asks those
before it in the shared order; if none has anything current, it reads the
store itself.
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

PERIOD = 0.4  # Seconds between two questions.
# Age of a configuration above which a copy is not current enough. A host that
# reads the store itself stays below 1.1 s.
OLDEST = 1.5
LIST_RETRY = 0.5  # Seconds until a host tries again to list itself.
_FOREVER = 1e9  # Seconds; JSON has no infinity.


class HostListener:
    """Takes the hosts' own entries."""

    def __init__(
        self, state: state_lib.RelayState, sources: mirror.Sources
    ) -> None:
        self._state = state
        self._sources = sources

    def __call__(self, update: follower_lib.Update) -> None:
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
        age = min(self._state.lease.age(now), _FOREVER)
        return peer_codec.CopyAnswer(age, copies, self._work_for(asked, now))

    def _work_for(
        self, asked: peer_codec.CopyRequest, now: float
    ) -> dict[str, float]:
        """Takes the asking host's work; returns that of the others."""
        outstanding = self._state.outstanding
        outstanding.take(asked.host, asked.zone, asked.work, now)
        own = self._state.router.fleet.own_work()
        if asked.zone == outstanding.zone:
            return outstanding.all_others(own, now, asked.host)
        return outstanding.near(own, now)


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
        self._sources = sources
        self._followers = followers
        self._client = client

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            await asyncio.sleep(PERIOD)
            # Before its first snapshot a host reads the store: that is there
            # also when all hosts start at once.
            has_all = self._followers.keys() <= self._state.topics_read
            found = await self._ask_any() if has_all else ""
            if found != self._state.source:
                self._state.source = found
                self._state.believe("source", peer=found or "store")
            self._gate.longest_backoff = (
                store_gate.LONGEST_BACKOFF
                if self._sources.is_asked()
                else store_gate.RELAXED_BACKOFF
            )
            for follower in self._followers.values():
                if found:
                    follower.direct.clear()
                else:
                    follower.direct.set()

    async def _ask_any(self) -> str:
        """Returns the host that answered with something current, or empty."""
        for host in self._sources.candidates(self._state.clock()):
            if await self._ask(host):
                return host.name
        return ""

    async def _ask(self, host: mirror.Host) -> bool:
        """Returns whether a host answered with something current."""
        asked = peer_codec.CopyRequest(
            {name: each.next_offset for name, each in self._followers.items()},
            self._sources.own,
            self._sources.zone,
            self._state.router.fleet.own_work(),
            self._state.router.rollouts.counted(self._state.run_name),
        )
        sent_at = self._state.clock()
        answer = await self._client.ask(host, asked)
        if answer is None:
            self._sources.note_failed(host.name, self._state.clock())
            return False
        self._sources.note_answered(host.name)
        if answer.age + self._state.clock() - sent_at > OLDEST:
            self._note_stale(host, answer.age)
            return False
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
        self._state.router.fleet.take_others_work(answer.work, sent_at)
        for name, topic in answer.topics.items():
            follower = self._followers.get(name)
            # A read of the store that is under way may have gone further.
            if follower is None or _is_behind(follower, topic.batch):
                continue
            follower.take(
                follower_lib.Update(topic.batch, current_at, topic.after_outage)
            )


def _is_behind(
    follower: follower_lib.TopicFollower, batch: topics.Batch
) -> bool:
    known = follower.next_offset
    return known is not None and batch.next_offset < known


class SelfListing:
    """Lists this host once, so that others may ask it."""

    def __init__(
        self,
        state: state_lib.RelayState,
        topic: ports.KeyedTopic,
        host: mirror.Host,
    ) -> None:
        self._state = state
        self._topic = topic
        self._host = host

    async def run(self) -> None:
        """Returns once the host is listed."""
        entry = peer_codec.encode(self._host)
        while True:
            try:
                await self._topic.put(self._host.name, entry)
            except errors.HoistmoorError as error:
                self._state.log.write("listing_waits", detail=error.problem)
                await asyncio.sleep(LIST_RETRY)
            else:
                await asyncio.Event().wait()
