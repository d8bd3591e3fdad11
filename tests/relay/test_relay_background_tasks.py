"""Errors of a relay's background tasks."""

from __future__ import annotations

import asyncio
import os
from typing import Any, TYPE_CHECKING

import orjson
import pytest
import relay_states
from testtools import assertions
from testtools import matchers

from hoistmoor.relay import background_tasks

if TYPE_CHECKING:
    from collections.abc import Iterator

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
    async def fail() -> None:
        bytes([256])

    tasks = background_tasks.BackgroundTasks(state, {"writer": fail})
    tasks.start()
    with pytest.raises(ValueError, match="bytes must be in range"):
        await tasks.wait(asyncio.Event())
    await tasks.cancel()
    (line,) = read_lines(log)
    assertions.assert_that(line["event"], matchers.Equals("task_failed"))
    assertions.assert_that(line["task"], matchers.Equals("writer"))
    assertions.assert_that(line["error"], matchers.Contains("ValueError"))
    assertions.assert_that(line["place"], matchers.EndsWith(" fail"))
    count = state.counters.task_failures.labels("writer")._value.get()
    assertions.assert_that(count, matchers.Equals(1))
