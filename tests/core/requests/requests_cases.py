"""Builders for the tests of the request state machine."""

from __future__ import annotations

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core.requests import decisions
from hoistmoor.core.requests import machine
from hoistmoor.core.requests import messages
from hoistmoor.core.requests import request_types
from hoistmoor.core.routing import messages as routing
from hoistmoor.core.table import model

NOW = 1000.0
DEADLINE = 1010.0
REQUEST_ID = identity.RequestId(identity.Incarnation("entry-1", 7), 1)

CHEAP_VERSION = model.Version(
    "khao", "1", "llm", model.Stage.ACTIVE, 1, 100, 200, 0.8, 0, 1
)
EXPENSIVE_VERSION = model.Version(
    "khao", "2", "llm", model.Stage.ACTIVE, 1, 1000, 2000, 0.9, 0, 1
)
TABLE = model.Table(
    versions={
        CHEAP_VERSION.key: CHEAP_VERSION,
        EXPENSIVE_VERSION.key: EXPENSIVE_VERSION,
    }
)


def make_call(*, idempotent: bool) -> model.Call:
    """Returns the row of a call in the table."""
    return model.Call(
        "counter", "POST", "/confirm", idempotent, model.Priority.URGENT, 2000
    )


def make_envelope(key: str | None = None) -> request_types.Envelope:
    """Returns an envelope with a deadline in ten seconds."""
    return request_types.Envelope(
        request_id=REQUEST_ID,
        account="agents",
        arrived=NOW,
        deadline=DEADLINE,
        idempotency_key=key,
        session=None,
        fingerprint="f",
        priority=model.Priority.NORMAL,
    )


def make_call_request(*, idempotent: bool) -> request_types.CallRequest:
    """Returns a call of a plain service."""
    row = make_call(idempotent=idempotent)
    return request_types.CallRequest(
        make_envelope(), row, "/confirm", "", b"{}"
    )


def make_chat_request() -> request_types.ChatRequest:
    """Returns a chat request."""
    body = {"model": "khao", "messages": [{"role": "user", "content": "x"}]}
    return request_types.ChatRequest(
        make_envelope(), "khao", True, "chat", body, b"", 10, 20, ()
    )


def make_machine(request: request_types.Request) -> machine.RequestMachine:
    """Returns the machine of an admitted request."""
    decision = decisions.Decision(
        str(REQUEST_ID), "agents", "asked", "chat", NOW, 3
    )
    return machine.RequestMachine(request, decision, TABLE)


def make_choice(
    server: str, version: str = CHEAP_VERSION.key, *, hold: bool = False
) -> routing.Choice:
    """Returns a choice of a backend server."""
    return routing.Choice(version, server, "127.0.0.1:1", hold, "why")


def dispatch(
    machine_under_test: machine.RequestMachine, where: routing.Choice
) -> identity.AttemptId:
    """Dispatches an attempt to ``where`` and returns its id."""
    effects = machine_under_test.handle(messages.ServerChosen(where), NOW)
    (sent,) = effects
    assert isinstance(sent, messages.Dispatch)
    return sent.attempt


def make_started_machine(
    request: request_types.Request,
) -> machine.RequestMachine:
    """Returns a machine that waits for the router's first choice."""
    machine_under_test = make_machine(request)
    machine_under_test.handle(messages.Started(), NOW)
    return machine_under_test


def find_refusal(
    effects: tuple[messages.Effect, ...],
) -> messages.Refuse | None:
    """Returns the first refusal among the effects, if any."""
    refusals = [e for e in effects if isinstance(e, messages.Refuse)]
    return refusals[0] if refusals else None


FAILURE_STATES = (
    outcomes.ExchangeState.UNSENT,
    outcomes.ExchangeState.SENDING,
    outcomes.ExchangeState.SENT,
    outcomes.ExchangeState.ANSWERING,
    outcomes.ExchangeState.DECLINED,
)
