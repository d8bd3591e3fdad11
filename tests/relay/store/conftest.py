"""Fixtures for the tests of followers: a host's state and its log."""

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
    """The state of a relay, with its clock and the pipe of its log.

    Attributes:
        state: Shared state of the relay.
        clock: Clock of the state, which the test advances.
        log_pipe: File descriptor from which the log is read.
    """

    state: state_lib.RelayState
    clock: relay_states.Clock
    log_pipe: int

    def follow(
        self,
        name: str,
        topic: ports.KeyedTopic,
        listener: follower.Listener,
        *,
        wait: float = 0.0,
        is_probe: bool = False,
    ) -> follower.TopicFollower:
        """Returns a follower that reads a topic without pauses."""
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
        """Returns the log events since the last call."""
        with open(self.log_pipe, "rb", closefd=False) as pipe:
            data = pipe.read() or b""
        return [orjson.loads(line) for line in data.splitlines()]


@pytest.fixture
def rig() -> Iterator[Rig]:
    """The state of a host that has not read anything yet."""
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    clock = relay_states.Clock()
    state = relay_states.make_state(clock, write_end)
    yield Rig(state, clock, read_end)
    os.close(read_end)
    os.close(write_end)


@pytest.fixture
def platform() -> relay_platform.MemoryPlatform:
    """An empty platform."""
    return relay_platform.MemoryPlatform()
