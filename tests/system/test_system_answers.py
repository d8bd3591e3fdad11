"""Tests that callers get complete responses of their own requests.

Backend servers send late, interchanged and truncated responses.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from testtools import assertions
from testtools import matchers

if TYPE_CHECKING:
    import system_deployment

CHAT = "/v1/chat"
DONE = ""
CUT = "backend_cut"


@pytest.mark.parametrize(
    ("kind", "fields", "reasons"),
    [
        ("crossed_frames", {"frame": 2}, {DONE}),
        ("crossed_head", {"count": 6}, {DONE, CUT}),
        ("late_answer", {}, {DONE}),
        ("cut_after_bytes", {"bytes": 0, "count": 6}, {DONE, CUT}),
        ("cut_after_bytes", {"bytes": 900, "count": 12}, {DONE, CUT}),
        ("apply_but_lose_reply", {"count": 4}, {DONE, CUT}),
    ],
)
async def test_answers_late_crossed_or_cut(
    deployment: system_deployment.Deployment,
    kind: str,
    fields: dict,
    reasons: set[str],
) -> None:
    hosts = await deployment.start(hosts=2)
    caller = deployment.caller
    for engine in ("engine-1", "engine-2"):
        await deployment.processes.inject_fault(
            engine, kind, match=CHAT, **fields
        )
    responses = []
    for _ in range(4):
        responses += await asyncio.gather(
            *(caller.chat(host, caller.make_mark()) for host in hosts * 3)
        )
    seen = {response.reason for response in responses}
    assertions.assert_that(seen - reasons, matchers.Equals(set()))
    assertions.assert_that(await deployment.violations(), matchers.Equals(()))
