"""Tests that requests are billed once despite outages and crashes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import system_deployment

BILLS = "/streams/bills"


async def _assert_no_violations(
    deployment: system_deployment.Deployment,
) -> None:
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))


async def _send_requests(
    deployment: system_deployment.Deployment, hosts: list, count: int
) -> list:
    caller = deployment.caller
    calls = []
    for index in range(count):
        host = hosts[index % len(hosts)]
        calls.append(caller.confirm(host, caller.make_mark()))
        calls.append(caller.chat(host, caller.make_mark(), "auto"))
    return await asyncio.gather(*calls)


@pytest.mark.parametrize(
    ("kind", "fields"),
    [
        ("apply_but_lose_reply", {"count": 4}),
        ("apply_but_lose_reply", {"count": 2, "hang": True}),
        ("outage", {"count": 8}),
        ("delay", {"seconds": 0.5, "count": 6}),
    ],
)
async def test_the_bills_stream_fails(
    deployment: system_deployment.Deployment, kind: str, fields: dict
) -> None:
    hosts = await deployment.start(hosts=2)
    await deployment.processes.inject_fault(
        "platform", kind, match=BILLS, method="POST", **fields
    )
    await _send_requests(deployment, hosts, 12)
    await _assert_no_violations(deployment)


async def test_a_host_dies_after_its_answers(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=3)
    await _send_requests(deployment, hosts, 9)
    await deployment.processes.inject_fault(
        "platform", "outage", match=BILLS, method="POST"
    )
    responses = await _send_requests(deployment, hosts[:1], 6)
    assertions.assert_that(
        [response.reason for response in responses], matchers.Equals([""] * 12)
    )
    # The bills that peers hold must survive the host and the outage.
    await deployment.kill(hosts[0])
    await deployment.processes.clear_faults("platform")
    await _assert_no_violations(deployment)


async def test_a_host_alone_without_the_log_takes_no_billed_work(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=1)
    await _send_requests(deployment, hosts, 2)
    await deployment.processes.inject_fault("platform", "outage", match=BILLS)
    responses = []
    for _ in range(30):
        responses += await _send_requests(deployment, hosts, 1)
        if responses[-1].reason == "bill_unsecured":
            break
    assertions.assert_that(
        responses[-1].reason, matchers.Equals("bill_unsecured")
    )
    await deployment.processes.clear_faults("platform")
    await _assert_no_violations(deployment)
