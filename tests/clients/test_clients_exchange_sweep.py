"""Ends exchanges after every byte of the response and every loop step."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

import ended_exchange
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import exchange
from hoistmoor.clients import sessions
from hoistmoor.core import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

State = outcomes.ExchangeState

ECHO = b"X-Attempt-Id: %b\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + ECHO
EVENTS = b"data: a\n\ndata: [DONE]\n\n"
RESPONSES = {
    "length": HEAD + b"Content-Length: 4\r\n\r\nabcd",
    "chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
    "events": HEAD
    + b"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%b"
    % (len(EVENTS), EVENTS),
    "declined": b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n"
    + ECHO
    + b"Content-Length: 4\r\n\r\nbusy",
}
# Trailing bytes that may be missing without changing the final state.
OPTIONAL_BYTES = {"length": 0, "chunks": 0, "events": 0, "declined": 4}
UNSENT_BUT_RECEIVED = "reported as unsent, but received"
# Long timeouts avoid failures on a busy machine.
LONG_TIMEOUTS = exchange.Timeouts(connect=30.0)
CANCEL_STEPS = 60  # More steps than a complete exchange takes.


def make_request(address: str, attempt: str) -> exchange.HttpRequest:
    return exchange.HttpRequest(
        "POST", f"http://{address}/confirm", attempt, body=b"{}"
    )


class TruncatingHandler:
    """Sends the first bytes of a response, then closes the connection."""

    def __init__(self, response: bytes) -> None:
        self.response = response
        self.length = len(response)

    async def __call__(self, _: bytes, writer: asyncio.StreamWriter) -> None:
        """Responds to a request."""
        writer.write(self.response[: self.length])
        writer.close()


@pytest.mark.parametrize("name", RESPONSES)
async def test_close_after_each_byte(
    session: aiohttp.ClientSession,
    make_backend: Callable[..., Any],
    name: str,
) -> None:
    response = RESPONSES[name].replace(b"%b\r\n", b"h.1.1.1\r\n", 1)
    handler = TruncatingHandler(response)
    backend = await make_backend(handler)
    final = State.DECLINED if name == "declined" else State.ANSWERED
    head_length = response.index(b"\r\n\r\n") + 4
    for length in range(len(response) + 1):
        handler.length = length
        opened = exchange.Exchange(
            session, make_request(backend.address, "h.1.1.1"), LONG_TIMEOUTS
        )
        await ended_exchange.run(opened)
        expected = State.SENT if length < head_length else State.ANSWERING
        if length >= len(response) - OPTIONAL_BYTES[name]:
            expected = final
        assertions.assert_that(
            (length, opened.state), matchers.Equals((length, expected))
        )
    assertions.assert_that(
        backend.requests, matchers.HasLength(len(response) + 1)
    )


async def test_cancel_at_each_step(make_backend: Callable[..., Any]) -> None:
    response = RESPONSES["length"]

    async def echo(request: bytes, writer: asyncio.StreamWriter) -> None:
        attempt = request.lower().split(b"x-attempt-id: ")[1].split(b"\r")[0]
        writer.write(response % attempt)

    backend = await make_backend(echo)
    observed = set()
    for reuse in (False, True):
        async with sessions.make_session(reuse_connections=reuse) as session:
            for steps in range(CANCEL_STEPS):
                attempt = f"h.1.{int(reuse)}.{steps}"
                opened = exchange.Exchange(
                    session,
                    make_request(backend.address, attempt),
                    LONG_TIMEOUTS,
                )
                await cancel_after(steps, ended_exchange.run(opened))
                observed.add(opened.state)
                # Its response arrives after everything that the cancelled
                # exchange sent.
                check = exchange.Exchange(
                    session,
                    make_request(backend.address, attempt + ".check"),
                    LONG_TIMEOUTS,
                )
                await ended_exchange.run(check)
                assertions.assert_that(check.state, matchers.Is(State.ANSWERED))
                assert_consistent(opened.state, backend, attempt)
    assertions.assert_that(
        observed,
        matchers.ContainsAll([State.UNSENT, State.SENT, State.ANSWERED]),
    )


async def cancel_after(steps: int, work: Any) -> None:
    """Runs ``work`` for some steps of the event loop, then cancels it."""
    task = asyncio.create_task(work)
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def assert_consistent(state: State, backend: Any, attempt: str) -> None:
    """Fails if the state contradicts whether the backend got the request."""
    header = b"x-attempt-id: " + attempt.encode() + b"\r"
    arrived = any(header in row.lower() for row in backend.requests)
    if state is State.UNSENT:
        assertions.assert_that(arrived, matchers.Is(False), UNSENT_BUT_RECEIVED)
    if state is State.ANSWERED:
        assertions.assert_that(arrived, matchers.Is(True))


async def test_the_sweep_detects_a_delayed_state(
    make_backend: Callable[..., Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(exchange.Exchange, "_advance", advance_on_response_only)
    with pytest.raises(matchers.MismatchError, match=UNSENT_BUT_RECEIVED):
        await test_cancel_at_each_step(make_backend)


def advance_on_response_only(opened: exchange.Exchange, state: State) -> None:
    """Skips SENDING and SENT, as if nothing were sent before a response."""
    if state not in (State.SENDING, State.SENT):
        opened.state = state
