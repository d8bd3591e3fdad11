"""Relays that ask one another for what the store says.

A host asks those before it in the shared order; if none has anything current,
it reads the store itself. With its questions it tells what only it knows: its
work at the backend servers, its counts in roll-outs, and which requests may
have ended servers.

The loads that it answers: all hosts start at once; the store is away for all
hosts or for some of them, and comes back. Then a call of each host counts.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoistmoor.core.relay.beliefs import reading
from hoistmoor.core.relay.servers import limit_words
from hoistmoor.relay.peers import news_exchange
from hoistmoor.relay.peers import peer_codec
from hoistmoor.relay.store import follower as follower_lib
from hoistmoor.relay.store import store_gate

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import mirror
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.core.relay.servers import outstanding
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.peers import listing as listing_lib
    from hoistmoor.relay.peers import peer_client

# Seconds in which a start waits for the list of hosts; after it the store may
# be away, and the configuration is tried.
LISTED_WITHIN = 0.25
# Hosts that start together, within 0.3 s, are to list themselves before one
# looks who the others are.
OTHERS_LISTED = 0.35
# Seconds between two questions while a start waits, and until urgent news is
# told.
START_PERIOD = 0.1


class PeerReader:
    """Asks other hosts, and switches the followers to the store if need be."""

    def __init__(
        self,
        state: state_lib.RelayState,
        sources: mirror.Sources,
        followers: dict[str, follower_lib.TopicFollower],
        client: peer_client.PeerClient,
        gate: store_gate.StoreGate,
        listing: listing_lib.SelfListing,
    ) -> None:
        """Makes the task.

        Args:
            state: What the relay knows.
            sources: The other hosts.
            followers: Read the store, by topic.
            client: Carries the questions.
            gate: Holds reads back while the store is away.
            listing: Lists this host.
        """
        self._state = state
        self._gate = gate
        self._listing = listing
        self._stale: set[str] = set()
        self._started_at = self._direct_since = state.clock()
        self._some_answered = False  # In the newest round of questions.
        self._promising = False  # Whether one of them is worth a wait.
        self._sources = sources
        self._followers = followers
        self._hosts = followers["hosts"]
        self._client = client
        self._news = news_exchange.NewsExchange(state)
        # Of the configurations of other hosts, as they last answered.
        self._revisions: dict[str, int] = {}

    async def run(self) -> None:
        """Asks until cancelled."""
        await self._find_hosts()
        self._started_at = self._state.clock()
        while True:
            found = await self._ask_any()
            self._note_source(found)
            self._take_others_work()
            self._gate.backoff = reading.backoff_of(
                knows_hosts=self._hosts.known.is_set(),
                is_answered=self._some_answered,
                is_first=self._sources.is_first(),
            )
            waits = not found and self._situation().waits()
            if not waits:
                self._switch()
            await self._pause(waits)

    async def _find_hosts(self) -> None:
        """Waits until the hosts are known, or the store seems to be away."""
        if self._listing.is_first_start:
            self._listing.due.set()
            await asyncio.sleep(OTHERS_LISTED)
        self._hosts.direct.set()
        await self._await_hosts(LISTED_WITHIN)
        if not self._hosts.known.is_set():
            return
        self._hosts.direct.clear()
        if self._listing.is_needed():
            self._listing.due.set()

    def _situation(self) -> reading.Situation:
        return reading.Situation(
            has_all=self._has_all(),
            is_promising=self._promising,
            waited=self._state.clock() - self._started_at,
            age=self._age(),
            reads_early=self._sources.reads_early(),
        )

    async def _await_hosts(self, longest: float) -> None:
        """Waits until the hosts are known, for some seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest):
                await self._hosts.known.wait()

    async def _pause(self, waits: bool) -> None:
        if not self._hosts.known.is_set():
            await self._await_hosts(reading.PERIOD)
            return
        if waits and not self._has_all():
            await asyncio.sleep(START_PERIOD)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(reading.PERIOD):
                await self._state.has_urgent_news.wait()
                # Whatever else comes at once is told with it.
                await asyncio.sleep(START_PERIOD)
        self._state.has_urgent_news.clear()

    def _has_all(self) -> bool:
        return self._followers.keys() <= self._state.topics_read

    def _age(self) -> float:
        """Returns the age of the oldest topic on which a send rests."""
        return max(self._followers[name].age() for name in reading.DATED)

    def _note_source(self, found: str) -> None:
        if found == self._state.source:
            return
        if not found:
            self._direct_since = self._state.clock()
            self._state.depth = 0
            # Others read for this host until now: the store may be away.
            self._gate.note_lost()
        self._state.source = found
        self._state.believe("source", peer=found or "store")

    def _switch(self) -> None:
        """Has the followers read the store, or not."""
        for name, follower in self._followers.items():
            if self._reads(name):
                follower.read_directly()
            else:
                follower.direct.clear()

    def _reads(self, name: str) -> bool:
        """Returns whether this host reads a topic itself."""
        return not self._state.source and reading.is_read(
            name,
            knows_hosts=self._hosts.known.is_set(),
            was_read=name in self._state.topics_read,
            alone_for=self._state.clock() - self._direct_since,
        )

    def _take_others_work(self) -> None:
        now = self._state.clock()
        work = self._state.outstanding.of_others(now)
        if work is not None:
            self._state.router.fleet.take_others_work(work, now)

    async def _ask_any(self) -> str:
        """Returns the host that answered with something current, or empty."""
        self._some_answered = self._promising = False
        for host in self._sources.candidates(self._state.clock()):
            if await self._ask(host):
                return host.name
            if self._has_all() and self._age() > reading.OLDEST_OWN:
                break  # Another silent host would take too long.
        if self._gate.is_heard and not self._has_all():
            await self._ask_for_a_start()
            return ""
        if self._gate.is_heard or self._age() <= reading.OLDEST_OWN:
            return ""
        for host in self._sources.any_others(self._state.clock()):
            if await self._ask(host, is_before=False):
                return host.name
        return ""

    async def _ask_for_a_start(self) -> None:
        """Asks hosts after this one in the order until one knows anything.

        The store is there, and may have lost what they know. An answer that is
        not current is taken, too: what it proves is as old as it says.
        """
        if self._listing.is_first_start:
            return
        began = self._state.clock()
        for _ in range(reading.START_ROUNDS):
            for host in self._sources.any_others(self._state.clock()):
                await self._ask(host, is_before=False, takes_stale=True)
                is_late = self._state.clock() - began >= reading.START_PATIENCE
                if self._has_all() or is_late:
                    return

    async def _ask(
        self,
        host: mirror.Host,
        *,
        is_before: bool = True,
        takes_stale: bool = False,
    ) -> bool:
        """Returns whether a host answered with something current.

        Args:
            host: The host.
            is_before: Whether it stands before this one in the order that all
                hosts share. If not, the two may ask each other, and work that
                is told in a circle would be counted again in each round.
            takes_stale: Whether what it says is taken though it is old.
        """
        work: outstanding.WorkByServer = {}
        if is_before:
            work = self._state.outstanding.told_to_source(
                self._state.router.fleet.own_work(), self._state.clock()
            )
        asked = peer_codec.CopyRequest(
            {name: each.place for name, each in self._followers.items()},
            self._sources.own,
            work,
            self._state.known_evidence(),
            self._state.look_for_doubts(),
            self._state.router.rollouts.ages(self._state.clock()),
            self._news.question(host.name),
            limit_words.told_by(self._state.router.fleet, self._state.clock()),
            self._state.history.era,
            self._state.revision,
            self._configuration_for(host),
        )
        sent_at = self._state.clock()
        answer = await self._client.ask(host, asked)
        if answer is None:
            self._sources.note_failed(host.name, self._state.clock())
            return False
        self._sources.note_answered(host.name)
        self._state.history.learn(answer.era, host.name)
        self._revisions[host.name] = answer.revision
        self._news.take(host.name, asked.news, answer.news, sent_at)
        self._state.server_beliefs.take_limits(answer.limits, sent_at)
        self._some_answered = True
        self._promising |= reading.is_worth_a_wait(
            self._listing.host.link,
            host.link,
            is_first_start=self._listing.is_first_start,
        )
        age = max(self._age_by(answer, name, sent_at) for name in reading.DATED)
        if not reading.is_current(age, answer.depth):
            self._note_stale(host, age)
            if takes_stale:
                self._take(answer, sent_at)
            return False
        self._state.depth = answer.depth + 1
        self._stale.discard(host.name)
        if is_before:
            self._state.outstanding.take_rest(answer.work, sent_at)
        self._take(answer, sent_at)
        return True

    def _configuration_for(self, host: mirror.Host) -> topics.Record | None:
        """Returns the configuration that another host lacks, if it does."""
        theirs = self._revisions.get(host.name, -1)
        if theirs < 0 or theirs >= self._state.revision:
            return None
        return self._state.configuration_record

    def _age_by(
        self, answer: peer_codec.CopyAnswer, name: str, sent_at: float
    ) -> float:
        """Returns the age of a topic once an answer is taken, in seconds.

        A source that has not read the store's newest history yet brings
        nothing, and is no worse a source until what is known here is old.
        """
        copy = answer.topics.get(name)
        if copy and copy.batch.end.era < self._state.history.era:
            return self._followers[name].age()
        return answer.age_of(name) + self._state.clock() - sent_at

    def _note_stale(self, host: mirror.Host, age: float) -> None:
        """Logs it once: the host is asked again and again until it is not."""
        if host.name in self._stale:
            return
        self._stale.add(host.name)
        self._state.log.write("host_stale", peer=host.name, age=round(age, 3))

    def _take(self, answer: peer_codec.CopyAnswer, sent_at: float) -> None:
        self._state.look_for_doubts(answer.doubts)
        for name, topic in answer.topics.items():
            follower = self._followers.get(name)
            # A read of the store that is under way may have gone further.
            if follower is None:
                continue
            if follower.is_ahead_of(topic.batch):
                follower.note_dropped(topic.batch)
                continue
            # The answer was made after the question was sent, and an age
            # counts from when it was made.
            current_at = sent_at - topic.age
            follower.take(
                follower_lib.Update(topic.batch, current_at, topic.after_outage)
            )
        if answer.configuration is not None:
            self._followers["operator"].hold(answer.configuration)
        # After the topics, which may bring the orders themselves.
        self._state.router.rollouts.take_ages(
            answer.order_ages, self._state.clock()
        )
