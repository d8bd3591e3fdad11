"""Tests graceful stops and leaving backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import system_processes
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import system_deployment


async def _assert_no_violations(
    deployment: system_deployment.Deployment,
) -> None:
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))


@pytest.mark.parametrize("log_is_down", [False, True])
async def test_a_host_stops_with_requests_in_flight(
    deployment: system_deployment.Deployment, log_is_down: bool
) -> None:
    hosts = await deployment.start(hosts=3)
    caller = deployment.caller
    for host in hosts:
        await caller.confirm(host, caller.make_mark())
    for engine in ("engine-1", "engine-2"):
        await deployment.processes.inject_fault(
            engine, "delay", match="/v1/chat", seconds=0.5
        )
    running = [
        asyncio.create_task(caller.chat(hosts[0], caller.make_mark()))
        for _ in range(12)
    ]
    await system_processes.wait_until(
        lambda: _has_in_flight(deployment, hosts[0], 12), "12 in flight"
    )
    if log_is_down:
        await deployment.processes.inject_fault(
            "platform", "outage", match="/streams"
        )
    await deployment.stop(hosts[0])
    responses = await asyncio.gather(*running)
    late = await caller.chat(hosts[0], caller.make_mark())
    code = await hosts[0].exit_code()
    assertions.assert_that(
        [response.reason for response in responses], matchers.Equals([""] * 12)
    )
    assertions.assert_that(code, matchers.Equals(0))
    assertions.assert_that(late.reason, matchers.Equals("stopping"))
    await deployment.processes.clear_faults("platform")
    await _assert_no_violations(deployment)


async def test_a_stop_cuts_no_request_on_a_kept_connection(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=2)
    caller = deployment.caller

    async def send_until_disconnected() -> None:
        response = await caller.confirm(hosts[0], caller.make_mark())
        while response is not None:
            response = await caller.confirm(hosts[0], caller.make_mark())

    traffic = [
        asyncio.create_task(send_until_disconnected()) for _ in range(16)
    ]
    while len(caller.events) < 200:
        await asyncio.sleep(0.01)
    await deployment.stop(hosts[0])
    await asyncio.gather(*traffic)
    await hosts[0].exit_code()
    await _assert_no_violations(deployment)


async def _has_in_flight(
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
        await _list_as_leaving(deployment, counter)
    else:
        await deployment.processes.inject_fault("counter-1", "leaving")
    await system_processes.wait_until(
        lambda: _all_know(deployment, hosts, counter.address),
        "all hosts know of its departure",
    )
    before = await _count_executions(deployment, counter)
    for index in range(30):
        await caller.confirm(hosts[index % 3], caller.make_mark())
    after = await _count_executions(deployment, counter)
    assertions.assert_that(after, matchers.Equals(before))
    await _assert_no_violations(deployment)


async def _list_as_leaving(
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
    async with deployment.processes.session.put(url, json=row) as response:
        assert response.status == 200


async def _all_know(
    deployment: system_deployment.Deployment,
    hosts: list[system_processes.Program],
    address: str,
) -> bool:
    statuses = [await deployment.status(host) for host in hosts]
    return all(address in status["leaving_servers"] for status in statuses)


async def _count_executions(
    deployment: system_deployment.Deployment,
    program: system_processes.Program,
) -> int:
    page = await deployment.processes.get(f"{program.url}/_executions")
    return len(page["executions"])
