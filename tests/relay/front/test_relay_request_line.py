"""Event log lines that trace a session across the versions of a service."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import orjson
import pytest
import relay_parts
import relay_states
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.placement import partition
from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay.front import request_log

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoistmoor.relay import state as state_lib


@pytest.fixture
def logged_state() -> Iterator[tuple[state_lib.RelayState, int]]:
    """A host's state, and the descriptor to read its event log from."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield relay_states.make_state(relay_states.Clock(), writing), reading
    os.close(reading)
    os.close(writing)


def send_to(version: str) -> messages.Send:
    server = server_lib.ServerState(relay_parts.make_entry(version=version))
    return messages.Send(
        server, "", partition.WorkClass(0, 1, is_long=False), 1, 101.0
    )


def read_lines(descriptor: int) -> list[dict[str, object]]:
    try:
        data = os.read(descriptor, 65536)
    except BlockingIOError:
        return []
    return [orjson.loads(line) for line in data.splitlines()]


def test_a_change_of_a_sessions_version_is_logged(
    logged_state: tuple[state_lib.RelayState, int],
) -> None:
    state, descriptor = logged_state
    request = relay_parts.make_request(session="s1")
    request_log.log_session_version(state, request, send_to("v1"), None)
    request_log.log_session_version(state, request, send_to("v1"), "v1")
    sessionless = relay_parts.make_request()
    request_log.log_session_version(state, sessionless, send_to("v2"), "v1")
    assertions.assert_that(read_lines(descriptor), matchers.Equals([]))
    request_log.log_session_version(state, request, send_to("v2"), "v1")
    (line,) = read_lines(descriptor)
    logged = {key: line[key] for key in ("session", "before", "version")}
    assertions.assert_that(
        logged,
        matchers.Equals({"session": "s1", "before": "v1", "version": "v2"}),
    )


def test_each_session_request_is_logged_during_a_rollout(
    logged_state: tuple[state_lib.RelayState, int],
) -> None:
    state, descriptor = logged_state
    order = phases.Order("desk", "v2", 60.0, 7)
    state.router.rollouts.apply_order(order, 100.0)
    request = relay_parts.make_request(session="s1")
    request_log.log_session_version(state, request, send_to("v1"), "v1")
    (line,) = read_lines(descriptor)
    logged = {key: line[key] for key in ("version", "order", "phase")}
    assertions.assert_that(
        logged, matchers.Equals({"version": "v1", "order": 7, "phase": "trial"})
    )


def test_prompt_parts_of_runs_are_logged_when_their_server_ends(
    logged_state: tuple[state_lib.RelayState, int],
) -> None:
    state, descriptor = logged_state
    state.router.fleet.put(relay_parts.make_entry("s0"))
    server = state.router.fleet.servers["s0"]
    server.runs.add(runs.Run("f1", parts=("system", "account")))
    state.record_server_end(server)
    (line,) = read_lines(descriptor)
    assertions.assert_that(
        line["runs"],
        matchers.Equals(["f1 waiting 0.000s system,account"]),
    )
