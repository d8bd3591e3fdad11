"""Tests requests of each kind without faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import system_deployment


async def test_requests_of_each_kind_keep_every_promise(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=3)
    caller = deployment.caller
    calls = []
    for index in range(30):
        host = hosts[index % len(hosts)]
        ticket = await caller.request_ticket(host)
        calls += [
            caller.chat(host, caller.make_mark()),
            caller.chat(host, caller.make_mark(), "auto"),
            caller.chat(host, caller.make_mark(), session=f"s{index % 5}"),
            caller.confirm(host, caller.make_mark()),
            caller.confirm(host, caller.make_mark(), f"own-{index}"),
            caller.confirm(host, caller.make_mark(), ticket),
        ]
    responses = await asyncio.gather(*calls)
    refused = [
        response.reason
        for response in responses
        if response is None or response.reason
    ]
    assertions.assert_that(refused, matchers.Equals([]))
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))
