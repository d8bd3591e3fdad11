"""Tests that decisions can be explained, also after their host stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

import system_processes
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    from typing import Any

    import system_deployment


async def _explain(
    deployment: system_deployment.Deployment,
    host: system_processes.Program,
    request_id: str,
) -> Any:
    decision = await deployment.processes.get(
        f"{host.url}/explain/{request_id}"
    )
    return decision if decision and "error" not in decision else None


async def test_decisions_are_found_at_any_host_and_outlive_theirs(
    deployment: system_deployment.Deployment,
) -> None:
    hosts = await deployment.start(hosts=2)
    caller = deployment.caller
    served = await caller.chat(hosts[0], caller.make_mark(), "auto")
    refused = await caller.chat(hosts[0], caller.make_mark(), "no-such-model")
    for response in (served, refused):
        for host in hosts:
            found = await _explain(deployment, host, response.request_id)
            assertions.assert_that(
                found["request_id"], matchers.Equals(response.request_id)
            )
    await deployment.stop(hosts[0])
    await hosts[0].exit_code()
    found = await system_processes.wait_until(
        lambda: _explain(deployment, hosts[1], served.request_id),
        "the decision is found on the log",
    )
    assertions.assert_that(found["version"], matchers.Equals(served.version))
    assertions.assert_that(
        [step["event"] for step in found["steps"]],
        matchers.Contains("billed"),
    )
