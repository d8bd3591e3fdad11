"""Graceful stops, and backend servers that leave."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import system_processes
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import system_deployment


async def _no_violations(deployment: system_deployment.Deployment) -> None:
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))


@pytest.mark.parametrize("log_is_down", [False, True])
async def test_a_host_stops_with_requests_in_flight(
    deployment: system_deployment.Deployment, log_is_down: bool
) -> None:
    hosts = await deployment.start(hosts=3)
    caller = deployment.caller
    for host in hosts:
        await caller.confirm(host, caller.mark())
    for engine in ("engine-1", "engine-2"):
        await deployment.processes.inject_fault(
            engine, "delay", match="/v1/chat", seconds=0.5
        )
    running = [
        asyncio.create_task(caller.chat(hosts[0], caller.mark()))
        for _ in range(12)
    ]
    await system_processes.wait_until(
        lambda: _in_flight(deployment, hosts[0], 12), "12 in flight"
    )
    if log_is_down:
        await deployment.processes.inject_fault(
            "platform", "outage", match="/streams"
        )
    await deployment.stop(hosts[0])
    told = await asyncio.gather(*running)
    late = await caller.chat(hosts[0], caller.mark())
    code = await hosts[0].exit_code()
    assertions.assert_that(
        [word.reason for word in told], matchers.Equals([""] * 12)
    )
    assertions.assert_that(code, matchers.Equals(0))
    assertions.assert_that(late.reason, matchers.Equals("stopping"))
    await deployment.processes.clear_faults("platform")
    await _no_violations(deployment)


async def test_a_stop_cuts_no_request_on_a_kept_connection(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=2)
    caller = deployment.caller

    async def ask_until_gone() -> None:
        told = await caller.confirm(hosts[0], caller.mark())
        while told is not None:
            told = await caller.confirm(hosts[0], caller.mark())

    asking = [asyncio.create_task(ask_until_gone()) for _ in range(16)]
    while len(caller.events) < 200:
        await asyncio.sleep(0.01)
    await deployment.stop(hosts[0])
    await asyncio.gather(*asking)
    await hosts[0].exit_code()
    await _no_violations(deployment)


async def _in_flight(
    deployment: system_deployment.Deployment,
    host: system_processes.Program,
    count: int,
) -> bool:
    status = await deployment.status(host)
    return bool(status["in_flight"] >= count)


@pytest.mark.parametrize("by_list", [False, True])
async def test_a_leaving_backend_server_gets_no_new_work(
    deployment: system_deployment.Deployment, by_list: bool
) -> None:
    hosts = await deployment.start(hosts=3)
    caller = deployment.caller
    counter = deployment.program("counter-1")
    if by_list:
        await _list_leaving(deployment, counter)
    else:
        await deployment.processes.inject_fault("counter-1", "leaving")
    await system_processes.wait_until(
        lambda: _all_know(deployment, hosts, counter.address),
        "all hosts know that it leaves",
    )
    before = await _executions(deployment, counter)
    for turn in range(30):
        await caller.confirm(hosts[turn % 3], caller.mark())
    after = await _executions(deployment, counter)
    assertions.assert_that(after, matchers.Equals(before))
    await _no_violations(deployment)


async def _list_leaving(
    deployment: system_deployment.Deployment,
    program: system_processes.Program,
) -> None:
    url = f"{deployment.program('platform').url}/hosts/{program.name}"
    row = {
        "address": program.address,
        "failure_domain": "bangna",
        "role": "backend",
        "state": "leaving",
        "incarnation": 2**53,
    }
    async with deployment.processes.session.put(url, json=row) as answer:
        assert answer.status == 200


async def _all_know(
    deployment: system_deployment.Deployment,
    hosts: list[system_processes.Program],
    address: str,
) -> bool:
    statuses = [await deployment.status(host) for host in hosts]
    return all(address in status["leaving_servers"] for status in statuses)


async def _executions(
    deployment: system_deployment.Deployment,
    program: system_processes.Program,
) -> int:
    page = await deployment.processes.get(f"{program.url}/_executions")
    return len(page["executions"])
