"""Tests of server entries after the store was restored from a copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import relay_parts
import relay_platform
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.relay.store import follower
from hoistmoor.relay.store import server_listener

if TYPE_CHECKING:
    from typing import Any

    from conftest import Rig

    from hoistmoor.core.relay.beliefs import topics


@pytest.fixture
def servers(
    rig: Rig, platform: relay_platform.MemoryPlatform
) -> follower.TopicFollower:
    """A follower of the entries of backend servers."""
    return rig.follow(
        "servers",
        relay_platform.HostTopic(platform.servers, rig.state.store_era),
        server_listener.ServerListener(rig.state, platform.codec),
    )


async def publish_entry(
    platform: relay_platform.MemoryPlatform, name: str, **fields: Any
) -> None:
    entry = relay_parts.make_entry(name, address=f"{name}:1", **fields)
    await platform.publish(platform.servers, name, entry)


def usable(rig: Rig) -> set[str]:
    servers = rig.state.router.fleet.eligible("desk", rig.clock.now)
    return {each.entry.server_id for each in servers}


async def restore(
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
    copy: dict[str, int],
) -> None:
    platform.restore(copy)
    servers._state.store_era.record_era(platform.servers.era, "h2")
    await servers.read_once()


@pytest.mark.parametrize("born", [None, 1000])
async def test_server_that_left_is_not_restored_with_store(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
    born: int | None,
) -> None:
    for name in ("gone", "leaving", "stays"):
        await publish_entry(platform, name, born=born, sequence=4)
    await servers.read_once()
    copy = platform.backup()
    await platform.publish(platform.servers, "gone", None)
    await publish_entry(
        platform, "leaving", born=born, sequence=5, is_leaving=True
    )
    await servers.read_once()
    await restore(platform, servers, copy)
    assertions.assert_that(usable(rig), matchers.Equals({"stays"}))
    # A starting host does not get them in a copy from this host either.
    copied = servers.replica.changes_since(None)
    assert copied is not None
    assertions.assert_that(
        [each.key for each in copied.records], matchers.Equals(["stays"])
    )
    # A new heartbeat supersedes what the restored copy has.
    await publish_entry(
        platform, "leaving", born=born, sequence=6, is_leaving=True
    )
    await publish_entry(platform, "gone", born=born, sequence=5)
    await servers.read_once()
    assertions.assert_that(usable(rig), matchers.Equals({"stays", "gone"}))
    copied = servers.replica.changes_since(None)
    assert copied is not None
    assertions.assert_that(copied.records, matchers.HasLength(3))
    lines = [e for e in rig.events() if e["event"] == "servers_returned"]
    assertions.assert_that(
        [each["servers"] for each in lines],
        matchers.Equals([["gone", "leaving"]]),
    )


async def test_servers_lost_by_store_are_kept_for_grace_period(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    copy = platform.backup()
    for name in ("lives", "ended"):
        await publish_entry(platform, name)
    await servers.read_once()
    rig.clock.now += 60.0
    await restore(platform, servers, copy)
    assertions.assert_that(usable(rig), matchers.Equals({"lives", "ended"}))
    await publish_entry(platform, "lives")
    rig.clock.now += fleet_lib.EXPIRY_GRACE_PERIOD + 0.1
    await servers.read_once()
    assertions.assert_that(usable(rig), matchers.Equals({"lives"}))


async def test_late_response_of_older_era_is_ignored(
    rig: Rig,
    platform: relay_platform.MemoryPlatform,
    servers: follower.TopicFollower,
) -> None:
    await publish_entry(platform, "a")
    await servers.read_once()
    await publish_entry(platform, "late")
    late = await platform.servers.changes(relay_parts.make_place(1), 0.0)
    rig.state.store_era.record_era(1, "h2")
    assertions.assert_that(servers.is_ahead_of(late), matchers.Is(True))
    proved_at = servers.current_at
    rig.clock.now += 1.0

    class LateTopic(relay_platform.MemoryTopic):
        async def newest(self) -> topics.Batch:
            return late

    servers._topic = LateTopic()
    await servers.read_once()
    assertions.assert_that(usable(rig), matchers.Equals({"a"}))
    assertions.assert_that(servers.current_at, matchers.Equals(proved_at))
