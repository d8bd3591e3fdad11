"""Hosts that learn from one another what the store says."""

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
from hoistmoor.core.relay.beliefs import mirror
from hoistmoor.core.relay.beliefs import reading
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay import application
from hoistmoor.relay import settings as settings_lib
from hoistmoor.relay.front import links as links_lib
from hoistmoor.relay.peers import peer_client
from hoistmoor.relay.store import followers
from hoistmoor.relay.versions import rollout_codec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    import aiohttp

    from hoistmoor.core.relay.beliefs import topics

PATIENCE = 20.0  # Seconds; only a hang of a busy machine comes near.


@attrs.define
class CountedTopic(relay_platform.MemoryTopic):
    """Counts the reads of one host."""

    source: relay_platform.MemoryTopic = attrs.field(
        factory=relay_platform.MemoryTopic
    )
    reads: int = 0

    async def newest(self) -> topics.Batch:
        """Returns what the shared topic has."""
        self._check()
        return await self.source.newest()

    async def changes(self, place: topics.Place, wait: float) -> topics.Batch:
        """Returns what is new on the shared topic."""
        self._check()
        self.reads += 1
        return await self.source.changes(place, wait)

    async def put(
        self,
        key: str,
        value: bytes | None,
        expected: topics.Place | None = None,
    ) -> topics.Place | None:
        """Adds to the shared topic."""
        self._check()
        return await self.source.put(key, value, expected)


@attrs.define
class Member:
    """One relay and its own way to the shared store."""

    relay: application.Relay
    operator: CountedTopic
    servers: CountedTopic
    task: asyncio.Task[None]

    @property
    def reads_itself(self) -> bool:
        """Whether it reads the store."""
        return self.relay.followers["operator"].direct.is_set()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
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
    """Starts one relay with its own links to the store."""
    operator = CountedTopic(source=platform.operator)
    servers = CountedTopic(source=platform.servers)
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
        links_lib.BackendSessions(session, session),
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
    """Two relays of one failure domain: the reader, and the one that asks."""
    nowhere = os.open(os.devnull, os.O_WRONLY)
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", nowhere)
    monkeypatch.setattr(followers, "SERVERS_PAUSE", 0.02)
    await platform.publish(platform.operator, "config", relay_parts.in_force())
    members: list[Member] = []
    async with sessions.make_session() as session:
        for number in range(2):
            address = f"127.0.0.{number + 2}:{17340 + os.getpid() % 1000}"
            members.append(
                await start(platform, session, f"h{number}", address)
            )
        await until(lambda: sum(each.reads_itself for each in members) == 1)
        yield sorted(members, key=lambda each: not each.reads_itself)
        for member in members:
            member.task.cancel()
        for member in members:
            with contextlib.suppress(asyncio.CancelledError):
                await member.task
    os.close(nowhere)


async def test_one_host_reads_for_the_other(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    reader, asker = pair
    before = asker.operator.reads
    newer = relay_parts.in_force(5)
    await platform.publish(platform.operator, "config", newer)
    await platform.publish(platform.servers, "a", relay_parts.entry("a"))
    await until(lambda: asker.relay.state.configuration is newer)
    await until(lambda: "a" in asker.relay.state.router.fleet.servers)
    assertions.assert_that(asker.operator.reads - before, matchers.LessThan(3))
    await platform.publish(platform.servers, "a", None)
    await until(lambda: not asker.relay.state.router.fleet.servers)
    assertions.assert_that(reader.reads_itself, matchers.Is(True))


async def test_a_copy_is_no_fresher_than_its_source(
    pair: list[Member],
) -> None:
    reader, asker = pair
    now = reader.relay.state.clock()
    leases = [each.relay.state.lease for each in (reader, asker)]
    # What the asking host has read itself is older than what follows.
    await until(lambda: (leases[0].proved_at or 0) > now + 1.0)
    for _ in range(50):
        source = reader.relay.state.lease.proved_at
        copy = asker.relay.state.lease.proved_at
        assert source is not None
        assert copy is not None
        assertions.assert_that(copy, matchers.LessThan(source + 1e-6))
        await asyncio.sleep(0.02)
    assertions.assert_that(
        asker.relay.state.lease.age(now), matchers.LessThan(5.0)
    )


async def test_a_host_reads_itself_where_its_source_is_cut_off(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    reader, asker = pair
    reader.operator.is_away = True
    await until(lambda: asker.reads_itself)
    newer = relay_parts.in_force(6)
    await platform.publish(platform.operator, "config", newer)
    await until(lambda: asker.relay.state.configuration is newer)
    assertions.assert_that(asker.relay.state.is_ready(), matchers.Is(True))
    # Having read what only readers read keeps it from nothing.
    asker.relay.state.topics_read.add("evidence")
    reader.operator.is_away = False
    await until(lambda: not asker.reads_itself)


async def test_a_host_reads_itself_where_its_source_is_gone(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    reader, asker = pair
    reader.task.cancel()
    await until(lambda: asker.reads_itself)
    await platform.publish(platform.servers, "b", relay_parts.entry("b"))
    await until(lambda: "b" in asker.relay.state.router.fleet.servers)


async def test_a_host_reads_itself_before_all_silent_hosts_were_asked(
    pair: list[Member], monkeypatch: pytest.MonkeyPatch
) -> None:
    _, asker = pair
    await until(lambda: asker.relay.state.source != "")
    asked = []

    async def hang(
        _: peer_client.PeerClient, host: mirror.Host, __: object
    ) -> None:
        asked.append(host.name)
        await asyncio.sleep(0.2)

    monkeypatch.setattr(reading, "OLDEST_OWN", 0.1)
    monkeypatch.setattr(peer_client.PeerClient, "ask", hang)
    for number in range(20, 30):
        asker.relay._sources.put(
            mirror.Host(f"silent{number}", "z", "127.0.0.1:1")
        )
    asked.clear()
    await until(lambda: asker.reads_itself)
    # One period may have begun before: a question of each at the most.
    assertions.assert_that(len(asked), matchers.LessThan(3))


async def test_hosts_tell_one_another_the_work_that_they_have_under_way(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    await platform.publish(platform.servers, "a", relay_parts.entry("a"))
    servers = [each.relay.state.router.fleet.servers for each in pair]
    await until(lambda: all("a" in each for each in servers))
    servers[0]["a"].work, servers[1]["a"].work = 300.0, 20.0
    await until(lambda: servers[1]["a"].told.work == 300.0)
    await until(lambda: servers[0]["a"].told.work == 20.0)


async def test_one_host_writes_the_counts_of_both(
    platform: relay_platform.MemoryPlatform,
    pair: list[Member],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    order = phases.Order("llm", "v2", 60.0, 3)
    await platform.publish(platform.operator, "rollout", order)
    books = [each.relay.state.router.rollouts for each in pair]
    await until(lambda: all("llm" in book.progress for book in books))
    for book in books:
        book.progress["llm"].note_answer("chat", "v2", True, False)

    def told() -> set[str]:
        newest = platform.evidence.records[-1:]
        reports = [
            rollout_codec.decode_report(record.value or b"")
            for record in newest
        ]
        return {each.host for report in reports for each in report.evidence}

    names = {each.relay.state.run_name for each in pair}
    await until(lambda: told() == names)
    writers = {record.key for record in platform.evidence.records}
    reader = pair[0].relay.state.run_name
    assertions.assert_that(writers, matchers.Equals({f"llm/{reader}"}))


@pytest.mark.parametrize("finds", [0, 1])
async def test_hosts_tell_one_another_that_a_version_is_bad(
    platform: relay_platform.MemoryPlatform, pair: list[Member], finds: int
) -> None:
    order = phases.Order("desk", "v2", 1000.0, 7)
    await platform.publish(platform.operator, "rollout/desk", order)
    states = [each.relay.state for each in pair]
    await until(lambda: all(each.router.rollouts.progress for each in states))
    # No record of it can be written.
    platform.phases.is_away = True
    progress = states[finds].router.rollouts.progress["desk"]
    for _ in range(evidence_lib.MIN_ANSWERS):
        progress.note_answer("look", "v2", failed=True, slow=False)
    await until(
        lambda: all(
            each.router.rollouts.progress["desk"].is_stopped()
            for each in states
        )
    )


async def test_a_host_that_starts_beside_others_reads_each_topic_once(
    platform: relay_platform.MemoryPlatform, pair: list[Member]
) -> None:
    assertions.assert_that(pair[1].operator.reads, matchers.LessThan(3))
    assertions.assert_that(pair[1].servers.reads, matchers.LessThan(3))
