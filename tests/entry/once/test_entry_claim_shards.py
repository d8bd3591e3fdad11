"""Tests of keys in several shards, each followed by a few hosts."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest_asyncio
from testtools import assertions
from testtools import matchers

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core.once import permits
from hoistmoor.core.once import placement
from hoistmoor.entry import claim_reader
from hoistmoor.entry import claim_shards
from hoistmoor.entry import once as once_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    import once_fake_log
    import pytest

HOSTS = {f"e{number}": f"127.0.0.{number}:80" for number in range(5)}
SHARDS = 4
ANSWER = permits.StoredAnswer(200, "application/json", b"{}", "r")


@pytest_asyncio.fixture
async def hosts(
    log: once_fake_log.FakeLog,
) -> AsyncIterator[dict[str, once_lib.AtMostOnceGuard]]:
    made = {
        address: once_lib.AtMostOnceGuard(
            log,
            identity.Incarnation(name, 7),
            address,
            [b"test secret"],
            lambda _: True,
            shard_count=SHARDS,
            live_hosts=lambda: HOSTS,
        )
        for name, address in HOSTS.items()
    }
    for host in made.values():
        host.start()
    yield made
    for host in made.values():
        await host.stop()


async def test_a_key_runs_once_wherever_it_is_sent(
    hosts: dict[str, once_lib.AtMostOnceGuard], log: once_fake_log.FakeLog
) -> None:
    for key in ("a", "b", "c", "d"):
        runs = 0
        for first in HOSTS.values():
            at, result = first, await begin(hosts[first], key, False)
            if isinstance(result, permits.ForwardTo):
                at = result.address
                result = await begin(hosts[at], key, True)
            if isinstance(result, permits.Permit):
                runs += 1
                await hosts[at].finish(result, outcomes.Outcome.DONE, ANSWER)
                await hosts[at].drain(20)
            else:
                assertions.assert_that(result, matchers.Equals(ANSWER))
        assertions.assert_that(runs, matchers.Equals(1))
    used = [name for name in log.records if name.startswith("claims-4-")]
    assertions.assert_that(len(used), matchers.GreaterThan(1))


async def test_a_shard_keeps_its_keys_when_followed_again(
    hosts: dict[str, once_lib.AtMostOnceGuard], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(claim_reader, "_PAGE_SIZE", 1)
    # The second claimant of a process must not reuse serials of the first:
    # reading back an old claim would look like winning a new one.
    host = hosts[HOSTS["e0"]]
    for wanted in (permits.Permit, permits.StoredAnswer):
        result = await begin(host, "a", forwarded=True)
        assertions.assert_that(result, matchers.IsInstance(wanted))
        if isinstance(result, permits.Permit):
            await host.finish(result, outcomes.Outcome.DONE, ANSWER)
        await host.drain(20)
        for shard in tuple(host.claims.followed):
            while shard in host.claims.followed:
                await host.claims._unfollow_if_idle(shard)
                await asyncio.sleep(0)


async def begin(
    host: once_lib.AtMostOnceGuard, key: str, forwarded: bool
) -> permits.BeginResult:
    return await host.begin(
        "acme", key, "f", "r", time.time() + 20, forwarded=forwarded
    )


def test_shards_move_only_with_their_own_host() -> None:
    names = [f"e{number}" for number in range(40)]
    moved = 0
    for shard in range(64):
        before = placement.followers(shard, names)
        after = placement.followers(shard, names[1:])
        if "e0" not in before:
            assertions.assert_that(after, matchers.Equals(before))
        moved += before != after
    assertions.assert_that(moved, matchers.LessThan(64 // 8))


async def test_shards_are_reassigned_only_when_hosts_change(
    hosts: dict[str, once_lib.AtMostOnceGuard], monkeypatch: pytest.MonkeyPatch
) -> None:
    counted: list[int] = []
    known = placement.followers

    def count(shard: int, names: Iterable[str]) -> tuple[str, ...]:
        counted.append(shard)
        return known(shard, names)

    def placed() -> int:
        return sum(len(host.claims.followed) for host in hosts.values())

    while placed() < SHARDS * placement.FOLLOWERS:
        await asyncio.sleep(0)
    monkeypatch.setattr(placement, "followers", count)
    monkeypatch.setattr(claim_shards, "_CHECK_SECONDS", 0)
    monkeypatch.setitem(HOSTS, "new", "127.0.0.99:80")
    once_each = SHARDS * len(hosts)
    async with asyncio.timeout(20):
        while len(counted) < once_each:
            await asyncio.sleep(0)
    for _ in range(50):
        await asyncio.sleep(0)
    assertions.assert_that(counted, matchers.HasLength(once_each))
