"""Steward processes: leases, failover and rollouts.

A suspended steward does not notice that its lease expires, so it may still
append records and send orders when it resumes. These must have no effect.
"""

from __future__ import annotations

from typing import Any

import pytest
import steward_rig
import system_processes

from hoistmoor.clients import engines
from hoistmoor.clients import ratings
from hoistmoor.core import codec
from hoistmoor.core import streams
from hoistmoor.core.steward import lease as lease_lib
from hoistmoor.core.steward import records
from hoistmoor.standins import quality_marks

NEW = steward_rig.NEW
OLD = steward_rig.OLD


async def start_pool(rig: steward_rig.Rig) -> list[str]:
    """Starts two engines and publishes a table with them."""
    addresses = [
        await rig.start_engine("honours-fencing"),
        await rig.start_engine("ignores-fencing", "--ignore-fencing"),
    ]
    await rig.publish(steward_rig.make_table(*addresses))
    return addresses


async def lease_of(rig: steward_rig.Rig) -> lease_lib.Lease:
    """Waits for a steward to hold the lease and returns it."""

    async def held() -> Any:
        lease = (await rig.fold()).state.lease
        return lease if lease and not lease.released else None

    lease: lease_lib.Lease = await system_processes.wait_until(held, "a lease")
    return lease


async def replicas_of(
    rig: steward_rig.Rig, addresses: list[str], version: str
) -> int:
    states = [await rig.engine(address) for address in addresses]
    return sum(version in state.loaded for state in states)


async def test_steward_resumed_after_its_lease_expired_changes_nothing(
    rig: steward_rig.Rig,
) -> None:
    addresses = await start_pool(rig)
    for host in ("a", "b"):
        await rig.start_steward(host)
    first = await lease_of(rig)
    frozen = first.holder.host

    async def started() -> bool:
        return await replicas_of(rig, addresses, NEW) == 1

    await system_processes.wait_until(started, "a replica of the candidate")
    rig.processes.programs[frozen].freeze()

    async def superseded() -> bool:
        return await rig.holder() not in ("", frozen)

    await system_processes.wait_until(superseded, "another steward")
    second = await lease_of(rig)

    # Records and orders that the frozen steward could have in flight.
    late = records.RolloutStep(NEW, 1, 0.05, first.fencing)
    await rig.log.append(streams.STEWARD, codec.encode(late))
    await send_late_orders(rig, addresses, first.fencing, second.fencing)
    rig.processes.programs[frozen].thaw()

    async def corrected() -> bool:
        old = await replicas_of(rig, addresses, OLD)
        return (old, await replicas_of(rig, addresses, NEW)) == (2, 1)

    await system_processes.wait_until(corrected, "the desired state")
    fold = await rig.fold()
    assert fold.state.rollouts[NEW].stage_index == 0
    assert await rig.holder() == second.holder.host


async def send_late_orders(
    rig: steward_rig.Rig, addresses: list[str], old: int, new: int
) -> None:
    """Sends each engine an order with the superseded fencing token."""
    client = engines.EngineClient(rig.session)
    no_versions = engines.Order(old, ())
    checks_fencing, ignores_fencing = addresses
    current = await rig.engine(checks_fencing)
    await client.send_order(checks_fencing, engines.Order(new, current.wanted))
    with pytest.raises(engines.StaleOrderError):
        await client.send_order(checks_fencing, no_versions)
    await client.send_order(ignores_fencing, no_versions)
    assert (await rig.engine(ignores_fencing)).wanted == ()


async def test_stopped_steward_releases_its_lease(
    rig: steward_rig.Rig,
) -> None:
    stopped = await rig.start_steward("a")
    first = await lease_of(rig)
    await rig.start_steward("b")
    stopped.request_stop()
    assert await stopped.exit_code() == 0
    assert rig.processes.log_of("a").read_text() == ""
    assert (await rig.fold()).state.lease.released

    async def taken_over() -> bool:
        return await rig.holder() == "b"

    await system_processes.wait_until(taken_over, "the other steward")
    assert (await lease_of(rig)).fencing > first.fencing


async def test_steward_stops_though_the_log_is_frozen(
    rig: steward_rig.Rig,
) -> None:
    stopped = await rig.start_steward("a")
    await lease_of(rig)
    rig.processes.programs[steward_rig.PLATFORM].freeze()
    stopped.request_stop()
    assert await stopped.exit_code() == 0


async def test_rollout_advances_with_ratings_across_two_stewards(
    rig: steward_rig.Rig,
) -> None:
    await start_pool(rig)
    first = await rig.start_steward("a")
    client = ratings.RatingsClient(rig.session, rig.url)
    good = [
        ratings.ModelResponse(
            f"r{n}", "m", "2", "k", quality_marks.make_mark(True, f"{n}")
        )
        for n in range(40)
    ]

    async def stage(wanted: int) -> bool:
        rollout = (await rig.fold()).state.rollouts.get(NEW)
        return rollout is not None and rollout.stage_index >= wanted

    await system_processes.wait_until(lambda: stage(0), "the first stage")
    await client.submit_all(good[:20])
    await system_processes.wait_until(lambda: stage(1), "the second stage")
    await first.kill()
    await rig.start_steward("b")
    await client.submit_all(good[20:])
    await system_processes.wait_until(lambda: stage(2), "the third stage")

    async def counted() -> bool:
        count = (await rig.fold()).state.counts[NEW]
        return count.rated >= 40

    await system_processes.wait_until(counted, "all ratings")
    fold = await rig.fold()
    assert fold.state.counts[NEW] == records.RatedCount(40, 0)
    assert await rig.holder() == "b"
