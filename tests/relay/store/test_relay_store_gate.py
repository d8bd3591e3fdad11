"""Tests of the number of calls to the store at a start and in an outage."""

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
from hoistmoor.relay.front import backend_connector as backend_connector_lib
from hoistmoor.relay.store import followers
from hoistmoor.relay.store import store_gate

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    import pytest

TIMEOUT = 20.0  # Seconds; reached only if a test hangs.


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT):
        while not condition():
            await asyncio.sleep(0.01)


@attrs.define
class CountingTopic(relay_platform.MemoryTopic):
    """Counts all calls, including failed ones."""

    calls: int = 0

    def _check(self) -> None:
        self.calls += 1
        relay_platform.MemoryTopic._check(self)


async def test_other_calls_wait_until_probe_succeeds() -> None:
    gate = store_gate.StoreGate()
    for _ in range(2):  # At a start, and in a later outage.
        waiting = asyncio.create_task(gate.wait_until_available())
        await asyncio.sleep(0.1)
        assertions.assert_that(waiting.done(), matchers.Is(False))
        gate.record_success()
        async with asyncio.timeout(TIMEOUT):
            await waiting
        gate.record_failure()


async def test_wait_ends_after_longest_hold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_gate, "MAX_WAIT", 0.05)
    gate = store_gate.StoreGate()
    gate.record_failure()
    async with asyncio.timeout(TIMEOUT):
        await gate.wait_until_available()


@attrs.define
class RunningRelay:
    """A running relay and its topics; the operators' topic is the first."""

    relay: application.Relay
    platform: relay_platform.MemoryPlatform
    topics: list[CountingTopic]

    def set_away(self, *, is_away: bool) -> None:
        """Starts or ends an outage of the whole store."""
        for topic in self.topics:
            topic.is_unavailable = is_away


@contextlib.asynccontextmanager
async def running_relay(
    monkeypatch: pytest.MonkeyPatch, *, is_away: bool
) -> AsyncIterator[RunningRelay]:
    """Runs a relay, with or without an outage of the store at its start."""
    null_descriptor = os.open(os.devnull, os.O_WRONLY)
    monkeypatch.setattr(application, "LOG_DESCRIPTOR", null_descriptor)
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
    await platform.publish(
        platform.operator, "config", relay_parts.make_configuration()
    )
    settings = settings_lib.RelaySettings(
        host="h0", zone="z", listen="127.0.0.1:0", ready_listen="127.0.0.1:0"
    )
    async with sessions.make_session() as session:
        relay = application.Relay(
            settings,
            platform.as_port(),
            backend_connector_lib.BackendSessions(session, session),
            session,
            lambda: settings,
        )
        made = RunningRelay(relay, platform, topics)
        made.set_away(is_away=is_away)
        task = asyncio.create_task(relay.serve(asyncio.Event()))
        yield made
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    os.close(null_descriptor)


async def test_only_probe_topic_is_read_during_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_relay(monkeypatch, is_away=False) as made:
        topics, state = made.topics, made.relay.state
        await until(lambda: len(state.topics_read) == 5)
        made.set_away(is_away=True)
        await asyncio.sleep(0.3)  # Pending reads end.
        before = [topic.calls for topic in topics]
        await until(lambda: topics[0].calls >= before[0] + 3)
        tried = [
            topic.calls - known
            for topic, known in zip(topics[1:], before[1:], strict=True)
        ]
        assertions.assert_that(max(tried), matchers.LessThan(3))
        made.set_away(is_away=False)
        newer = relay_parts.make_configuration(2)
        platform = made.platform
        await platform.publish(platform.operator, "config", newer)
        await platform.publish(
            platform.servers, "a", relay_parts.make_entry("a")
        )
        await until(lambda: state.configuration is newer)
        await until(lambda: "a" in state.router.fleet.servers)


async def test_only_probe_topic_is_read_at_start_during_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_relay(monkeypatch, is_away=True) as made:
        topics = made.topics
        # The first call was made by ``running_relay`` itself.
        await until(lambda: topics[0].calls >= 4)
        tried = [topic.calls for topic in topics[1:]]
        assertions.assert_that(tried, matchers.Equals([0, 0, 0, 0]))
        made.set_away(is_away=False)
        await until(lambda: len(made.relay.state.topics_read) == 5)
