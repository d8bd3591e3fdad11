"""Copies the store's topics from other relays, or reads the store itself.

A host sends requests to the hosts before it in an order that all hosts share;
if none of them is current, it reads the store itself. Its requests also carry
state that only it has: its work at the backend servers, its answer counts in
rollouts, and the requests suspected of crashing servers.

The design limits the calls to the store in the cases where a single call of
each host is a considerable load: when all hosts start at once, and when an
outage of the store for some or all hosts ends.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hoistmoor.core.relay.beliefs import read_policy
from hoistmoor.core.relay.servers import demand_totals
from hoistmoor.core.relay.servers import limit_gossip
from hoistmoor.relay.peers import change_exchange
from hoistmoor.relay.peers import peer_codec
from hoistmoor.relay.store import follower as follower_lib
from hoistmoor.relay.store import store_gate

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import replication
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.core.relay.servers import outstanding
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.peers import listing as listing_lib
    from hoistmoor.relay.peers import peer_client

# Seconds that a starting host waits for the list of hosts. After that the store
# may be unavailable, and the configuration is read as well.
HOST_LIST_TIMEOUT = 0.25
# Seconds that a host waits at the first start before it reads the list of
# hosts, so that hosts starting together, within 0.3 s, have listed themselves.
FIRST_START_DELAY = 0.35
# Seconds between two rounds of requests while a starting host waits, and the
# delay before urgent changes are sent.
START_PERIOD = 0.1


class PeerReader:
    """Polls other hosts; switches the followers to the store if needed."""

    def __init__(
        self,
        state: state_lib.RelayState,
        sources: replication.SourceSelector,
        followers: dict[str, follower_lib.TopicFollower],
        client: peer_client.PeerClient,
        gate: store_gate.StoreGate,
        listing: listing_lib.SelfListing,
    ) -> None:
        """Creates the task.

        Args:
            state: Shared state of the relay.
            sources: The other hosts.
            followers: Followers of the store's topics, by topic name.
            client: Sends requests to other hosts.
            gate: Blocks reads during an outage of the store.
            listing: Lists this host.
        """
        self._state = state
        self._gate = gate
        self._listing = listing
        self._stale: set[str] = set()
        self._started_at = self._direct_since = state.clock()
        # Whether any host responded in the last round of requests.
        self._any_responded = False
        # Whether one of them is likely to be current soon.
        self._is_promising = False
        self._sources = sources
        self._followers = followers
        self._hosts = followers["hosts"]
        self._client = client
        self._news = change_exchange.ChangeExchange(state)
        # Configuration revision in the last response of each host.
        self._revisions: dict[str, int] = {}

    async def run(self) -> None:
        """Polls other hosts until cancelled."""
        await self._discover_hosts()
        self._started_at = self._state.clock()
        while True:
            source = await self._poll()
            self._set_source(source)
            self._update_others_work()
            self._gate.backoff = read_policy.backoff_of(
                knows_hosts=self._hosts.loaded.is_set(),
                is_answered=self._any_responded,
                is_first=self._sources.is_first(),
            )
            is_waiting = not source and self._situation().should_wait()
            if not is_waiting:
                self._switch_followers()
            await self._pause(is_waiting)

    async def _discover_hosts(self) -> None:
        """Waits until the hosts are known, or the store seems unavailable."""
        if self._listing.is_first_start:
            self._listing.due.set()
            await asyncio.sleep(FIRST_START_DELAY)
        self._hosts.direct.set()
        await self._wait_for_hosts(HOST_LIST_TIMEOUT)
        if not self._hosts.loaded.is_set():
            return
        self._hosts.direct.clear()
        if self._listing.is_needed():
            self._listing.due.set()

    def _situation(self) -> read_policy.Situation:
        return read_policy.Situation(
            has_all=self._has_all_topics(),
            is_promising=self._is_promising,
            waited=self._state.clock() - self._started_at,
            age=self._age(),
            reads_early=self._sources.reads_early(),
        )

    async def _wait_for_hosts(self, timeout: float) -> None:
        """Waits until the hosts are known, or a timeout in seconds is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._hosts.loaded.wait()

    async def _pause(self, is_waiting: bool) -> None:
        if not self._hosts.loaded.is_set():
            await self._wait_for_hosts(read_policy.REQUEST_INTERVAL)
            return
        if is_waiting and not self._has_all_topics():
            await asyncio.sleep(START_PERIOD)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(read_policy.REQUEST_INTERVAL):
                await self._state.has_urgent_changes.wait()
                # Other changes of the same moment are sent along.
                await asyncio.sleep(START_PERIOD)
        self._state.has_urgent_changes.clear()

    def _has_all_topics(self) -> bool:
        return self._followers.keys() <= self._state.topics_read

    def _age(self) -> float:
        """Returns the age of the oldest topic that affects routing."""
        return max(
            self._followers[name].age()
            for name in read_policy.TIME_CRITICAL_TOPICS
        )

    def _set_source(self, source: str) -> None:
        if source == self._state.source:
            return
        if not source:
            self._direct_since = self._state.clock()
            self._state.depth = 0
            # This host has made no calls to the store until now, so the store
            # may be unavailable.
            self._gate.record_failure()
        self._state.source = source
        self._state.log_change("source", peer=source or "store")

    def _switch_followers(self) -> None:
        """Starts or stops reads of the store for each topic."""
        for name, follower in self._followers.items():
            if self._reads_store(name):
                follower.start_reading_store()
            else:
                follower.direct.clear()

    def _reads_store(self, name: str) -> bool:
        """Returns whether this host reads a topic from the store."""
        return not self._state.source and read_policy.reads_from_store(
            name,
            knows_hosts=self._hosts.loaded.is_set(),
            was_read=name in self._state.topics_read,
            alone_for=self._state.clock() - self._direct_since,
        )

    def _update_others_work(self) -> None:
        now = self._state.clock()
        work = self._state.outstanding.total_of_others(now)
        if work is not None:
            self._state.router.fleet.set_peer_work(work, now)
        self._state.merge_demand(now)

    async def _poll(self) -> str:
        """Returns the name of a host with a current copy, or empty if none."""
        self._any_responded = self._is_promising = False
        for host in self._sources.candidates(self._state.clock()):
            if await self._copy_from(host):
                return host.name
            if self._has_all_topics() and self._age() > read_policy.MAX_OWN_AGE:
                break  # Another unresponsive host would take too long.
        if self._gate.is_available and not self._has_all_topics():
            await self._copy_at_start()
            return ""
        if self._gate.is_available or self._age() <= read_policy.MAX_OWN_AGE:
            return ""
        for host in self._sources.fallback_sources(self._state.clock()):
            if await self._copy_from(host, is_before=False):
                return host.name
        return ""

    async def _copy_at_start(self) -> None:
        """Copies from hosts after this one in the order, until one has data.

        The store is available. If it was restored, it may lack data that these
        hosts have. Stale responses are applied as well, with the age that they
        state. The hosts of a round are asked at once: if all hosts start at the
        same time, none has data, and callers are refused meanwhile.
        """
        if (
            self._listing.is_first_start
            or not self._state.store_era.was_restored
        ):
            return
        began = self._state.clock()
        for _ in range(read_policy.START_ROUNDS):
            hosts = self._sources.fallback_sources(self._state.clock())
            await asyncio.gather(
                *(
                    self._copy_from(host, is_before=False, accepts_stale=True)
                    for host in hosts
                )
            )
            is_late = self._state.clock() - began >= read_policy.MAX_START_WAIT
            if self._has_all_topics() or is_late:
                return

    async def _copy_from(
        self,
        host: replication.Host,
        *,
        is_before: bool = True,
        accepts_stale: bool = False,
    ) -> bool:
        """Copies from a host; returns whether its response was current.

        Args:
            host: The host.
            is_before: Whether the host precedes this one in the shared order.
                If not, the two may copy from each other, and work reported in
                a cycle would be counted again in each round.
            accepts_stale: Whether to apply a response that is not current.
        """
        work: outstanding.WorkByServer = {}
        demand = demand_totals.DemandTotals()
        if is_before:
            demand = self._state.demand.total_for_source(
                self._state.own_demand(), self._state.clock()
            )
            work = self._state.outstanding.total_for_source(
                self._state.router.fleet.own_work(), self._state.clock()
            )
        request = peer_codec.CopyRequest(
            {name: each.place for name, each in self._followers.items()},
            self._sources.own,
            work,
            self._state.collect_evidence(),
            self._state.update_doubted_orders(),
            self._state.router.rollouts.ages(self._state.clock()),
            self._news.changes_for(host.name),
            limit_gossip.limits_to_gossip(
                self._state.router.fleet, self._state.clock()
            ),
            self._state.store_era.era,
            self._state.revision,
            self._configuration_for(host),
            demand,
        )
        sent_at = self._state.clock()
        answer = await self._client.ask(host, request)
        if answer is None:
            self._sources.record_failure(host.name, self._state.clock())
            return False
        self._sources.record_success(host.name)
        self._state.store_era.record_era(answer.era, host.name)
        self._revisions[host.name] = answer.revision
        self._news.merge_response(host.name, request.news, answer.news, sent_at)
        self._state.report_tracker.merge_limits(answer.limits, sent_at)
        self._any_responded = True
        self._is_promising |= read_policy.is_worth_waiting_for(
            self._listing.host.link,
            host.link,
            is_first_start=self._listing.is_first_start,
        )
        age = max(
            self._age_after(answer, name, sent_at)
            for name in read_policy.TIME_CRITICAL_TOPICS
        )
        if not read_policy.is_current(age, answer.depth):
            self._log_stale(host, age)
            if accepts_stale:
                self._take(answer, sent_at)
            return False
        self._state.depth = answer.depth + 1
        self._stale.discard(host.name)
        if is_before:
            self._state.outstanding.set_source(answer.work, sent_at)
            self._state.demand.set_source(answer.demand, sent_at)
        self._take(answer, sent_at)
        return True

    def _configuration_for(
        self, host: replication.Host
    ) -> topics.Record | None:
        """Returns this host's configuration if another host lacks it."""
        last_revision = self._revisions.get(host.name, -1)
        if last_revision < 0 or last_revision >= self._state.revision:
            return None
        return self._state.configuration_record

    def _age_after(
        self, answer: peer_codec.CopyAnswer, name: str, sent_at: float
    ) -> float:
        """Returns the age that a topic has after a response is applied.

        A source that has not read the store's newest era yet provides nothing
        new, but remains acceptable as long as this host's own copy is current.
        """
        copy = answer.topics.get(name)
        if copy and copy.batch.end.era < self._state.store_era.era:
            return self._followers[name].age()
        return answer.age_of(name) + self._state.clock() - sent_at

    def _log_stale(self, host: replication.Host, age: float) -> None:
        """Logs a stale host, once until it is current again."""
        if host.name in self._stale:
            return
        self._stale.add(host.name)
        self._state.log.write("host_stale", peer=host.name, age=round(age, 3))

    def _take(self, answer: peer_codec.CopyAnswer, sent_at: float) -> None:
        self._state.update_doubted_orders(answer.doubts)
        for name, topic in answer.topics.items():
            follower = self._followers.get(name)
            if follower is None:
                continue
            # A concurrent read of the store may have returned newer data.
            if follower.is_ahead_of(topic.batch):
                follower.record_outdated_copy(topic.batch)
                continue
            # The response was created after the request was sent, and its ages
            # refer to its creation: counting them from the request's start
            # never makes a copy look newer than it is.
            current_at = sent_at - topic.age
            follower.apply(
                follower_lib.Update(topic.batch, current_at, topic.after_outage)
            )
        if answer.configuration is not None:
            self._followers["operator"].retain(answer.configuration)
        # After the topics, which may contain the orders themselves.
        self._state.router.rollouts.merge_ages(
            answer.order_ages, self._state.clock()
        )
