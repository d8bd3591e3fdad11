"""Runs the demo scenario of each deployment and checks the results."""

from __future__ import annotations

import asyncio
import time
from typing import Any, TYPE_CHECKING

import aiohttp
import attrs

from hoistmoor.clients import log
from hoistmoor.console.commands import bill
from hoistmoor.core import errors
from hoistmoor.load import arrivals
from hoistmoor.load import calls
from hoistmoor.load import report as report_lib
from hoistmoor.load import scenario

if TYPE_CHECKING:
    from hoistmoor.load import caller as caller_lib
    from hoistmoor.load import deployments

_START_TIMEOUT = 40.0
_BILL_TIMEOUT = 10.0
_LOAD_RATE = 24.0  # Requests per second to each deployment.
_LOAD_COUNT = 144
_POLL_INTERVAL = 0.1
_STATUS_OK = 200
_READ_METHODS = ("GET", "HEAD")


class DemoError(errors.HoistmoorError):
    """The demo cannot continue."""


@attrs.frozen
class StepResult:
    """The result of a scenario step.

    Attributes:
        step: The step.
        results: Results of the requests, one for each time it was sent.
        explanation: Explanation of the first request by another entry; empty
            if that entry has none.
    """

    step: scenario.Step
    results: tuple[calls.RequestResult, ...]
    explanation: str = ""

    @property
    def as_expected(self) -> bool:
        """Whether all results were the expected ones."""
        if self.step.reason:
            return all(row.reason == self.step.reason for row in self.results)
        return all(row.served for row in self.results)


async def wait_until_up(
    session: aiohttp.ClientSession, urls: list[str]
) -> None:
    """Waits until each URL returns status 200.

    Raises:
        DemoError: A URL did not do so before the timeout.
    """
    deadline = time.monotonic() + _START_TIMEOUT
    for url in urls:
        while not await _is_up(session, url):
            if time.monotonic() > deadline:
                raise DemoError(
                    f"{url} did not return 200 within {_START_TIMEOUT:g} s",
                    "Check the output of its process above.",
                )
            await asyncio.sleep(_POLL_INTERVAL)


async def _is_up(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == _STATUS_OK
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def run_steps(
    deployment: deployments.Deployment,
    caller: caller_lib.HttpCaller,
) -> list[StepResult]:
    """Runs the steps of a deployment's scenario in sequence."""
    results = []
    for step in scenario.STEPS[deployment.name]:
        results.append(await _run_step(deployment, caller, step))
    return results


async def _run_step(
    deployment: deployments.Deployment,
    caller: caller_lib.HttpCaller,
    step: scenario.Step,
) -> StepResult:
    entries = deployment.entry_urls
    first = entries[step.entry % len(entries)]
    key = await caller.make_key(0, first, step.call)
    results = []
    for repeat in range(step.repeats):
        entry = entries[(step.entry + repeat) % len(entries)]
        results.append(
            await caller.send_with_key(repeat, entry, step.call, key)
        )
    other = entries[(step.entry + 1) % len(entries)]
    explanation = await _explain(caller.session, other, results[0].request_id)
    return StepResult(step, tuple(results), explanation)


async def _explain(
    session: aiohttp.ClientSession, entry: str, request_id: str
) -> str:
    """Returns the explanation of a request by ``entry``, or an empty string."""
    if not request_id:
        return ""
    async with session.get(f"{entry}/explain/{request_id}") as response:
        if response.status != _STATUS_OK:
            return ""
        body: dict[str, Any] = await response.json()
    if body.get("reason"):
        return f"refused, {body['reason']}"
    where = f"{body.get('version')} at {body.get('server')}"
    choice = body.get("choice") or {}
    return f"{where}: {choice.get('reason', '')}"


def served_request_ids(results: list[StepResult]) -> set[str]:
    """Returns the ids of served requests.

    A replayed response has the id of the request that it was stored for.
    """
    return {
        request.request_id
        for result in results
        for request in result.results
        if request.served
    }


async def send_mixed_load(
    deployment: deployments.Deployment, caller: caller_lib.HttpCaller
) -> report_lib.Report:
    """Sends a random mix of the scenario's calls for a few seconds."""
    report = report_lib.Report()
    mix = [
        step.call for step in scenario.STEPS[deployment.name] if not step.reason
    ]
    plan = arrivals.LoadPlan(
        deployment.entry_urls, mix, _LOAD_RATE, _LOAD_COUNT
    )
    await arrivals.run(plan, caller, report.add)
    return report


async def wait_until_billed(
    session: aiohttp.ClientSession,
    deployment: deployments.Deployment,
    expected: int,
) -> int:
    """Waits for the expected bills and returns the number found on the log.

    Bills that a peer holds reach the log with a delay, so the first read may
    miss some. The wait also ends when there are more bills than expected.
    """
    deadline = time.monotonic() + _BILL_TIMEOUT
    while True:
        billed = await _count_billed(session, deployment)
        if billed >= expected or time.monotonic() > deadline:
            return billed
        await asyncio.sleep(_POLL_INTERVAL)


async def _count_billed(
    session: aiohttp.ClientSession, deployment: deployments.Deployment
) -> int:
    client = log.LogClient(session, deployment.platform_url)
    statement = await bill.read_statement(client)
    return sum(
        line.count
        for items in statement.lines.values()
        for line in items.values()
    )


async def count_side_effects(
    session: aiohttp.ClientSession, deployment: deployments.Deployment
) -> int:
    """Returns the number of calls with side effects that plain services ran."""
    count = 0
    for server in deployment.at_most_once_servers:
        async with session.get(f"{server}/_executions") as response:
            body = await response.json()
        count += sum(
            row["method"] not in _READ_METHODS for row in body["executions"]
        )
    return count


def expected_side_effects(deployment: deployments.Deployment) -> int:
    """Returns the number of the scenario's calls that have side effects."""
    return sum(
        step.call.path.startswith("/v1/services/")
        and step.call.method not in _READ_METHODS
        for step in scenario.STEPS[deployment.name]
    )
