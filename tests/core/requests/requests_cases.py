"""Builders for the tests of the request state machine."""

from __future__ import annotations

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core.requests import decisions
from hoistmoor.core.requests import kinds
from hoistmoor.core.requests import machine
from hoistmoor.core.requests import messages
from hoistmoor.core.routing import messages as routing
from hoistmoor.core.table import model

NOW = 1000.0
DEADLINE = 1010.0
REQUEST_ID = identity.RequestId(identity.Incarnation("entry-1", 7), 1)

CHEAP = model.Version(
    "khao", "1", "llm", model.Stage.ACTIVE, 1, 100, 200, 0.8, 0, 1
)
DEAR = model.Version(
    "khao", "2", "llm", model.Stage.ACTIVE, 1, 1000, 2000, 0.9, 0, 1
)
TABLE = model.Table(versions={CHEAP.key: CHEAP, DEAR.key: DEAR})


def call_row(*, idempotent: bool) -> model.Call:
    """Returns the row of a call in the table."""
    return model.Call(
        "counter", "POST", "/confirm", idempotent, model.Priority.URGENT, 2000
    )


def envelope(key: str | None = None) -> kinds.Envelope:
    """Returns an envelope with a deadline in ten seconds."""
    return kinds.Envelope(
        request_id=REQUEST_ID,
        account="agents",
        arrived=NOW,
        deadline=DEADLINE,
        idempotency_key=key,
        session=None,
        fingerprint="f",
        priority=model.Priority.NORMAL,
    )


def call_request(*, idempotent: bool) -> kinds.CallRequest:
    """Returns a call of a plain service."""
    row = call_row(idempotent=idempotent)
    return kinds.CallRequest(envelope(), row, "/confirm", "", b"{}")


def chat_request() -> kinds.ChatRequest:
    """Returns a chat request."""
    body = {"model": "khao", "messages": [{"role": "user", "content": "x"}]}
    return kinds.ChatRequest(
        envelope(), "khao", True, "chat", body, b"", 10, 20, ()
    )


def make_machine(request: kinds.Request) -> machine.RequestMachine:
    """Returns the machine of an admitted request."""
    decision = decisions.Decision(
        str(REQUEST_ID), "agents", "asked", "chat", NOW, 3
    )
    return machine.RequestMachine(request, decision, TABLE)


def choice(
    server: str, version: str = CHEAP.key, *, hold: bool = False
) -> routing.Choice:
    """Returns a choice of a backend server."""
    return routing.Choice(version, server, "127.0.0.1:1", hold, "why")


def dispatch(
    machine_under_test: machine.RequestMachine, where: routing.Choice
) -> identity.AttemptId:
    """Dispatches an attempt to ``where`` and returns its id."""
    effects = machine_under_test.handle(messages.Chosen(where), NOW)
    (sent,) = effects
    assert isinstance(sent, messages.Dispatch)
    return sent.attempt


def started(request: kinds.Request) -> machine.RequestMachine:
    """Returns a machine that waits for the router's first choice."""
    machine_under_test = make_machine(request)
    machine_under_test.handle(messages.Started(), NOW)
    return machine_under_test


def refusal_in(
    effects: tuple[messages.Effect, ...],
) -> messages.Refuse | None:
    """Returns the first refusal among the effects, if any."""
    refusals = [e for e in effects if isinstance(e, messages.Refuse)]
    return refusals[0] if refusals else None


CUTS = (
    outcomes.ExchangeState.UNSENT,
    outcomes.ExchangeState.SENDING,
    outcomes.ExchangeState.SENT,
    outcomes.ExchangeState.ANSWERING,
    outcomes.ExchangeState.DECLINED,
)
