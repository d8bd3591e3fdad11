"""Tests that an entry host counts refusals and retries by their reasons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import system_table
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import system_deployment
    import system_processes
    import system_statsd


async def _start_entry(
    deployment: system_deployment.Deployment,
    statsd: system_statsd.StatsdListener,
) -> system_processes.Program:
    platform = deployment.program("platform")
    host = await deployment.processes.start(
        "counted", "hoistmoor-entry", "--host", "counted",
        "--failure-domain", system_table.DOMAINS[0],
        "--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
        "--log-url", platform.url, "--statsd", statsd.address,
    )  # fmt: skip
    await deployment.list_host(host, system_table.DOMAINS[0])
    await deployment.await_ready(host)
    return host


async def test_refusals_and_retries_are_counted_by_reason(
    deployment: system_deployment.Deployment,
    statsd: system_statsd.StatsdListener,
) -> None:
    await deployment.start(hosts=1, engines=1, counters=2)
    host = await _start_entry(deployment, statsd)
    caller = deployment.caller
    refused = await caller.confirm(host, caller.make_mark(), account="nobody")
    assert refused is not None
    assertions.assert_that(refused.reason, matchers.Equals("wrong_key"))
    await statsd.await_line("hoistmoor.refusal.wrong_key:1|c")
    for counter in ("counter-1", "counter-2"):
        await deployment.processes.inject_fault(
            counter, "decline", match="/confirm", count=1
        )
    served = await caller.confirm(host, caller.make_mark())
    assert served is not None
    await statsd.await_line("hoistmoor.retry.backend_declined:1|c")
    assertions.assert_that(
        [line for line in statsd.lines if "nobody" in line],
        matchers.Equals([]),
    )
