"""Hundreds of hosts before a store that starts, goes away and comes back.

Each scenario counts the calls to the store and the time until the last host
is current.
"""

from __future__ import annotations

import asyncio

import pytest
import relay_parts
import relay_swarm
from testtools import assertions
from testtools import matchers

SIZES = (31, 195)
LARGE = 90_000  # Bytes of a configuration of 1,400 routes, compressed.
# From one host to the size that is planned for.
EVACUATING = (1, 9, 84, 360)
READS = 6  # Calls a second of the host that reads for all, at the most.


def assert_calls(swarm: relay_swarm.Swarm, most: float) -> None:
    assertions.assert_that(swarm.store.total(), matchers.LessThan(most))


def assert_within(took: float, seconds: float) -> None:
    assertions.assert_that(took, matchers.LessThan(seconds))


@pytest.mark.parametrize("hosts", SIZES)
def test_a_first_start_takes_two_calls_a_host(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = relay_swarm.swarm_of(hosts)
        await swarm.begin()
        await asyncio.sleep(0.4)
        assert_within(await swarm.until(lambda each: each.is_current), 1.0)
        assert_calls(swarm, 2.5 * hosts)

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_one_host_reads_for_all(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        await asyncio.sleep(10.0)
        assertions.assert_that(swarm.readers(), matchers.Equals(1))
        assert_calls(swarm, READS * 10)

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("fault", ["reset", "silent"])
def test_an_outage_with_restarts_ends_everywhere_within_two_seconds(
    monkeypatch: pytest.MonkeyPatch, hosts: int, fault: str
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        swarm.store.fault[""] = fault
        swarm.store.wake()
        for second in range(8):
            turn = swarm.members[second::24]
            for member in turn:
                member.stop()
            await asyncio.sleep(0.5)
            for member in turn:
                member.start()
            await asyncio.sleep(0.5)
        assert_calls(swarm, 6 * hosts + 100)
        swarm.store.fault.clear()
        swarm.store.calls.clear()
        assert_within(await swarm.until(lambda each: each.is_current), 2.0)
        assert_calls(swarm, 2 * hosts)

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_a_large_configuration_is_in_force_within_a_second(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        newer = relay_parts.in_force(9)
        await swarm.store.publish_large("config", newer, LARGE)
        took = await swarm.until(lambda each: each.revision == 9)
        assert_within(took, 1.0)
        assert_calls(swarm, hosts)

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_hosts_that_the_store_turns_away_stay_current(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        readers = [each for each in swarm.members if each.reads]
        turned_away = {*swarm.members[::3], *readers}
        for member in turned_away:
            swarm.store.fault[member.name] = "busy"
        swarm.store.wake()
        await asyncio.sleep(1.0)
        await swarm.store.publish("operator", "config", relay_parts.in_force(7))
        took = await swarm.until(lambda each: each.revision == 7)
        assert_within(took, 1.0)
        oldest = 0.0
        for _ in range(80):
            await asyncio.sleep(0.1)
            oldest = max(oldest, *(each.age for each in swarm.members))
        assert_within(oldest, 2.0)
        assert_calls(swarm, 2 * hosts + 10 * READS)

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_all_hosts_that_restart_at_once_are_current_within_a_second(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        for member in swarm.members:
            member.stop()
        loop = asyncio.get_running_loop()
        for number, member in enumerate(swarm.members):
            place = number * 7 % hosts
            loop.call_later(0.4 * place / hosts, member.start)
        await asyncio.sleep(0.41)
        assert_within(await swarm.until(lambda each: each.is_current), 1.0)
        assert_calls(swarm, 2 * hosts)

    relay_swarm.play(monkeypatch, scenario())


async def evacuate(swarm: relay_swarm.Swarm, zone: str, value: object) -> float:
    """Returns the seconds until all hosts know the operators' word."""
    await swarm.store.publish("operator", f"empty-{zone}", value)
    expected = set() if value is None else {zone}
    return await swarm.until(lambda each: each.evacuated == expected)


@pytest.mark.parametrize("hosts", EVACUATING)
def test_an_evacuation_and_its_end_are_in_force_within_a_second(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        for value in ("{}", None, "{}"):
            assert_within(await evacuate(swarm, "north", value), 1.0)
            await asyncio.sleep(0.7)

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", EVACUATING)
def test_hosts_that_restart_know_an_evacuation_once_they_are_current(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        await evacuate(swarm, "north", "{}")
        for member in swarm.members:
            member.stop()
        for member in swarm.members:
            member.start()
        took = await swarm.until(lambda each: each.is_current)
        assert_within(took, 1.5)
        assertions.assert_that(
            [each.evacuated for each in swarm.members],
            matchers.AllMatch(matchers.Equals({"north"})),
        )

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", EVACUATING[1:])
def test_hosts_that_the_store_turns_away_learn_of_an_evacuation(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        for member in swarm.members[::3]:
            swarm.store.fault[member.name] = "busy"
        swarm.store.wake()
        assert_within(await evacuate(swarm, "north", "{}"), 3.0)
        assert_within(await evacuate(swarm, "north", None), 2.0)

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", [6, 84])
def test_work_told_in_circles_does_not_grow(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    # While the store is away, hosts ask any others, which may ask them.
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        swarm.store.fault[""] = "silent"
        swarm.store.wake()
        most = 0.0
        for _ in range(60):
            await asyncio.sleep(0.2)
            for member in swarm.members:
                assert member.relay is not None
                fleet = member.relay.state.router.fleet
                for each in fleet:
                    each.work, each.in_flight = 100.0, 1
                    most = max(most, each.told.work, each.told.requests)
        assertions.assert_that(most, matchers.GreaterThan(0.0))
        # A host that changes its source is known at both for a moment.
        assertions.assert_that(most, matchers.LessThan(3 * 100.0 * hosts))

    relay_swarm.play(monkeypatch, scenario())
