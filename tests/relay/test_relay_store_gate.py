"""How many calls hosts make to a store that is away, and at a start."""

from __future__ import annotations

import asyncio
import contextlib
import os
from typing import TYPE_CHECKING

import attrs
import relay_parts
import relay_platform
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import sessions
from hoistmoor.relay import application
from hoistmoor.relay import relay_task
from hoistmoor.relay import settings as settings_lib
from hoistmoor.relay import store_gate

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

PATIENCE = 20.0  # Seconds; only a hang of a busy machine comes near.


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.01)


@attrs.define
class CountingTopic(relay_platform.MemoryTopic):
    """Counts all calls, those that fail too."""

    calls: int = 0

    def _check(self) -> None:
        self.calls += 1
        relay_platform.MemoryTopic._check(self)


async def test_the_others_wait_while_one_topic_is_tried() -> None:
    gate = store_gate.StoreGate()
    gate.note_lost()
    waiting = asyncio.create_task(gate.wait_until_heard())
    await asyncio.sleep(2 * store_gate.FIRST_BACKOFF)
    assertions.assert_that(waiting.done(), matchers.Is(False))
    gate.note_heard()
    async with asyncio.timeout(PATIENCE):
        await waiting


async def test_a_topic_is_tried_at_last_where_the_others_stay_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_gate, "LONGEST_HOLD", 0.05)
    gate = store_gate.StoreGate()
    gate.note_lost()
    async with asyncio.timeout(PATIENCE):
        await gate.wait_until_heard()


async def test_only_one_topic_is_tried_while_the_store_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    nowhere = os.open(os.devnull, os.O_WRONLY)
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", nowhere)
    monkeypatch.setattr(application, "SLOW_WAIT", 0.05)
    monkeypatch.setattr(application, "SERVERS_WAIT", 0.05)
    monkeypatch.setattr(application, "OPERATOR_WAIT", 0.05)
    topics = [CountingTopic() for _ in range(4)]
    platform = relay_platform.MemoryPlatform(
        operator=topics[0],
        servers=topics[1],
        phases=topics[2],
        hosts=topics[3],
    )
    await platform.publish(platform.operator, "config", relay_parts.in_force())
    settings = settings_lib.RelaySettings(
        host="h0", zone="z", listen="127.0.0.1:0", ready_listen="127.0.0.1:0"
    )
    async with sessions.make_session() as session:
        relay = application.Relay(
            settings,
            platform.as_port(),
            relay_task.BackendSessions(session, session),
            session,
            lambda: settings,
        )
        task = asyncio.create_task(relay.serve(asyncio.Event()))
        await until(lambda: len(relay.state.topics_read) == 4)
        for topic in topics:
            topic.is_away = True
        await asyncio.sleep(0.3)  # What was under way ends.
        before = [topic.calls for topic in topics]
        await until(lambda: topics[0].calls >= before[0] + 3)
        tried = [
            topic.calls - known
            for topic, known in zip(topics[1:], before[1:], strict=True)
        ]
        assertions.assert_that(max(tried), matchers.LessThan(3))
        for topic in topics:
            topic.is_away = False
        newer = relay_parts.in_force(2)
        await platform.publish(platform.operator, "config", newer)
        await platform.publish(platform.servers, "a", relay_parts.entry("a"))
        await until(lambda: relay.state.configuration is newer)
        await until(lambda: "a" in relay.state.router.fleet.servers)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    os.close(nowhere)
