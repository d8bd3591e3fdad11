"""Errors of a relay's background tasks."""

from __future__ import annotations

import asyncio
import os
from typing import Any, TYPE_CHECKING

import orjson
import pytest
import relay_platform
import relay_states
from testtools import assertions
from testtools import matchers

from hoistmoor.relay import background_tasks
from hoistmoor.relay.store import follower
from hoistmoor.relay.store import store_gate

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib

LINES = 65536  # Bytes that are read of the log; a pipe holds no more.


@pytest.fixture
def log() -> Iterator[tuple[int, int]]:
    """Both ends of the pipe to which log lines are written."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def state(log: tuple[int, int]) -> state_lib.RelayState:
    """State of a host that has not read any topic."""
    return relay_states.make_state(relay_states.Clock(), log[1])


def read_lines(log: tuple[int, int]) -> list[dict[str, Any]]:
    """Returns the log lines that were written."""
    lines = os.read(log[0], LINES).splitlines()
    return [orjson.loads(line) for line in lines]


async def test_the_error_of_a_background_task_is_logged_with_its_place(
    state: state_lib.RelayState, log: tuple[int, int]
) -> None:
    failed = asyncio.Event()

    async def fail() -> None:
        failed.set()
        bytes([256])

    tasks = background_tasks.BackgroundTasks(state, {"writer": fail})
    tasks.start()
    await failed.wait()
    await tasks.cancel()
    (line,) = read_lines(log)
    assertions.assert_that(line["event"], matchers.Equals("task_failed"))
    assertions.assert_that(line["task"], matchers.Equals("writer"))
    assertions.assert_that(line["error"], matchers.Contains("ValueError"))
    assertions.assert_that(line["place"], matchers.EndsWith(" fail"))
    count = state.counters.task_failures.labels("writer")._value.get()
    assertions.assert_that(count, matchers.Equals(1))


async def test_a_task_that_failed_starts_again_beside_the_others(
    state: state_lib.RelayState, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(background_tasks, "FIRST_RESTART_DELAY", 0.01)
    starts = 0
    recovered = asyncio.Event()
    other = asyncio.Event()

    async def fail_twice() -> None:
        nonlocal starts
        starts += 1
        if starts <= 2:
            raise ValueError("bad item")
        recovered.set()
        await asyncio.Event().wait()

    async def wait_for_other() -> None:
        await recovered.wait()
        other.set()

    tasks = background_tasks.BackgroundTasks(
        state, {"writer": fail_twice, "other": wait_for_other}
    )
    tasks.start()
    await other.wait()
    await tasks.cancel()
    assertions.assert_that(starts, matchers.Equals(3))


async def test_a_batch_on_which_a_listener_fails_is_read_again(
    state: state_lib.RelayState,
) -> None:
    topic = relay_platform.MemoryTopic()
    applied: list[follower.Update] = []

    def listen(update: follower.Update) -> tuple[topics.Record, ...]:
        if not applied:
            applied.append(update)
            raise ValueError("bad item")
        applied.append(update)
        return update.batch.records

    reader = follower.TopicFollower(
        state,
        "things",
        topic,
        listen,
        wait=0.0,
        pause=0.0,
        gate=store_gate.StoreGate(),
    )
    await topic.put("key", "value")
    with pytest.raises(ValueError, match="bad item"):
        await reader.read_once()
    assertions.assert_that(reader.place, matchers.Is(None))
    assertions.assert_that(reader.age(), matchers.Equals(float("inf")))
    await reader.read_once()
    assertions.assert_that(
        applied[1].batch.records, matchers.Equals(applied[0].batch.records)
    )
