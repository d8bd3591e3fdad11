"""Simulations of a request that crashes servers, seen by many hosts.

Guards against one request crashing servers one after another. Each host sees
only one or two of the crashes, so hosts have to exchange them; once three
servers have crashed, every host has to refuse the request within three seconds.
In a simulated day that failed, the host that had seen the first three crashes
still sent the request on 12 seconds after the third.
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

# Sizes of the existing deployments, and the largest size planned for.
SIZES = (7, 84, 360)
DEADLINE = 3.0  # Seconds after the last crash until all hosts know of it.
FAULTY = "bad"
CONCURRENT = "beside"
CONCURRENT_REQUESTS = 12  # Other requests that a server runs when it crashes.


def crash_server(
    member: relay_swarm.Member,
    server: str,
    requests: list[tuple[str, runs.Stage]],
) -> None:
    """Lets a host detect that a server has crashed while running requests."""
    assert member.relay is not None
    state = member.relay.state
    now = state.clock()
    state.router.fleet.put(relay_parts.make_entry(server))
    crashed = state.router.fleet.servers[server]
    for fingerprint, stage in requests:
        begun_at = None if stage is runs.Stage.WAITING else now - 0.1
        crashed.runs.add(runs.Run(fingerprint, stage, begun_at))
    state.record_server_end(crashed)


def crash_servers_of_last_hosts(swarm: relay_swarm.Swarm) -> None:
    """Crashes one server each at as many hosts as a quarantine requires."""
    for number in range(suspect_state.STARTS_TO_QUARANTINE):
        member = swarm.members[-1 - number]
        crash_server(member, f"x{number}", [(FAULTY, runs.Stage.BEGUN)])


def refuses(member: relay_swarm.Member, fingerprint: str = FAULTY) -> bool:
    assert member.relay is not None
    state = member.relay.state
    return state.router.suspects.is_quarantined(fingerprint, state.clock())


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("stage", [runs.Stage.BEGUN, runs.Stage.WAITING])
def test_all_hosts_refuse_request_after_crashes(
    monkeypatch: pytest.MonkeyPatch, hosts: int, stage: runs.Stage
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.start_swarm(hosts)
        generator = random.Random(hosts)
        ends = suspects.ENDS_TO_QUARANTINE
        if stage is runs.Stage.BEGUN:
            ends = suspect_state.STARTS_TO_QUARANTINE
        # No host sees two crashes of the request; concurrent requests of other
        # hosts are involved in each crash.
        for number, member in enumerate(generator.sample(swarm.members, ends)):
            crash_server(member, f"x{number}", [(FAULTY, stage)])
            other = generator.choice(swarm.members)
            concurrent = [
                (f"{CONCURRENT}{number}.{each}", runs.Stage.GIVING)
                for each in range(CONCURRENT_REQUESTS)
            ]
            crash_server(other, f"x{number}", concurrent)
            await asyncio.sleep(0.05)
        took = await swarm.until(refuses)
        assertions.assert_that(took, matchers.LessThan(DEADLINE))
        refused = [refuses(each, f"{CONCURRENT}0.0") for each in swarm.members]
        assertions.assert_that(any(refused), matchers.Is(False))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_quarantine_survives_restart_of_all_hosts(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.start_swarm(hosts)
        crash_servers_of_last_hosts(swarm)
        await swarm.until(refuses)
        await asyncio.sleep(1.0)
        for member in swarm.members:
            member.stop()
        for member in swarm.members:
            member.start()
        took = await swarm.until(refuses)
        assertions.assert_that(took, matchers.LessThan(DEADLINE))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_one_host_writes_quarantine_for_all(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.start_swarm(hosts)
        crash_servers_of_last_hosts(swarm)
        await swarm.until(refuses)
        await asyncio.sleep(5.0)
        writes = sum(
            count
            for (_, call, topic), count in swarm.store.calls.items()
            if call == "put" and topic == "quarantine"
        )
        assertions.assert_that(writes, matchers.Equals(1))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())


@pytest.mark.parametrize("hosts", SIZES)
def test_hosts_exchange_suspects_during_outage(
    monkeypatch: pytest.MonkeyPatch, hosts: int
) -> None:
    async def scenario() -> None:
        swarm = await relay_swarm.start_swarm(hosts)
        swarm.store.fault[""] = "reset"
        swarm.store.wake_long_polls()
        await asyncio.sleep(5.0)
        crash_servers_of_last_hosts(swarm)
        took = await swarm.until(refuses)
        assertions.assert_that(took, matchers.LessThan(DEADLINE))

    relay_swarm.run_in_virtual_time(monkeypatch, scenario())
