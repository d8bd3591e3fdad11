"""Executions, effects and faults of the service stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import pathlib
from typing import Any

import aiohttp
import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.standins import faults

_DOCUMENTATION = (
    pathlib.Path(__file__).parents[2] / "docs/platform-interface.md"
)

StartStandin = Callable[..., Any]
TOP_UP = {"id": "agent-1", "amount": 5}


async def test_each_execution_is_recorded_and_takes_effect(
    start_service: StartStandin,
) -> None:
    standin = await start_service()
    for attempt in ("a.1.1.1", "a.1.1.2"):
        status, _ = await standin.request(
            "POST",
            "/confirm",
            TOP_UP,
            X_Attempt_Id=attempt,
            Idempotency_Key="key-1",
        )
        assertions.assert_that(status, matchers.Equals(200))
    _, balance = await standin.request("GET", "/balance/agent-1")
    assertions.assert_that(balance["balance"], matchers.Equals(10))
    rows = await standin.executions()
    assertions.assert_that(
        [(row["attempt_id"], row["idempotency_key"]) for row in rows],
        matchers.Equals([("a.1.1.1", "key-1"), ("a.1.1.2", "key-1"), ("", "")]),
    )


@pytest.mark.parametrize(
    ("fault", "execution_count"),
    [
        (faults.ApplyButLoseReply(), 1),
        (faults.CutAfterBytes(bytes=4), 1),
        (faults.CutBeforeAnswer(), 0),
    ],
)
async def test_cut_responses(
    start_service: StartStandin, fault: faults.Fault, execution_count: int
) -> None:
    standin = await start_service()
    standin.fault_registry.add(fault)
    with pytest.raises(aiohttp.ClientError):
        await standin.request("POST", "/confirm", TOP_UP)
    standin.fault_registry.clear()
    assertions.assert_that(
        await standin.executions(), matchers.HasLength(execution_count)
    )


@pytest.mark.parametrize(
    ("fault", "reason"),
    [(faults.Decline(), "declined"), (faults.Leaving(), "leaving")],
)
async def test_declined_calls_are_not_executed(
    start_service: StartStandin, fault: faults.Fault, reason: str
) -> None:
    standin = await start_service()
    standin.fault_registry.add(fault)
    async with standin.session.post(
        f"{standin.url}/confirm", json=TOP_UP, headers={"X-Attempt-Id": "a"}
    ) as response:
        headers = (
            response.headers["X-Not-Run"],
            response.headers["X-Not-Run-Reason"],
            response.headers["X-Attempt-Id"],
        )
    assertions.assert_that(headers, matchers.Equals(("1", reason, "a")))
    assertions.assert_that(await standin.executions(), matchers.HasLength(0))


async def test_full_service_declines(start_service: StartStandin) -> None:
    standin = await start_service(capacity=1, queue_limit=0, service_time=30.0)
    running = asyncio.create_task(standin.request("POST", "/confirm", TOP_UP))
    await standin.wait_for_executions(1)
    status, response = await standin.request("POST", "/confirm", TOP_UP)
    assertions.assert_that(
        (status, response["error"]["message"]), matchers.Equals((503, "full"))
    )
    running.cancel()


async def test_faults_apply_after_a_number_of_requests(
    start_service: StartStandin,
) -> None:
    standin = await start_service()
    _, added = await standin.request(
        "POST",
        "/_faults",
        {"kind": "outage", "match": "/confirm", "after": 1, "count": 2},
    )
    statuses = []
    for _ in range(5):
        status, _ = await standin.request("POST", "/confirm", TOP_UP)
        statuses.append(status)
        await standin.request("GET", "/balance/agent-1")
    assertions.assert_that(statuses, matchers.Equals([200, 503, 503, 200, 200]))
    _, listing = await standin.request("GET", "/_faults")
    (row,) = listing["faults"]
    assertions.assert_that(
        (row["id"], row["seen"], row["applied"]),
        matchers.Equals((added["id"], 5, 2)),
    )
    await standin.request("DELETE", f"/_faults/{added['id']}")
    _, listing = await standin.request("GET", "/_faults")
    assertions.assert_that(listing["faults"], matchers.HasLength(0))


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"kind": "no-such"},
        {"kind": "delay", "second": 1},
        {"kind": "delay", "seconds": "soon"},
    ],
)
async def test_invalid_faults_are_rejected(
    start_service: StartStandin, fields: dict[str, Any]
) -> None:
    standin = await start_service()
    status, response = await standin.request("POST", "/_faults", fields)
    assertions.assert_that(status, matchers.Equals(400))
    assertions.assert_that(response["error"], matchers.Contains(". "))


def test_documentation_lists_all_faults_and_their_fields() -> None:
    page = _DOCUMENTATION.read_text()
    rows = [line.split("|") for line in page.splitlines()]
    documented = {row[1].strip(" `"): row[2] for row in rows if len(row) == 5}
    common = {field.name for field in attrs.fields(faults.Fault)}
    for kind, cls in faults.KINDS.items():
        fields = {field.name for field in attrs.fields(cls)} - common
        documented_fields = {
            name.strip(" `") for name in documented[kind].split(",")
        } - {""}
        assertions.assert_that(documented_fields, matchers.Equals(fields))


async def test_freeze_holds_calls_until_cleared(
    start_service: StartStandin,
) -> None:
    standin = await start_service()
    standin.fault_registry.add(faults.Freeze(match="/confirm"))
    frozen = asyncio.create_task(standin.request("POST", "/confirm", TOP_UP))
    while not standin.fault_registry.faults[1].applied:
        await asyncio.sleep(0)
    assertions.assert_that(await standin.executions(), matchers.HasLength(0))
    standin.fault_registry.clear()
    status, _ = await asyncio.wait_for(frozen, 10)
    assertions.assert_that(status, matchers.Equals(200))
