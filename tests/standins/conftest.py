"""Fixtures of the stand-ins' tests."""

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
from hoistmoor.standins import fault_book
from hoistmoor.standins import fault_points
from hoistmoor.standins import programs
from hoistmoor.standins import runner
from hoistmoor.standins import service

_BOUND = 60.0  # Seconds; only ends a test that hangs.
_CHAT = "/v1/chat/completions"


@attrs.frozen
class Rig:
    """A running stand-in, a session to talk to it, and its faults."""

    url: str
    session: aiohttp.ClientSession
    book: fault_book.FaultBook

    async def ask(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        """Returns the status and the JSON body of an answer."""
        named = {key.replace("_", "-"): headers[key] for key in headers}
        async with self.session.request(
            method, self.url + path, json=body, headers=named
        ) as reply:
            return reply.status, orjson.loads(await reply.read() or b"null")

    async def chat(
        self, text: str = "hello", attempt: str = "h.1.1.1", **fields: Any
    ) -> tuple[int, Any]:
        """Returns the status and the JSON body of a completion."""
        return await self.ask(
            "POST",
            _CHAT,
            self.chat_body(text, **fields),
            X_Attempt_Id=attempt,
        )

    async def stream(
        self, attempt: str = "h.1.1.1"
    ) -> tuple[exchange.Exchange, list[bytes]]:
        """Returns the exchange of a streamed completion, and its frames."""
        body = orjson.dumps(self.chat_body(stream=True))
        request = exchange.BackendRequest(
            "POST", self.url + _CHAT, attempt, body=body
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
        """Returns what the stand-in ran."""
        _, listing = await self.ask("GET", "/_executions")
        rows: list[dict[str, Any]] = listing["executions"]
        return rows

    async def has_run(self, count: int) -> None:
        """Returns once the stand-in has begun so many requests."""
        async with asyncio.timeout(_BOUND):
            while len(await self.executions()) < count:
                await asyncio.sleep(0)


Start = Callable[[runner.Program], Coroutine[Any, Any, Rig]]


@pytest.fixture
async def start() -> AsyncIterator[Start]:
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(sessions.make_session())

        async def run(program: runner.Program) -> Rig:
            address = await stack.enter_async_context(runner.running(program))
            book = program.application[fault_points.FAULTS]
            return Rig(f"http://{address}", session, book)

        yield run


@pytest.fixture
def start_engine(start: Start) -> Callable[..., Coroutine[Any, Any, Rig]]:
    async def run(**changes: Any) -> Rig:
        settings = engine.EngineSettings(
            name="engine-1",
            incarnation=7,
            quality={"fast@1": 1.0},
            loaded=frozenset({"fast@1"}),
            token_time=0.0,
            prefill_time=0.0,
            report_interval=0.0,
        )
        return await start(programs.engine(attrs.evolve(settings, **changes)))

    return run


@pytest.fixture
def start_service(start: Start) -> Callable[..., Coroutine[Any, Any, Rig]]:
    async def run(**changes: Any) -> Rig:
        settings = service.ServiceSettings(
            name="counter-1", incarnation=7, report_interval=0.0
        )
        return await start(programs.service(attrs.evolve(settings, **changes)))

    return run
