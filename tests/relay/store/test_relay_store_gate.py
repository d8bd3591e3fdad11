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
from hoistmoor.relay import settings as settings_lib
from hoistmoor.relay.front import links as links_lib
from hoistmoor.relay.store import followers
from hoistmoor.relay.store import store_gate

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

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
    for _ in range(2):  # At a start, and when the store is lost again.
        waiting = asyncio.create_task(gate.wait_until_heard())
        await asyncio.sleep(0.1)
        assertions.assert_that(waiting.done(), matchers.Is(False))
        gate.note_heard()
        async with asyncio.timeout(PATIENCE):
            await waiting
        gate.note_lost()


async def test_a_topic_is_tried_at_last_where_the_others_stay_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_gate, "LONGEST_HOLD", 0.05)
    gate = store_gate.StoreGate()
    gate.note_lost()
    async with asyncio.timeout(PATIENCE):
        await gate.wait_until_heard()


@attrs.define
class Started:
    """A relay that runs, and its topics; the operators' is the first."""

    relay: application.Relay
    platform: relay_platform.MemoryPlatform
    topics: list[CountingTopic]

    def set_away(self, *, is_away: bool) -> None:
        """Has the whole store be away, or back."""
        for topic in self.topics:
            topic.is_away = is_away


@contextlib.asynccontextmanager
async def started(
    monkeypatch: pytest.MonkeyPatch, *, is_away: bool
) -> AsyncIterator[Started]:
    """Starts a relay beside a store that is away, or not."""
    nowhere = os.open(os.devnull, os.O_WRONLY)
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", nowhere)
    for name in ("SLOW_WAIT", "SERVERS_WAIT", "OPERATOR_WAIT"):
        monkeypatch.setattr(followers, name, 0.05)
    topics = [CountingTopic() for _ in range(5)]
    platform = relay_platform.MemoryPlatform(
        operator=topics[0],
        servers=topics[1],
        phases=topics[2],
        hosts=topics[3],
        quarantine=topics[4],
    )
    await platform.publish(platform.operator, "config", relay_parts.in_force())
    settings = settings_lib.RelaySettings(
        host="h0", zone="z", listen="127.0.0.1:0", ready_listen="127.0.0.1:0"
    )
    async with sessions.make_session() as session:
        relay = application.Relay(
            settings,
            platform.as_port(),
            links_lib.BackendSessions(session, session),
            session,
            lambda: settings,
        )
        made = Started(relay, platform, topics)
        made.set_away(is_away=is_away)
        task = asyncio.create_task(relay.serve(asyncio.Event()))
        yield made
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    os.close(nowhere)


async def test_only_one_topic_is_tried_while_the_store_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with started(monkeypatch, is_away=False) as made:
        topics, state = made.topics, made.relay.state
        await until(lambda: len(state.topics_read) == 5)
        made.set_away(is_away=True)
        await asyncio.sleep(0.3)  # What was under way ends.
        before = [topic.calls for topic in topics]
        await until(lambda: topics[0].calls >= before[0] + 3)
        tried = [
            topic.calls - known
            for topic, known in zip(topics[1:], before[1:], strict=True)
        ]
        assertions.assert_that(max(tried), matchers.LessThan(3))
        made.set_away(is_away=False)
        newer = relay_parts.in_force(2)
        platform = made.platform
        await platform.publish(platform.operator, "config", newer)
        await platform.publish(platform.servers, "a", relay_parts.entry("a"))
        await until(lambda: state.configuration is newer)
        await until(lambda: "a" in state.router.fleet.servers)


async def test_only_one_topic_is_tried_at_a_start_while_the_store_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with started(monkeypatch, is_away=True) as made:
        topics = made.topics
        # The first call was the fixture's own.
        await until(lambda: topics[0].calls >= 4)
        tried = [topic.calls for topic in topics[1:]]
        assertions.assert_that(tried, matchers.Equals([0, 0, 0, 0]))
        made.set_away(is_away=False)
        await until(lambda: len(made.relay.state.topics_read) == 5)
