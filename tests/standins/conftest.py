"""Fixtures that run stand-ins in the process of the tests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
import contextlib
from typing import Any

import aiohttp
import attrs
import ended_exchange
import orjson
import pytest

from hoistmoor.clients import exchange
from hoistmoor.clients import sessions
from hoistmoor.standins import engine
from hoistmoor.standins import fault_injection
from hoistmoor.standins import fault_registry
from hoistmoor.standins import programs
from hoistmoor.standins import runner
from hoistmoor.standins import service

_TIMEOUT = 60.0  # Seconds after which a test that hangs fails.
_CHAT_PATH = "/v1/chat/completions"


@attrs.frozen
class RunningStandin:
    """A running stand-in, with an HTTP session and its registry of faults."""

    url: str
    session: aiohttp.ClientSession
    fault_registry: fault_registry.FaultRegistry

    async def request(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        """Sends a request; returns the response's status and JSON body."""
        header_fields = {key.replace("_", "-"): headers[key] for key in headers}
        async with self.session.request(
            method, self.url + path, json=body, headers=header_fields
        ) as response:
            return (
                response.status,
                orjson.loads(await response.read() or b"null"),
            )

    async def chat(
        self, text: str = "hello", attempt: str = "h.1.1.1", **fields: Any
    ) -> tuple[int, Any]:
        """Requests a completion; returns its status and its JSON body."""
        return await self.request(
            "POST",
            _CHAT_PATH,
            self.chat_body(text, **fields),
            X_Attempt_Id=attempt,
        )

    async def stream(
        self, attempt: str = "h.1.1.1"
    ) -> tuple[exchange.Exchange, list[bytes]]:
        """Streams a completion; returns its exchange and its frames."""
        body = orjson.dumps(self.chat_body(stream=True))
        request = exchange.HttpRequest(
            "POST", self.url + _CHAT_PATH, attempt, body=body
        )
        opened = exchange.Exchange(self.session, request)
        ended = await ended_exchange.run(opened)
        return opened, ended.chunks

    def chat_body(self, text: str = "hello", **fields: Any) -> dict[str, Any]:
        """Returns the body of a chat completion."""
        return {
            "model": "fast@1",
            "max_tokens": 4,
            "messages": [{"role": "user", "content": text}],
            **fields,
        }

    async def executions(self) -> list[dict[str, Any]]:
        """Returns the executions that the stand-in recorded."""
        _, listing = await self.request("GET", "/_executions")
        rows: list[dict[str, Any]] = listing["executions"]
        return rows

    async def wait_for_executions(self, count: int) -> None:
        """Waits until the stand-in has started ``count`` executions."""
        async with asyncio.timeout(_TIMEOUT):
            while len(await self.executions()) < count:
                await asyncio.sleep(0)


StartProgram = Callable[[runner.Program], Coroutine[Any, Any, RunningStandin]]


@pytest.fixture
async def start_program() -> AsyncIterator[StartProgram]:
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(sessions.make_session())

        async def run(program: runner.Program) -> RunningStandin:
            address = await stack.enter_async_context(
                runner.serve_program(program)
            )
            registry = program.application[fault_injection.FAULTS]
            return RunningStandin(f"http://{address}", session, registry)

        yield run


@pytest.fixture
def start_engine(
    start_program: StartProgram,
) -> Callable[..., Coroutine[Any, Any, RunningStandin]]:
    async def run(**changes: Any) -> RunningStandin:
        settings = engine.EngineSettings(
            name="engine-1",
            incarnation=7,
            quality={"fast@1": 1.0},
            loaded=frozenset({"fast@1"}),
            token_time=0.0,
            prefill_time=0.0,
            report_interval=0.0,
        )
        return await start_program(
            programs.engine(attrs.evolve(settings, **changes))
        )

    return run


@pytest.fixture
def start_service(
    start_program: StartProgram,
) -> Callable[..., Coroutine[Any, Any, RunningStandin]]:
    async def run(**changes: Any) -> RunningStandin:
        settings = service.ServiceSettings(
            name="counter-1", incarnation=7, report_interval=0.0
        )
        return await start_program(
            programs.service(attrs.evolve(settings, **changes))
        )

    return run
