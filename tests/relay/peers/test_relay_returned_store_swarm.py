"""Many hosts before a store that comes back from an older copy."""

from __future__ import annotations

import asyncio

import attrs
import pytest
import relay_parts
import relay_swarm
import swarm_troubles
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay.versions import rollout_codec

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


async def swarm_ahead_of_copy(
    hosts: int, revision: int
) -> tuple[relay_swarm.Swarm, dict[str, int]]:
    """Returns hosts that all use a revision, and a copy that lacks it."""
    swarm = await relay_swarm.calm_swarm(hosts)
    copy = swarm.store.platform.copy()
    await publish(swarm, revision)
    await swarm.until(lambda each: each.revision == revision)
    return swarm, copy


async def obey_within(swarm: relay_swarm.Swarm, revision: int) -> None:
    """Asserts that all hosts use a revision a second after it is confirmed."""
    await publish(swarm, revision)
    took = await swarm.until(lambda each: each.revision == revision, 5.0)
    assertions.assert_that(took, matchers.LessThan(1.0))


def snapshots(swarm: relay_swarm.Swarm) -> int:
    """Returns how often hosts have read the newest records of a topic."""
    calls = swarm.store.calls.items()
    return sum(count for (_, call, _), count in calls if call == "newest")


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
        swarm, copy = await swarm_ahead_of_copy(hosts, 5)
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


ORDER = phases.Order("desk", "v2", 60.0, 2)
SUSPECT = suspect_state.Suspect(
    "f1", dict.fromkeys(("e1", "e2"), runs.Stage.WAITING), is_quarantined=True
)


async def write_all(swarm: relay_swarm.Swarm) -> None:
    """Has hosts write of a roll-out and of a quarantine, and all know it."""
    await swarm.store.publish("operator", "rollout/desk", ORDER)
    record = phases.PhaseRecord("desk", "v2", 2, phases.Phase.REVERTED)
    await swarm.store.platform.phases.put(
        "desk/v2", rollout_codec.encode(record)
    )
    swarm.store.wake()
    assert swarm.members[-1].relay is not None
    swarm.members[-1].relay.state.take_suspects([SUSPECT])
    took = await swarm.until(knows_all)
    assertions.assert_that(took, matchers.LessThan(10.0))
    await asyncio.sleep(3.0)


def knows_all(member: relay_swarm.Member) -> bool:
    """Returns whether a host refuses what it should, and has the phase."""
    assert member.relay is not None
    state = member.relay.state
    progress = state.router.rollouts.progress.get("desk")
    is_reverted = progress and progress.phase is phases.Phase.REVERTED
    quarantined = state.router.suspects.quarantined(state.clock())
    return bool(is_reverted) and "f1" in quarantined


def written(swarm: relay_swarm.Swarm) -> dict[str, set[str]]:
    """Returns the keys of what hosts have written, by topic."""
    return {
        name: {each.key for each in swarm.store.platform.topics[name].records}
        for name in ("hosts", "phases", "status", "quarantine")
    }


@pytest.mark.parametrize("hosts", SIZES)
def test_what_hosts_wrote_is_written_again_once(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        copy = swarm.store.platform.copy() | {"hosts": hosts // 2}
        await write_all(swarm)
        before = written(swarm)
        await return_from(swarm, copy)
        swarm.store.calls.clear()
        await asyncio.sleep(0.5)
        await swarm.store.publish("operator", "rollout/desk", ORDER)
        for _ in range(60):
            await asyncio.sleep(0.1)
            assertions.assert_that(
                [each.name for each in swarm.members if not knows_all(each)],
                matchers.Equals([]),
            )
        assertions.assert_that(written(swarm), matchers.Equals(before))
        puts = {
            name: sum(
                count
                for (_, call, topic), count in swarm.store.calls.items()
                if call == "put" and topic == name
            )
            for name in before
        }
        # Two hosts may read the store for a moment.
        assertions.assert_that(
            puts.values(), matchers.AllMatch(matchers.LessThan(3))
        )
        assertions.assert_that(snapshots(swarm), matchers.LessThan(hosts + 10))

    relay_swarm.play(monkeypatch, scenario())


@attrs.define
class Watch:
    """Looks at hosts all the time; notes each that goes back or stops.

    Attributes:
        broken: What was seen.
    """

    swarm: relay_swarm.Swarm
    broken: list[str] = attrs.field(factory=list)
    _seen: dict[int, int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            for member in self.swarm.members:
                self._look(member)
            await asyncio.sleep(0.02)

    def _look(self, member: relay_swarm.Member) -> None:
        if member.relay is None:
            return
        run = id(member.relay)
        if member.revision < self._seen.get(run, 0):
            self.broken.append(f"{member.name} goes back")
        is_cut_off = member.name in self.swarm.cut_off
        if run in self._seen and not is_cut_off and not member.is_current:
            self.broken.append(f"{member.name} stops")
        if member.is_current:
            self._seen[run] = member.revision


@pytest.mark.parametrize("hosts", SIZES)
def test_returns_in_a_row_change_nothing_for_callers(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    # The second one comes during the repair of the first, a third of the hosts
    # miss both, and some hosts start again between.
    async def scenario() -> None:
        swarm, copy = await swarm_ahead_of_copy(hosts, 3)
        watch = Watch(swarm)
        watching = asyncio.create_task(watch.run())
        swarm_troubles.third_cut_off(swarm)
        await return_from(swarm, copy, 0.3)
        swarm_troubles.third_cut_off(swarm)
        await asyncio.sleep(0.15)
        await publish(swarm, 4)
        await return_from(swarm, copy, 0.3)
        swarm_troubles.third_cut_off(swarm)
        for member in swarm.members[1::5]:
            member.stop()
            member.start()
        await asyncio.sleep(0.5)
        swarm.cut_off = frozenset()
        swarm.store.fault.clear()
        await asyncio.sleep(1.0)
        for revision in (5, 6):
            await obey_within(swarm, revision)
        watching.cancel()
        assertions.assert_that(watch.broken, matchers.Equals([]))
        eras = {
            each.relay.state.history.era
            for each in swarm.members
            if each.relay is not None
        }
        assertions.assert_that(eras, matchers.Equals({2}))

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_hosts_that_ask_others_leave_the_older_history_within_a_second(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm, copy = await swarm_ahead_of_copy(hosts, 3)
        swarm.store.calls.clear()
        swarm.store.platform.rewind(copy)
        swarm.store.wake()
        took = await swarm.until(has_read_the_newest, 5.0)
        assertions.assert_that(took, matchers.LessThan(1.0))
        # At most a snapshot for each topic of those who read the store.
        readers = 2 * swarm.readers() + 2
        assertions.assert_that(snapshots(swarm), matchers.LessThan(7 * readers))

    relay_swarm.play(monkeypatch, scenario())


def has_read_the_newest(member: relay_swarm.Member) -> bool:
    """Returns whether a host knows all topics in the newest history."""
    assert member.relay is not None
    places = [each.place for each in member.relay.followers.values()]
    return all(place is not None and place.era == 1 for place in places)
