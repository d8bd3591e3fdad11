"""Fixtures of the followers' tests: a host's state and its lines."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import attrs
import orjson
import pytest
import relay_platform
import relay_states

from hoistmoor.relay import state as state_lib
from hoistmoor.relay.store import follower
from hoistmoor.relay.store import store_gate

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoistmoor.relay.store import ports


@attrs.define
class Rig:
    """A state, the clock it goes by, and its log lines."""

    state: state_lib.RelayState
    clock: relay_states.Clock
    lines: int

    def follow(
        self,
        name: str,
        topic: ports.KeyedTopic,
        listener: follower.Listener,
        *,
        wait: float = 0.0,
        is_probe: bool = False,
    ) -> follower.TopicFollower:
        """Returns what reads a topic for a listener, without a pause."""
        return follower.TopicFollower(
            self.state,
            name,
            topic,
            listener,
            wait=wait,
            pause=0.0,
            gate=store_gate.StoreGate(),
            is_probe=is_probe,
        )

    def events(self) -> list[dict[str, object]]:
        """Returns the lines written so far."""
        with open(self.lines, "rb", closefd=False) as pipe:
            data = pipe.read() or b""
        return [orjson.loads(line) for line in data.splitlines()]


@pytest.fixture
def rig() -> Iterator[Rig]:
    """A state of a host that has read nothing."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    clock = relay_states.Clock()
    state = relay_states.fresh(clock, writing)
    yield Rig(state, clock, reading)
    os.close(reading)
    os.close(writing)


@pytest.fixture
def platform() -> relay_platform.MemoryPlatform:
    """An empty platform."""
    return relay_platform.MemoryPlatform()
