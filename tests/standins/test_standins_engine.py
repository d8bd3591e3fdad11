"""Responses, slots, quality, cancellation and faults of the engine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.core.requests import parsing
from hoistmoor.standins import batch
from hoistmoor.standins import faults
from hoistmoor.standins import prompts
from hoistmoor.standins import quality_marks

StartStandin = Callable[..., Any]


def text_of(completion: Any) -> str:
    return str(completion["choices"][0]["message"]["content"])


async def test_streamed_and_whole_responses_agree(
    start_engine: StartStandin,
) -> None:
    standin = await start_engine()
    _, whole = await standin.chat()
    opened, frames = await standin.stream()
    chunks = [orjson.loads(frame[6:]) for frame in frames[:-1]]
    streamed = "".join(
        chunk["choices"][0]["delta"].get("content", "") for chunk in chunks
    )
    assertions.assert_that(streamed, matchers.Equals(text_of(whole)))
    assertions.assert_that(
        {chunk["attempt_id"] for chunk in chunks}, matchers.Equals({"h.1.1.1"})
    )
    assertions.assert_that(
        (chunks[-1]["usage"], chunks[-1]["confidence"]),
        matchers.Equals((whole["usage"], whole["confidence"])),
    )
    assertions.assert_that(
        opened.state, matchers.Is(outcomes.ExchangeState.ANSWERED)
    )


async def test_responses_have_the_quality_of_their_version(
    start_engine: StartStandin,
) -> None:
    standin = await start_engine(
        quality={"fast@1": 0.6, "dear@1": 0.9},
        loaded=frozenset({"fast@1", "dear@1"}),
    )
    good: dict[str, set[int]] = {"fast@1": set(), "dear@1": set()}
    for number in range(100):
        for version, good_prompts in good.items():
            _, response = await standin.chat(
                f"question {number}", model=version
            )
            if quality_marks.read_quality(text_of(response)):
                good_prompts.add(number)
    # A better version responds well to every prompt that a worse one does.
    assertions.assert_that(good["fast@1"] < good["dear@1"], matchers.Is(True))
    assertions.assert_that(
        50 < len(good["fast@1"]) < 70 < len(good["dear@1"]) < 100,
        matchers.Is(True),
    )


async def test_version_degrades_from_its_nth_response(
    start_engine: StartStandin,
) -> None:
    standin = await start_engine()
    status, _ = await standin.request(
        "POST",
        "/_faults",
        {
            "kind": "bad_version",
            "version": "fast@1",
            "after": 2,
            "contains": "skip",
        },
    )
    assertions.assert_that(status, matchers.Equals(200))
    qualities = []
    for text in ("skip", "skip", "other", "skip", "other", "skip"):
        _, response = await standin.chat(text)
        qualities.append(quality_marks.read_quality(text_of(response)))
    assertions.assert_that(
        qualities, matchers.Equals([True, True, True, False, True, False])
    )


@pytest.mark.parametrize(
    ("fault", "state"),
    [
        (faults.CutBeforeAnswer(), outcomes.ExchangeState.SENT),
        (faults.CutAfterBytes(bytes=0), outcomes.ExchangeState.ANSWERING),
        (faults.CutAfterBytes(bytes=300), outcomes.ExchangeState.ANSWERING),
        (faults.CrossedHead(), outcomes.ExchangeState.SENT),
        (faults.CrossedFrames(frame=2), outcomes.ExchangeState.ANSWERED),
        (faults.Decline(), outcomes.ExchangeState.DECLINED),
        (faults.Leaving(), outcomes.ExchangeState.DECLINED),
    ],
)
async def test_stream_faults(
    start_engine: StartStandin,
    fault: faults.Fault,
    state: outcomes.ExchangeState,
) -> None:
    standin = await start_engine(token_time=0.002)
    standin.fault_registry.add(fault)
    opened, frames = await standin.stream()
    assertions.assert_that(opened.state, matchers.Is(state))
    assertions.assert_that(
        b"".join(frames), matchers.Not(matchers.Contains(b"CROSSED"))
    )
    executions = await standin.executions()
    expected = 0 if state is outcomes.ExchangeState.DECLINED else 1
    if isinstance(fault, faults.CutBeforeAnswer):
        expected = 0
    assertions.assert_that(executions, matchers.HasLength(expected))


async def test_unsolicited_response_is_discarded(
    start_engine: StartStandin,
) -> None:
    standin = await start_engine()
    standin.fault_registry.add(faults.LateAnswer())
    for number in range(5):
        opened, _ = await standin.stream(f"h.1.1.{number}")
        assertions.assert_that(
            opened.state, matchers.Is(outcomes.ExchangeState.ANSWERED)
        )


async def test_full_engine_and_unknown_version_decline(
    start_engine: StartStandin,
) -> None:
    standin = await start_engine(capacity=1, queue_limit=1, token_time=30.0)
    tasks = [
        asyncio.create_task(standin.chat(attempt=f"h.1.1.{number}"))
        for number in (1, 2)
    ]
    await standin.wait_for_executions(2)
    status, response = await standin.chat(attempt="h.1.1.3")
    assertions.assert_that(status, matchers.Equals(503))
    assertions.assert_that(
        response["error"]["message"], matchers.Equals("full")
    )
    _, response = await standin.chat(model="none@1")
    assertions.assert_that(
        response["error"]["message"], matchers.Equals("not_loaded")
    )
    for task in tasks:
        task.cancel()


async def test_cancelled_stream_has_no_end_mark(
    start_engine: StartStandin,
) -> None:
    standin = await start_engine(token_time=30.0)
    running = asyncio.create_task(standin.stream())
    await standin.wait_for_executions(1)
    status, _ = await standin.request("DELETE", "/v1/attempts/h.1.1.1")
    opened, _ = await asyncio.wait_for(running, 10)
    assertions.assert_that(status, matchers.Equals(200))
    assertions.assert_that(
        opened.state, matchers.Is(outcomes.ExchangeState.ANSWERING)
    )
    status, _ = await standin.request("DELETE", "/v1/attempts/h.1.1.1")
    assertions.assert_that(status, matchers.Equals(404))


async def test_disconnected_caller_frees_the_slot(
    start_engine: StartStandin,
) -> None:
    standin = await start_engine(
        capacity=1, token_time=0.001, answer_tokens=100
    )
    with pytest.raises(aiohttp.ClientError):
        async with standin.session.post(
            f"{standin.url}/v1/chat/completions",
            json=standin.chat_body(stream=True, max_tokens=10_000_000),
        ) as response:
            await response.content.readany()
            response.close()
            raise aiohttp.ClientError
    async with asyncio.timeout(10):
        status, _ = await standin.chat()
    assertions.assert_that(status, matchers.Equals(200))


def test_queue_is_ordered_by_priority() -> None:
    engine_batch = batch.Batch(1, 10, 0.0)
    sequences = [
        batch.Sequence(name, 1, batch.PRIORITIES[name], 0.0)
        for name in ("normal", "deferrable", "normal", "urgent")
    ]
    for sequence in sequences:
        engine_batch.add(sequence)
    order = []
    while engine_batch.running:
        order.append(engine_batch.running[0].attempt_id)
        engine_batch._step(float("inf"))
    assertions.assert_that(
        order, matchers.Equals(["normal", "urgent", "normal", "deferrable"])
    )


async def test_lagging_load_report(start_engine: StartStandin) -> None:
    standin = await start_engine()
    await standin.request("GET", "/load")
    standin.fault_registry.add(faults.Leaving())
    standin.fault_registry.add(faults.Lag(match="/load", seconds=60.0))
    _, report = await standin.request("GET", "/load")
    assertions.assert_that(report["state"], matchers.Equals("live"))


def test_block_hashes_match_those_of_the_router() -> None:
    messages = [{"role": "user", "content": "สวัสดี" * 200}]
    prompt = prompts.parse_prompt(messages)
    assertions.assert_that(len(prompt.blocks), matchers.GreaterThan(1))
    assertions.assert_that(
        parsing._prefix_hashes(orjson.dumps(messages)),
        matchers.Equals(prompt.blocks),
    )
