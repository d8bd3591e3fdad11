"""Events of a request task carry the current state of the exchange.

An event may be queued before the request is dispatched and handled after it.
With an outdated state, the caller would be told that the request did not run.
"""

from __future__ import annotations

import time
from typing import Any
from unittest import mock

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core.once import permits
from hoistmoor.core.requests import decisions
from hoistmoor.core.requests import machine as machine_lib
from hoistmoor.core.requests import messages
from hoistmoor.core.requests import request_types
from hoistmoor.core.requests import routes
from hoistmoor.core.routing import messages as routing
from hoistmoor.core.table import model
from hoistmoor.entry import attempts
from hoistmoor.entry import channel
from hoistmoor.entry import request_task

REQUEST_ID = identity.RequestId(identity.Incarnation("entry-1", 7), 1)
CALL = model.Call("counter", "GET", "/x", True, model.Priority.URGENT, 1)
STATES = outcomes.ExchangeState


class SentAttempt:
    """An attempt that counts as sent as soon as it is started."""

    def __init__(self, *_: object) -> None:
        self.state = STATES.UNSENT

    def start(self) -> None:
        """Marks the request as sent."""
        self.state = STATES.SENT

    def cancel(self) -> None:
        """Does nothing: the request was sent already."""


@pytest.fixture
def task(monkeypatch: pytest.MonkeyPatch) -> request_task.RequestTask:
    monkeypatch.setattr(attempts, "Attempt", SentAttempt)
    now = time.time()
    shared = request_types.Envelope(
        REQUEST_ID, "a", now, now + 60, None, None, "f", CALL.priority
    )
    request = request_types.CallRequest(shared, CALL, "/x", "", b"")
    decision = decisions.Decision(str(REQUEST_ID), "a", "x", "", now, 1)
    parts: Any = mock.MagicMock()
    parts.clock = time.time
    parts.once.finish = mock.AsyncMock()
    parts.router.choose_server.return_value = routing.Choice(
        "", "counter-1", "127.0.0.1:1", False, "why"
    )
    machine = machine_lib.RequestMachine(request, decision, model.Table())
    permit = permits.Permit(permits.PermitKind.NONE, "a", "", "x")
    return request_task.RequestTask(
        parts, machine, routes.CallRoute(CALL), permit, mock.MagicMock()
    )


@pytest.mark.parametrize(
    "event", [messages.DeadlineReached, messages.CallerDisconnected]
)
async def test_queued_event_carries_the_current_exchange_state(
    task: request_task.RequestTask, event: type[Any]
) -> None:
    # The event is queued before the first two events lead to the dispatch.
    task.post(messages.Started())
    task.post(
        messages.ServerChosen(
            task._components.router.choose_server.return_value
        )
    )
    task.post(event(STATES.UNSENT))
    await task._drive()
    result = await task.channel.get()
    assert isinstance(result, channel.Refused)
    assertions.assert_that(
        result.refusal.outcome, matchers.Is(outcomes.Outcome.UNKNOWN)
    )
