"""Settings, startup and graceful stop of the command."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import sys
from typing import TYPE_CHECKING

import ended_exchange
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import exchange
from hoistmoor.clients import sessions
from hoistmoor.core import outcomes
from hoistmoor.standins import main

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


CALLERS = 16
BODY = (
    b'{"model":"demo@1","stream":true,"max_tokens":20,'
    b'"messages":[{"role":"user","content":"hello"}]}'
)


@contextlib.asynccontextmanager
async def run_command(
    *arguments: str,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str]]:
    """Runs the command; yields its process and the address it listens on."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hoistmoor.standins.main",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(60):
            line = (await process.stdout.readline()).decode().split()
        assertions.assert_that(line[0], matchers.Equals("LISTENING"))
        yield process, line[1]
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def test_sigterm_lets_streams_complete() -> None:
    async with (
        run_command("engine", "--token-time", "0.05") as (process, address),
        sessions.make_session() as session,
    ):
        url = f"http://{address}/v1/chat/completions"
        request = exchange.HttpRequest("POST", url, "a", body=BODY)
        opened = exchange.Exchange(session, request)
        async with opened:
            async for part in opened:
                if isinstance(part, exchange.ResponseHead):
                    process.terminate()
        async with asyncio.timeout(30):
            code = await process.wait()
    assertions.assert_that(
        opened.state, matchers.Is(outcomes.ExchangeState.ANSWERED)
    )
    assertions.assert_that(code, matchers.Equals(0))


async def test_stop_under_load_cuts_no_call() -> None:
    """Guards against requests that a stopping stand-in cuts off.

    Concurrent callers send calls until the connection is refused; each must
    be either executed or reported as not executed.
    """
    states: collections.Counter[outcomes.ExchangeState] = collections.Counter()
    async with (
        run_command("service", "--capacity", "32") as (process, address),
        sessions.make_session() as session,
    ):

        async def call(caller: int) -> None:
            url = f"http://{address}/confirm"
            while True:
                attempt = f"h.{caller}.{sum(states.values())}"
                request = exchange.HttpRequest("POST", url, attempt)
                opened = exchange.Exchange(session, request)
                await ended_exchange.run(opened)
                states[opened.state] += 1
                if sum(states.values()) == CALLERS * 10:
                    process.terminate()
                if opened.state is outcomes.ExchangeState.UNSENT:
                    return

        async with asyncio.timeout(60):
            await asyncio.gather(*(call(number) for number in range(CALLERS)))
            code = await process.wait()
    assertions.assert_that(code, matchers.Equals(0))
    assertions.assert_that(
        {outcomes.OUTCOME_BY_STATE[state] for state in states},
        matchers.Equals({outcomes.Outcome.DONE, outcomes.Outcome.NOT_RUN}),
    )


@pytest.mark.parametrize(
    ("arguments", "flag"),
    [
        (["log", "--listen", "here"], "--listen"),
        (["engine", "--serve", "fast"], "--serve"),
        (["engine", "--quality", "fast@1=2"], "--quality"),
        (["hosts", "--host", "a,b"], "--host"),
    ],
)
def test_bad_settings_name_the_flag(
    capsys: pytest.CaptureFixture[str], arguments: list[str], flag: str
) -> None:
    code = main.main(arguments)
    assertions.assert_that(code, matchers.Equals(2))
    assertions.assert_that(capsys.readouterr().err, matchers.Contains(flag))


def test_variables_set_flags_that_are_not_given(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("HOISTMOOR_STANDIN_SERVE", "a@1=0.5 b@2")
    monkeypatch.setenv("HOISTMOOR_STANDIN_TOKEN_TIME", "0.5")
    flags = main.cappa.parse(
        main.Standin, argv=["engine", "--token-time", "0.1"]
    )
    settings = flags.command.settings()
    assertions.assert_that(
        settings.quality, matchers.Equals({"a@1": 0.5, "b@2": 0.9})
    )
    assertions.assert_that(settings.token_time, matchers.Equals(0.1))
