"""``hoistmoor-load demo``: the last process of ``make demo``."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import TYPE_CHECKING

import attrs
import cappa
import uvloop

from hoistmoor.clients import sessions
from hoistmoor.console import application
from hoistmoor.load import caller as caller_lib
from hoistmoor.load import calls
from hoistmoor.load import demo
from hoistmoor.load import deployments

if TYPE_CHECKING:
    import aiohttp

    from hoistmoor.load import report as report_lib

_STATUS_LABELS = {True: "ok  ", False: "FAIL"}
_EXIT_FAILED = 1


@cappa.command(
    name="demo",
    help="Publishes the example tables and runs the demo.",
    description=" ",
)
@attrs.frozen
class Demo:
    """Publishes both example tables, sends requests and reports results."""

    def __call__(self) -> int:
        """Runs the demo; returns 0 if all results were as expected."""
        started = time.monotonic()
        uvloop.run(_wait_for_all())
        _print_line(
            f"Everything is up after {time.monotonic() - started:.1f} s."
        )
        for deployment in deployments.ALL:
            if _publish(deployment):
                return _EXIT_FAILED
        failed = uvloop.run(_run_scenarios())
        for deployment in deployments.ALL:
            failed += _run_hoistmoor(deployment, "status")
            failed += _run_hoistmoor(deployment, "bill")
        _print_line(f"Done after {time.monotonic() - started:.1f} s.")
        return _EXIT_FAILED if failed else 0


async def _wait_for_all() -> None:
    urls = []
    for deployment in deployments.ALL:
        urls += [f"{deployment.platform_url}/hosts"]
        urls += [f"{server}/load" for server in deployment.at_most_once_servers]
        urls += [f"{entry}/healthz" for entry in deployment.entry_urls]
    async with sessions.make_session() as session:
        await demo.wait_until_up(session, urls)


def _publish(deployment: deployments.Deployment) -> int:
    return _run_hoistmoor(
        deployment,
        *("table", "publish", str(deployment.sheet_directory)),
        *("--author", "demo", "--overwrite"),
    )


def _run_hoistmoor(deployment: deployments.Deployment, *arguments: str) -> int:
    """Runs a ``hoistmoor`` command and returns its exit code."""
    arguments = (*arguments, "--log-url", deployment.platform_url)
    _print_line(f"\n$ hoistmoor {' '.join(arguments)}")
    return application.main(list(arguments))


async def _run_scenarios() -> int:
    """Runs all scenarios and returns the number of failed checks."""
    async with sessions.make_session() as session:
        caller = caller_lib.HttpCaller(session)
        failed = 0
        served: dict[str, set[str]] = {}
        for deployment in deployments.ALL:
            urls = [f"{entry}/readyz" for entry in deployment.entry_urls]
            await demo.wait_until_up(session, urls)
            results = await demo.run_steps(deployment, caller)
            failed += _print_steps(deployment, results)
            failed += await _check_effects(deployment, session)
            served[deployment.name] = demo.served_request_ids(results)
        reports = await asyncio.gather(
            *(
                demo.send_mixed_load(deployment, caller)
                for deployment in deployments.ALL
            )
        )
        for deployment, report in zip(deployments.ALL, reports, strict=True):
            failed += _print_load(deployment, report)
            ids = served[deployment.name] | report.served_ids
            failed += await _check_bills(deployment, session, len(ids))
    return failed


def _print_steps(
    deployment: deployments.Deployment, results: list[demo.StepResult]
) -> int:
    """Prints the steps and returns the number with unexpected results."""
    _print_line(f"\n{deployment.name}")
    for result in results:
        _print_step(result)
    return sum(not result.as_expected for result in results)


def _print_load(
    deployment: deployments.Deployment, report: report_lib.Report
) -> int:
    """Prints the report and returns the number of unserved requests."""
    _print_line(f"\n{deployment.name}: mixed load")
    _print_line("\n".join(report.lines()))
    _print_line("\nversions chosen, and why")
    _print_line("\n".join(report.choice_lines()))
    return sum(kind.sent - kind.served for kind in report.kinds.values())


async def _check_effects(
    deployment: deployments.Deployment, session: aiohttp.ClientSession
) -> int:
    ran = await demo.count_side_effects(session, deployment)
    expected = demo.expected_side_effects(deployment)
    return _check("calls with an effect that ran", ran, expected)


async def _check_bills(
    deployment: deployments.Deployment,
    session: aiohttp.ClientSession,
    expected: int,
) -> int:
    billed = await demo.wait_until_billed(session, deployment, expected)
    return _check("requests billed, of those served", billed, expected)


def _check(what: str, found: int, expected: int) -> int:
    """Prints a check; returns 1 if the count differs, else 0."""
    _print_line(
        f"{_STATUS_LABELS[found == expected]} {what}: {found} of {expected}"
    )
    return int(found != expected)


def _print_step(result: demo.StepResult) -> None:
    _print_line(f"{_STATUS_LABELS[result.as_expected]} {result.step.title}")
    for request in result.results:
        _print_line(f"       {_describe(request)}")
    if result.explanation:
        _print_line(f"       another entry explains: {result.explanation}")


def _describe(result: calls.RequestResult) -> str:
    if result.served:
        what = f"-> {result.version or 'served'} in {result.latency_ms:.1f} ms"
        why = result.why
    else:
        what = f"-> {result.status} {result.reason}, {result.outcome}"
        why = f"{result.answer} (retry after {result.retry_after} s)"
    return f"{result.request_id or '-'} {what}: {why}"


def _print_line(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()
