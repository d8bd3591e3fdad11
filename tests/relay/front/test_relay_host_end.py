"""How requests in progress end when a host stops."""

from __future__ import annotations

import asyncio
import types
from typing import Any

from testtools import assertions
from testtools import matchers

from hoistmoor.relay.front import host_end


def make_state() -> Any:
    """Returns the part of a relay's state that a stop uses."""
    return types.SimpleNamespace(ending=False, delivering=set())


async def test_a_response_that_is_being_sent_is_not_cut_off() -> None:
    state = make_state()
    ends = []
    has_ended = asyncio.Event()

    async def deliver() -> None:
        with host_end.delivering(state):
            await has_ended.wait()
            ends.append("delivered")

    async def wait() -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if host_end.take_cancellation(state):
                ends.append("ended")
            has_ended.set()

    tasks = {asyncio.create_task(deliver()), asyncio.create_task(wait())}
    await asyncio.sleep(0)
    await host_end.end_requests(state, tasks)
    assertions.assert_that(ends, matchers.Equals(["ended", "delivered"]))
    assertions.assert_that(state.delivering, matchers.Equals(set()))


async def test_a_request_whose_caller_leaves_does_not_go_on() -> None:
    state = make_state()
    taken = []

    async def wait() -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            taken.append(host_end.take_cancellation(state))
            raise

    task = asyncio.create_task(wait())
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait({task})
    assertions.assert_that(taken, matchers.Equals([False]))
    assertions.assert_that(task.cancelled(), matchers.Is(True))
