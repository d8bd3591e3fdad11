"""A request that ends servers, at many hosts in virtual time.

Servers that ended under one request were struck off one by one: each host saw
an end or two of its own, and no host saw more. Once three servers have ended,
every host has to refuse the request within three seconds; in the played day
that failed, it was sent on 12 seconds after its third server by the host that
had seen the first three.
"""

from __future__ import annotations

import asyncio
import random

import pytest
import relay_parts
import relay_swarm
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.servers import suspects

# The sizes of the deployments, and the size that is planned for.
SIZES = (7, 84, 360)
HEARD_WITHIN = 3.0  # Seconds after the third end.
BAD = "bad"
BESIDE = "beside"
BUSY = 12  # Other requests that a server has when it ends.


def end_server(
    member: relay_swarm.Member,
    server: str,
    requests: list[tuple[str, runs.Stage]],
) -> None:
    """Has a host find that a server has ended, with its runs there."""
    assert member.relay is not None
    state = member.relay.state
    now = state.clock()
    state.router.fleet.put(relay_parts.entry(server))
    found = state.router.fleet.servers[server]
    for fingerprint, stage in requests:
        begun_at = None if stage is runs.Stage.WAITING else now - 0.1
        found.runs.add(runs.Run(fingerprint, stage, begun_at))
    state.note_server_end(found)


def end_at_last_hosts(swarm: relay_swarm.Swarm) -> None:
    """Has a server end at each of as many hosts as it takes."""
    for number in range(suspect_state.STARTS_TO_QUARANTINE):
        member = swarm.members[-1 - number]
        end_server(member, f"x{number}", [(BAD, runs.Stage.BEGUN)])


def refuses(member: relay_swarm.Member, fingerprint: str = BAD) -> bool:
    assert member.relay is not None
    state = member.relay.state
    return state.router.suspects.is_quarantined(fingerprint, state.clock())


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("stage", [runs.Stage.BEGUN, runs.Stage.WAITING])
def test_all_hosts_refuse_it_soon_after_the_third_end(
    monkeypatch: pytest.MonkeyPatch, hosts: int, stage: runs.Stage
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        draw = random.Random(hosts)
        ends = suspects.ENDS_TO_QUARANTINE
        if stage is runs.Stage.BEGUN:
            ends = suspect_state.STARTS_TO_QUARANTINE
        # No host sees two ends, and what runs beside is at all of them.
        for number, member in enumerate(draw.sample(swarm.members, ends)):
            end_server(member, f"x{number}", [(BAD, stage)])
            near = draw.choice(swarm.members)
            beside = [
                (f"{BESIDE}{number}.{each}", runs.Stage.GIVING)
                for each in range(BUSY)
            ]
            end_server(near, f"x{number}", beside)
            await asyncio.sleep(0.05)
        took = await swarm.until(refuses)
        assertions.assert_that(took, matchers.LessThan(HEARD_WITHIN))
        spared = [refuses(each, f"{BESIDE}0.0") for each in swarm.members]
        assertions.assert_that(any(spared), matchers.Is(False))

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_hosts_that_all_start_anew_know_it_once_they_are_current(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        end_at_last_hosts(swarm)
        await swarm.until(refuses)
        await asyncio.sleep(1.0)
        for member in swarm.members:
            member.stop()
        for member in swarm.members:
            member.start()
        took = await swarm.until(refuses)
        assertions.assert_that(took, matchers.LessThan(HEARD_WITHIN))

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_one_host_writes_it_for_all(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        end_at_last_hosts(swarm)
        await swarm.until(refuses)
        await asyncio.sleep(5.0)
        writes = sum(
            count
            for (_, call, topic), count in swarm.store.calls.items()
            if call == "put" and topic == "quarantine"
        )
        assertions.assert_that(writes, matchers.Equals(1))

    relay_swarm.play(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_hosts_tell_one_another_while_the_store_is_away(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.calm_swarm(hosts)
        swarm.store.fault[""] = "reset"
        swarm.store.wake()
        await asyncio.sleep(5.0)
        end_at_last_hosts(swarm)
        took = await swarm.until(refuses)
        assertions.assert_that(took, matchers.LessThan(HEARD_WITHIN))

    relay_swarm.play(monkeypatch, scenario())
