"""Tests grants, withdrawals and sessions during edits of the table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import system_table
from testtools import assertions
from testtools import matchers

from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Callable

    import system_deployment
    import system_processes

SESSIONS = tuple(f"session-{n}" for n in range(6))


async def _assert_no_violations(
    deployment: system_deployment.Deployment,
) -> None:
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))


def _with_version(table: model.Table, **changes: object) -> model.Table:
    row = attrs.evolve(table.versions[system_table.CHEAP_VERSION], **changes)
    return attrs.evolve(table, versions={**table.versions, row.key: row})


def _without_grant(table: model.Table) -> model.Table:
    expensive = model.Grant(system_table.ACCOUNT, "khao", "2", 0.8)
    return attrs.evolve(table, grants={expensive.key: expensive})


async def _send_traffic(
    deployment: system_deployment.Deployment,
    hosts: list[system_processes.Program],
    stop: asyncio.Event,
) -> None:
    caller = deployment.caller
    index = 0
    while not stop.is_set():
        index += 1
        host = hosts[index % len(hosts)]
        await asyncio.gather(
            caller.chat(host, caller.make_mark()),
            caller.chat(host, caller.make_mark(), "auto"),
            caller.chat(host, caller.make_mark(), session=SESSIONS[index % 6]),
        )


async def _edit_under_traffic(
    deployment: system_deployment.Deployment,
    edit: Callable[[model.Table], model.Table],
) -> None:
    hosts = await deployment.start(hosts=3)
    stop = asyncio.Event()
    traffic = asyncio.create_task(_send_traffic(deployment, hosts, stop))
    await _await_responses(deployment, 30)
    revision = await deployment.publish(edit(deployment.table))
    await deployment.await_revision(revision, *hosts)
    await _await_responses(deployment, len(deployment.caller.events) // 2 + 60)
    stop.set()
    await traffic


async def _await_responses(
    deployment: system_deployment.Deployment, count: int
) -> None:
    while len(deployment.caller.events) < 2 * count:
        await asyncio.sleep(0.01)


async def test_a_version_is_withdrawn_under_traffic(
    deployment: system_deployment.Deployment,
) -> None:
    await _edit_under_traffic(
        deployment,
        lambda table: _with_version(table, stage=model.Stage.WITHDRAWN),
    )
    await _assert_no_violations(deployment)


async def test_a_grant_is_taken_away_under_traffic(
    deployment: system_deployment.Deployment,
) -> None:
    await _edit_under_traffic(deployment, _without_grant)
    await _assert_no_violations(deployment)


async def test_sessions_stay_while_a_version_drains(
    deployment: system_deployment.Deployment,
) -> None:
    await _edit_under_traffic(
        deployment,
        lambda table: _with_version(table, stage=model.Stage.DRAINING),
    )
    await _assert_no_violations(deployment)


async def test_sessions_stay_when_weights_change_and_a_host_dies(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=3)
    caller = deployment.caller
    for session in SESSIONS:
        # Concurrent first requests of a session at two hosts.
        await asyncio.gather(
            caller.chat(hosts[0], caller.make_mark(), session=session),
            caller.chat(hosts[1], caller.make_mark(), session=session),
        )
    revision = await deployment.publish(
        _with_version(deployment.table, weight=50.0)
    )
    await deployment.await_revision(revision, *hosts)
    await deployment.kill(hosts[0])
    for session in SESSIONS:
        await caller.chat(hosts[2], caller.make_mark(), session=session)
        await caller.chat(hosts[1], caller.make_mark(), session=session)
    await _assert_no_violations(deployment)
