"""Tests of followers: outages of the store, lost offsets, long polls, logs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import pytest
import relay_parts
import relay_platform
import relay_states
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.relay import event_log
from hoistmoor.relay.store import follower
from hoistmoor.relay.store import lease_monitor
from hoistmoor.relay.store import operator_listener
from hoistmoor.relay.store import server_listener

if TYPE_CHECKING:
    from conftest import Rig

    from hoistmoor.core.relay.versions import phases


@pytest.fixture
def servers(
    rig: Rig, platform: relay_platform.MemoryPlatform
) -> follower.TopicFollower:
    """A follower of the entries of backend servers."""
    listener = server_listener.ServerListener(rig.state, platform.codec)
    return rig.follow(
        "servers",
        platform.servers,
        listener,
    )


def known_servers(rig: Rig) -> list[str]:
    return sorted(rig.state.router.fleet.servers)


async def test_removed_entry_is_dropped_at_once(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    for name in "ab":
        await platform.publish(
            platform.servers, name, relay_parts.make_entry(name)
        )
    await servers.read_once()
    await platform.publish(platform.servers, "a", None)
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["b"]))


async def fail_and_return(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
    names: str,
) -> None:
    """Lists servers in the store, then simulates an outage and its end."""
    for name in names:
        await platform.publish(
            platform.servers, name, relay_parts.make_entry(name)
        )
    await servers.read_once()
    task = asyncio.create_task(servers.run())
    platform.servers.is_unavailable = True
    while "store_lost" not in [each["event"] for each in rig.events()]:
        await asyncio.sleep(0.01)
    task.cancel()
    platform.servers.is_unavailable = False


async def test_entries_removed_during_outage_are_kept_for_grace_period(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    await fail_and_return(rig, platform, servers, "ab")
    for name in "ab":
        await platform.publish(platform.servers, name, None)
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["a", "b"]))
    await platform.publish(platform.servers, "a", relay_parts.make_entry("a"))
    rig.clock.now += fleet_lib.EXPIRY_GRACE_PERIOD + 0.1
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["a"]))


async def test_grace_period_starts_at_end_of_outage(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    await fail_and_return(rig, platform, servers, "a")
    await servers.read_once()
    rig.clock.now += 0.75 * fleet_lib.EXPIRY_GRACE_PERIOD
    await platform.publish(platform.servers, "a", None)
    await servers.read_once()
    rig.clock.now += 0.26 * fleet_lib.EXPIRY_GRACE_PERIOD
    ready = relay_parts.ready_servers(
        rig.state.router.fleet, "desk", {"v1"}, (), rig.clock.now
    )
    assertions.assert_that(ready, matchers.HasLength(0))


async def test_copy_from_another_host_ends_outage(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    await fail_and_return(rig, platform, servers, "a")
    # Another host has read for this one, which then reads the store again.
    rig.clock.now += 1.0
    copy = topics.Batch((), relay_parts.make_place(1))
    servers.apply(follower.Update(copy, rig.clock.now, float("inf")))
    rig.clock.now += 14.0
    await platform.publish(platform.servers, "a", None)
    await servers.read_once()
    ready = relay_parts.ready_servers(
        rig.state.router.fleet, "desk", {"v1"}, (), rig.clock.now
    )
    assertions.assert_that(ready, matchers.HasLength(0))


async def test_heartbeat_without_changes_is_not_passed_on(
    platform: relay_platform.MemoryPlatform, servers: follower.TopicFollower
) -> None:
    await platform.publish(platform.servers, "a", relay_parts.make_entry("a"))
    await servers.read_once()
    copied_until = servers.place
    for _ in range(3):
        await platform.publish(
            platform.servers, "a", relay_parts.make_entry("a")
        )
    await servers.read_once()
    copy = servers.replica.changes_since(copied_until)
    assert copy is not None
    assertions.assert_that(copy.records, matchers.Equals(()))
    assertions.assert_that(copy.end, matchers.Equals(relay_parts.make_place(4)))
    leaving = relay_parts.make_entry("a", is_leaving=True)
    await platform.publish(platform.servers, "a", leaving)
    await servers.read_once()
    copy = servers.replica.changes_since(copied_until)
    assert copy is not None
    assertions.assert_that(copy.records, matchers.HasLength(1))


async def test_outage_at_source_is_passed_on(
    servers: follower.TopicFollower,
) -> None:
    nothing = topics.Batch((), relay_parts.make_place(0))
    servers.apply(follower.Update(nothing, 100.0, after_outage=0.3))
    assertions.assert_that(round(servers.after_outage, 3), matchers.Equals(0.3))


async def test_expired_offset_is_replaced_by_snapshot(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    for name in "abc":
        await platform.publish(
            platform.servers, name, relay_parts.make_entry(name)
        )
    await servers.read_once()
    await platform.publish(platform.servers, "b", None)
    await platform.publish(platform.servers, "d", relay_parts.make_entry("d"))
    platform.servers.first_kept = 5
    with pytest.raises(errors.LogOffsetExpiredError):
        await servers.read_once()
    servers.place = None
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["a", "c", "d"]))


async def test_malformed_entry_does_not_hide_others(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    await platform.servers.put("bad", b"unknown")
    await platform.publish(platform.servers, "a", relay_parts.make_entry("a"))
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["a"]))
    written = [each["event"] for each in rig.events()]
    assertions.assert_that(written, matchers.Contains("server_unreadable"))


async def test_an_unreadable_record_does_not_undo_what_a_server_said(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    for name in "ab":
        await platform.publish(
            platform.servers, name, relay_parts.make_entry(name)
        )
    await servers.read_once()
    await platform.servers.put("a", b"unknown")
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["a", "b"]))
    # The same holds for a snapshot, which other hosts may copy.
    servers.place = None
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["a", "b"]))
    copy = servers.replica.changes_since(None)
    assert copy is not None
    assertions.assert_that(
        [each.key for each in copy.records], matchers.Equals(["b"])
    )
    # The server's next heartbeat is passed on to them.
    await platform.publish(platform.servers, "a", relay_parts.make_entry("a"))
    await servers.read_once()
    copy = servers.replica.changes_since(None)
    assert copy is not None
    assertions.assert_that(
        sorted(each.key for each in copy.records), matchers.Equals(["a", "b"])
    )
    written = [each["event"] for each in rig.events()]
    assertions.assert_that(
        written.count("server_unreadable"), matchers.Equals(1)
    )


async def test_entry_without_start_time_is_rejected_if_others_have_one(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    await platform.publish(platform.servers, "x", relay_parts.make_entry("x"))
    for name in "ab":
        entry = relay_parts.make_entry(name, born=1000)
        await platform.publish(platform.servers, name, entry)
    await platform.publish(platform.servers, "y", relay_parts.make_entry("y"))
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["a", "b"]))


@pytest.mark.parametrize("is_first", [True, False])
async def test_start_times_of_a_foreign_service_say_nothing_of_others(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
    is_first: bool,
) -> None:
    # All servers were removed for an entry of a service that nobody names.
    foreign = relay_parts.make_entry("x", service="foreign", born=1000)
    entries = [foreign, *(relay_parts.make_entry(name) for name in "ab")]
    for entry in entries if is_first else reversed(entries):
        await platform.publish(platform.servers, entry.server_id, entry)
    await servers.read_once()
    assertions.assert_that(known_servers(rig), matchers.Equals(["a", "b", "x"]))


async def test_new_start_of_server_is_passed_on(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    for born, sequence in ((1000, 7), (2000, 1), (1000, 8)):
        entry = relay_parts.make_entry("a", born=born, sequence=sequence)
        await platform.publish(platform.servers, "a", entry)
        await servers.read_once()
    found = rig.state.router.fleet.servers["a"]
    assertions.assert_that(found.entry.born, matchers.Equals(2000))
    # The late heartbeat of the older start is not passed on.
    copy = servers.replica.changes_since(relay_parts.make_place(1))
    assert copy is not None
    assertions.assert_that(
        [each.place.offset for each in copy.records], matchers.Equals([1])
    )


async def test_evacuation_lasts_until_revoked(
    rig: Rig, platform: relay_platform.MemoryPlatform
) -> None:
    listener = operator_listener.OperatorListener(rig.state, platform.codec)
    fleet = rig.state.router.fleet

    def take(batch: topics.Batch) -> set[str]:
        listener(follower.Update(batch, rig.clock.now, float("inf")))
        return set(fleet.evacuated)

    await platform.operator.put("empty-north", b"{}")
    await platform.operator.put("empty-south", b"{}")
    zones = take(
        await platform.operator.changes(relay_parts.make_place(0), 0.0)
    )
    assertions.assert_that(zones, matchers.Equals({"north", "south"}))
    # Other records of operators do not end an evacuation.
    await platform.publish(
        platform.operator, "config", relay_parts.make_configuration()
    )
    zones = take(
        await platform.operator.changes(relay_parts.make_place(2), 0.0)
    )
    assertions.assert_that(zones, matchers.Equals({"north", "south"}))
    await platform.operator.put("empty-north", None)
    left = take(await platform.operator.changes(relay_parts.make_place(3), 0.0))
    assertions.assert_that(left, matchers.Equals({"south"}))
    # A failure domain that a snapshot lacks was released, also if the removal
    # itself is no longer retained.
    await platform.operator.put("empty-south", None)
    left = take(await platform.operator.newest())
    assertions.assert_that(left, matchers.Equals(set()))
    lines = [each for each in rig.events() if each["event"] == "evacuated"]
    assertions.assert_that(
        [each["zones"] for each in lines],
        matchers.Equals([["north", "south"], ["south"], []]),
    )


async def test_malformed_order_does_not_hide_configuration(
    rig: Rig, platform: relay_platform.MemoryPlatform
) -> None:
    class FailingCodec(relay_platform.NamedCodec):
        def order(self, record: topics.Record) -> phases.Order | None:
            raise errors.CodecError("torn", "Inspect the record.")

    codec = FailingCodec(platform.codec.known)
    listener = operator_listener.OperatorListener(rig.state, codec)
    await platform.operator.put("rollout/a", b"torn")
    await platform.publish(
        platform.operator, "config", relay_parts.make_configuration()
    )
    batch = await platform.operator.newest()
    listener(follower.Update(batch, rig.clock.now, float("inf")))
    assertions.assert_that(
        rig.state.configuration, matchers.Not(matchers.Is(None))
    )
    assertions.assert_that(
        [each["event"] for each in rig.events()],
        matchers.Contains("operator_unreadable"),
    )


@attrs.define
class LongPollTopic(relay_platform.MemoryTopic):
    """A topic whose reads advance the clock of the test.

    Attributes:
        clock: Clock of the test.
        held: Seconds by which each read advances the clock.
        waits: The requested wait of each read, in order.
    """

    clock: relay_states.Clock = attrs.field(factory=relay_states.Clock)
    held: float = 0.0
    waits: list[float] = attrs.field(factory=list)

    async def changes(self, place: topics.Place, wait: float) -> topics.Batch:
        """Returns the records after advancing the clock."""
        self.waits.append(wait)
        self._check()
        self.clock.now += self.held
        records = tuple(self.records[place.offset :])
        return topics.Batch(records, place.after(len(records)))


def operator_follower(
    rig: Rig, platform: relay_platform.MemoryPlatform, topic: LongPollTopic
) -> follower.TopicFollower:
    """Returns a follower of the operators' topic with waits of one second."""
    return rig.follow(
        "operator",
        topic,
        operator_listener.OperatorListener(rig.state, platform.codec),
        wait=1.0,
        is_probe=True,
    )


@pytest.mark.parametrize(
    ("held", "adds", "proved_at"),
    [
        # The wait ended without records: there was nothing newer at its end.
        (1.01, False, 101.0),
        # An early response proves the records current as of the request.
        (0.3, True, 100.0),
        # An early empty response violates the protocol, and proves the same.
        (0.3, False, 100.0),
    ],
)
async def test_read_proves_topic_current(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    held: float,
    adds: bool,
    proved_at: float,
) -> None:
    topic = LongPollTopic(clock=rig.clock, held=held)
    platform.operator = topic
    await platform.publish(topic, "config", relay_parts.make_configuration(1))
    reader = operator_follower(rig, platform, topic)
    await reader.read_once()
    if adds:
        await platform.publish(
            topic, "config", relay_parts.make_configuration(2)
        )
    await reader.read_once()
    assert rig.state.lease.proved_at is not None
    assertions.assert_that(
        round(rig.state.lease.proved_at, 3), matchers.Equals(proved_at)
    )


async def test_read_after_outage_is_no_long_poll(
    rig: Rig, platform: relay_platform.MemoryPlatform
) -> None:
    topic = LongPollTopic(clock=rig.clock)
    reader = rig.follow(
        "servers",
        topic,
        server_listener.ServerListener(rig.state, platform.codec),
        wait=1.0,
        is_probe=True,
    )
    await reader.read_once()
    topic.is_unavailable = True
    task = asyncio.create_task(reader.run())
    while len(topic.waits) < 3:
        await asyncio.sleep(0.01)
    task.cancel()
    topic.is_unavailable = False
    await reader.read_once()
    await reader.read_once()
    assertions.assert_that(topic.waits[0], matchers.Equals(1.0))
    assertions.assert_that(topic.waits[-2:], matchers.Equals([0.0, 1.0]))


async def test_read_with_records_is_confirmed_at_once(
    rig: Rig, platform: relay_platform.MemoryPlatform
) -> None:
    topic = LongPollTopic(clock=rig.clock)
    reader = operator_follower(rig, platform, topic)
    await reader.read_once()
    await platform.publish(topic, "config", relay_parts.make_configuration(2))
    for _ in range(3):
        await reader.read_once()
    assertions.assert_that(topic.waits, matchers.Equals([1.0, 0.0, 1.0]))


async def test_end_of_lease_is_logged_once(rig: Rig) -> None:
    monitor = lease_monitor.LeaseMonitor(rig.state)
    rig.state.lease.renew(rig.clock.now)
    monitor.check()
    monitor.check()
    rig.clock.now += 5.0
    monitor.check()
    lines = [each for each in rig.events() if each["event"] == "lease"]
    assertions.assert_that(
        [(each["holds"], each["age"]) for each in lines],
        matchers.Equals([(True, 0.0), (False, 5.0)]),
    )


async def test_lease_requires_configuration(
    rig: Rig, platform: relay_platform.MemoryPlatform
) -> None:
    reader = rig.follow(
        "operator",
        platform.operator,
        operator_listener.OperatorListener(rig.state, platform.codec),
    )
    await reader.read_once()
    assertions.assert_that(
        rig.state.lease.is_valid(rig.clock.now), matchers.Is(False)
    )


def test_log_is_rate_limited_and_counts_omitted_lines(rig: Rig) -> None:
    for number in range(1000):
        rig.state.log.write("noise", number=number)
    rig.state.log.write("other")
    lines = rig.events()
    noise = [each for each in lines if each["event"] == "noise"]
    assertions.assert_that(noise, matchers.HasLength(int(event_log.BURST)))
    assertions.assert_that(lines[-1]["event"], matchers.Equals("other"))
    rig.clock.now += 1.0
    rig.state.log.write("noise", number=-1)
    assertions.assert_that(
        rig.events()[-1]["left_out"], matchers.Equals(1000 - event_log.BURST)
    )


def test_full_log_pipe_does_not_block(rig: Rig) -> None:
    big = "x" * 4000
    for number in range(100):
        rig.state.log.write(f"kind {number}", text=big)
    assertions.assert_that(len(rig.events()), matchers.LessThan(100))
