"""Many hosts before a store that comes back from an older copy."""

from __future__ import annotations

import asyncio

import pytest
import relay_parts
import relay_swarm
from testtools import assertions
from testtools import matchers

SIZES = (7, 84, 360)
AWAY = 1.0  # Seconds for which the store is away.


async def return_from(
    swarm: relay_swarm.Swarm, copy: dict[str, int], away: float = AWAY
) -> None:
    """Has the store be away, and come back from a copy."""
    swarm.store.fault[""] = "reset"
    swarm.store.wake()
    await asyncio.sleep(away)
    swarm.store.platform.rewind(copy)
    swarm.store.fault.clear()
    swarm.store.wake()


async def publish(swarm: relay_swarm.Swarm, revision: int) -> None:
    found = relay_parts.in_force(revision)
    await swarm.store.publish("operator", "config", found)


async def obey_within(swarm: relay_swarm.Swarm, revision: int) -> None:
    """Asserts that all hosts use a revision a second after it is confirmed."""
    await publish(swarm, revision)
    took = await swarm.until(lambda each: each.revision == revision, 5.0)
    assertions.assert_that(took, matchers.LessThan(1.0))


def test_changes_after_the_store_returned_are_in_force_within_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(hosts: int) -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        copy = swarm.store.platform.copy()
        for revision in (2, 3, 4):
            await publish(swarm, revision)
            await asyncio.sleep(1.0)
        await return_from(swarm, copy)
        await asyncio.sleep(1.0)
        for revision in (5, 6, 7, 8):
            await obey_within(swarm, revision)
            assertions.assert_that(
                [each.name for each in swarm.members if not each.is_current],
                matchers.Equals([]),
            )

    for hosts in SIZES:
        relay_swarm.play(monkeypatch, scenario(hosts))


@pytest.mark.parametrize("hosts", SIZES)
def test_hosts_that_restart_know_what_the_store_has_lost(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    # Also the one that reads the store for all, and then all that ask it.
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        copy = swarm.store.platform.copy()
        await publish(swarm, 5)
        await swarm.until(lambda each: each.revision == 5)
        await return_from(swarm, copy)
        await asyncio.sleep(1.0)
        readers = [each for each in swarm.members if each.reads]
        for member in {*readers, *swarm.members[::3]}:
            member.stop()
            await asyncio.sleep(0.01)
            member.start()
        await asyncio.sleep(0.05)
        before = max(0, *(each.revision for each in swarm.members))
        assertions.assert_that(before, matchers.Equals(5))
        # None is current with what the store says now.
        for _ in range(100):
            older = [
                each.name
                for each in swarm.members
                if each.is_current and each.revision != 5
            ]
            assertions.assert_that(older, matchers.Equals([]))
            await asyncio.sleep(0.02)
        await obey_within(swarm, 6)

    relay_swarm.play(monkeypatch, scenario())
