"""Tests of two hosts, of which one copies the store's topics from the other."""

from __future__ import annotations

import asyncio
import contextlib
import os
from typing import TYPE_CHECKING

import attrs
import pytest
import relay_parts
import relay_platform
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import sessions
from hoistmoor.core.relay.beliefs import read_policy
from hoistmoor.core.relay.beliefs import replication
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay import application
from hoistmoor.relay import settings as settings_lib
from hoistmoor.relay.front import backend_connector as backend_connector_lib
from hoistmoor.relay.peers import peer_client
from hoistmoor.relay.store import followers
from hoistmoor.relay.versions import rollout_codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    import aiohttp

    from hoistmoor.core.relay.beliefs import topics

TIMEOUT = 20.0  # Seconds; reached only if a test hangs.


@attrs.define
class CountingTopic(relay_platform.MemoryTopic):
    """Counts the reads of a shared topic by one host."""

    source: relay_platform.MemoryTopic = attrs.field(
        factory=relay_platform.MemoryTopic
    )
    reads: int = 0

    async def newest(self) -> topics.Batch:
        """Returns the newest records of the shared topic."""
        self._check()
        return await self.source.newest()

    async def changes(self, place: topics.Place, wait: float) -> topics.Batch:
        """Returns the records of the shared topic from a position on."""
        self._check()
        self.reads += 1
        return await self.source.changes(place, wait)

    async def put(
        self,
        key: str,
        value: bytes | None,
        expected: topics.Place | None = None,
    ) -> topics.Place | None:
        """Appends to the shared topic."""
        self._check()
        return await self.source.put(key, value, expected)


@attrs.define
class Member:
    """A running relay with its own connection to the shared store."""

    relay: application.Relay
    operator: CountingTopic
    servers: CountingTopic
    task: asyncio.Task[None]

    @property
    def reads_store(self) -> bool:
        """Whether the relay reads the store itself."""
        return self.relay.followers["operator"].direct.is_set()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def platform() -> relay_platform.MemoryPlatform:
    """The shared platform."""
    return relay_platform.MemoryPlatform()


async def start(
    platform: relay_platform.MemoryPlatform,
    session: aiohttp.ClientSession,
    name: str,
    address: str,
) -> Member:
    """Starts a relay with its own connection to the store."""
    operator = CountingTopic(source=platform.operator)
    servers = CountingTopic(source=platform.servers)
    port = platform.as_port()
    topics = attrs.evolve(port.topics, operator=operator, servers=servers)
    settings = settings_lib.RelaySettings(
        host=name,
        zone="z",
        listen="127.0.0.1:0",
        ready_listen="127.0.0.1:0",
        peer_listen=address,
    )
    relay = application.Relay(
        settings,
        attrs.evolve(port, topics=topics),
        backend_connector_lib.BackendSessions(session, session),
        session,
        lambda: settings,
    )
    task = asyncio.create_task(relay.serve(asyncio.Event()))
    await until(relay.state.is_ready)
    return Member(relay, operator, servers, task)


@pytest.fixture
async def pair(
    platform: relay_platform.MemoryPlatform, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[list[Member]]:
    """Two relays of one failure domain.

    The first one reads the store; the second one copies from it.
    """
    null_descriptor = os.open(os.devnull, os.O_WRONLY)
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", null_descriptor)
    monkeypatch.setattr(followers, "SERVERS_PAUSE", 0.02)
    await platform.publish(
        platform.operator, "config", relay_parts.make_configuration()
    )
    members: list[Member] = []
    async with sessions.make_session() as session:
        for number in range(2):
            address = f"127.0.0.{number + 2}:{17340 + os.getpid() % 1000}"
            members.append(
                await start(platform, session, f"h{number}", address)
            )
        await until(lambda: sum(each.reads_store for each in members) == 1)
        yield sorted(members, key=lambda each: not each.reads_store)
        for member in members:
            member.task.cancel()
        for member in members:
            with contextlib.suppress(asyncio.CancelledError):
                await member.task
    os.close(null_descriptor)


async def test_one_host_copies_from_the_other(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    reader, copier = pair
    before = copier.operator.reads
    newer = relay_parts.make_configuration(5)
    await platform.publish(platform.operator, "config", newer)
    await platform.publish(platform.servers, "a", relay_parts.make_entry("a"))
    await until(lambda: copier.relay.state.configuration is newer)
    await until(lambda: "a" in copier.relay.state.router.fleet.servers)
    assertions.assert_that(copier.operator.reads - before, matchers.LessThan(3))
    await platform.publish(platform.servers, "a", None)
    await until(lambda: not copier.relay.state.router.fleet.servers)
    assertions.assert_that(reader.reads_store, matchers.Is(True))


async def test_copy_is_no_fresher_than_source(
    pair: list[Member],
) -> None:
    reader, copier = pair
    now = reader.relay.state.clock()
    leases = [each.relay.state.lease for each in (reader, copier)]
    # Wait until the copying host's own earlier reads no longer matter.
    await until(lambda: (leases[0].proved_at or 0) > now + 1.0)
    for _ in range(50):
        source = reader.relay.state.lease.proved_at
        copy = copier.relay.state.lease.proved_at
        assert source is not None
        assert copy is not None
        assertions.assert_that(copy, matchers.LessThan(source + 1e-6))
        await asyncio.sleep(0.02)
    assertions.assert_that(
        copier.relay.state.lease.age(now), matchers.LessThan(5.0)
    )


async def test_host_reads_store_if_source_is_cut_off(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    reader, copier = pair
    reader.operator.is_unavailable = True
    await until(lambda: copier.reads_store)
    newer = relay_parts.make_configuration(6)
    await platform.publish(platform.operator, "config", newer)
    await until(lambda: copier.relay.state.configuration is newer)
    assertions.assert_that(copier.relay.state.is_ready(), matchers.Is(True))
    # A host that has read a topic which only readers of the store use can still
    # return to copying.
    copier.relay.state.topics_read.add("evidence")
    reader.operator.is_unavailable = False
    await until(lambda: not copier.reads_store)


async def test_host_reads_store_if_source_is_gone(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    reader, copier = pair
    reader.task.cancel()
    await until(lambda: copier.reads_store)
    await platform.publish(platform.servers, "b", relay_parts.make_entry("b"))
    await until(lambda: "b" in copier.relay.state.router.fleet.servers)


async def test_host_reads_store_before_trying_all_unresponsive_hosts(
    pair: list[Member], monkeypatch: pytest.MonkeyPatch
) -> None:
    _, copier = pair
    await until(lambda: copier.relay.state.source != "")
    hosts = []

    async def hang(
        _: peer_client.PeerClient, host: replication.Host, __: object
    ) -> None:
        hosts.append(host.name)
        await asyncio.sleep(0.2)

    monkeypatch.setattr(read_policy, "MAX_OWN_AGE", 0.1)
    monkeypatch.setattr(peer_client.PeerClient, "ask", hang)
    for number in range(20, 30):
        copier.relay._sources.put(
            replication.Host(f"silent{number}", "z", "127.0.0.1:1")
        )
    hosts.clear()
    await until(lambda: copier.reads_store)
    # A period may already have begun, so at most one request of each period.
    assertions.assert_that(len(hosts), matchers.LessThan(3))


async def test_hosts_exchange_outstanding_work(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    await platform.publish(platform.servers, "a", relay_parts.make_entry("a"))
    servers = [each.relay.state.router.fleet.servers for each in pair]
    await until(lambda: all("a" in each for each in servers))
    servers[0]["a"].work, servers[1]["a"].work = 300.0, 20.0
    await until(lambda: servers[1]["a"].peer_work.work == 300.0)
    await until(lambda: servers[0]["a"].peer_work.work == 20.0)


async def test_one_host_writes_counts_of_both(
    platform: relay_platform.MemoryPlatform,
    pair: list[Member],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    order = phases.Order("llm", "v2", 60.0, 3)
    await platform.publish(platform.operator, "rollout", order)
    registries = [each.relay.state.router.rollouts for each in pair]
    await until(
        lambda: all("llm" in registry.progress for registry in registries)
    )
    for registry in registries:
        registry.progress["llm"].record_response("chat", "v2", True, False)

    def reported_runs() -> set[str]:
        newest = platform.evidence.records[-1:]
        reports = [
            rollout_codec.decode_report(record.value or b"")
            for record in newest
        ]
        return {each.host for report in reports for each in report.evidence}

    names = {each.relay.state.run_name for each in pair}
    await until(lambda: reported_runs() == names)
    writers = {record.key for record in platform.evidence.records}
    reader = pair[0].relay.state.run_name
    assertions.assert_that(writers, matchers.Equals({f"llm/{reader}"}))


@pytest.mark.parametrize("detector", [0, 1])
async def test_hosts_exchange_faulty_versions(
    platform: relay_platform.MemoryPlatform, pair: list[Member], detector: int
) -> None:
    order = phases.Order("desk", "v2", 1000.0, 7)
    await platform.publish(platform.operator, "rollout/desk", order)
    states = [each.relay.state for each in pair]
    await until(lambda: all(each.router.rollouts.progress for each in states))
    # The phase cannot be written to the store.
    platform.phases.is_unavailable = True
    progress = states[detector].router.rollouts.progress["desk"]
    for _ in range(evidence_lib.MIN_RESPONSES):
        progress.record_response("look", "v2", failed=True, slow=False)
    await until(
        lambda: all(
            each.router.rollouts.progress["desk"].is_stopped()
            for each in states
        )
    )


async def test_slow_version_is_stopped_while_the_store_is_away(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    order = phases.Order("desk", "v2", 60.0, 7)
    await platform.publish(platform.operator, "rollout/desk", order)
    states = [each.relay.state for each in pair]
    await until(lambda: all(each.router.rollouts.progress for each in states))
    for topic in (platform.phases, platform.evidence, platform.status):
        topic.is_unavailable = True
    # Both hosts together have enough attempts, and none has ended as slow.
    now = states[0].clock()
    for state in states:
        progress = state.router.rollouts.progress["desk"]
        progress.merge_age(30.0, now)
        for version, count in (("v1", 20), ("v2", 6)):
            for _ in range(count):
                attempt = progress.begin_attempt(
                    "look", version, now - 9.0, is_stream=False
                )
                assert attempt is not None
                if version == "v1":
                    attempt.record_end(now - 8.9, is_served=True)
    await until(
        lambda: all(
            each.router.rollouts.progress["desk"].is_stopped()
            for each in states
        )
    )


async def test_starting_host_reads_each_topic_once(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    assertions.assert_that(pair[1].operator.reads, matchers.LessThan(3))
    assertions.assert_that(pair[1].servers.reads, matchers.LessThan(3))
