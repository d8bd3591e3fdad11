"""A single attempt to run a request at a backend server, in its own task."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import Protocol, TYPE_CHECKING

from hoistmoor.clients import exchange as exchange_lib
from hoistmoor.clients import exchange_errors
from hoistmoor.core import outcomes
from hoistmoor.core.requests import chunks
from hoistmoor.core.requests import messages

if TYPE_CHECKING:
    import aiohttp

    from hoistmoor.core import identity
    from hoistmoor.core.requests import wire
    from hoistmoor.entry import channel as channel_lib

_OK = 200
# The connection is dropped this long after the deadline of the request.
_DEADLINE_GRACE_SECONDS = 1.0


class Inbox(Protocol):
    """The inbox of a request, to which its attempts post events."""

    def post(self, event: messages.Event) -> None:
        """Queues an event without waiting."""


class Attempt:
    """Owns the exchange with the backend server for one attempt.

    Attributes:
        attempt_id: Identifies the attempt.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        attempt_id: identity.AttemptId,
        backend_request: wire.BackendRequest,
        timeout: float,
        channel: channel_lib.Channel,
        inbox: Inbox,
    ) -> None:
        """Prepares an attempt; ``start`` sends it.

        Args:
            session: Opens the connection.
            attempt_id: Identifies the attempt.
            backend_request: The request to the backend server.
            timeout: Seconds until the deadline of the request.
            channel: Gives one credit per frame, which limits how many frames
                are read ahead of the caller.
            inbox: Inbox of the request.
        """
        self.attempt_id = attempt_id
        self._backend_request = backend_request
        self._channel = channel
        self._inbox = inbox
        self._status = _OK
        self._content_type = ""
        self._chunk_parser = chunks.ChunkParser()
        self._exchange = exchange_lib.Exchange(
            session,
            exchange_lib.HttpRequest(
                backend_request.method,
                backend_request.url,
                str(attempt_id),
                backend_request.headers,
                backend_request.body,
            ),
            exchange_lib.Timeouts(total=timeout + _DEADLINE_GRACE_SECONDS),
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def state(self) -> outcomes.ExchangeState:
        """The state that the exchange has reached."""
        return self._exchange.state

    @property
    def dropped_parts(self) -> int:
        """Number of heads and events of other attempts that were dropped."""
        return self._exchange.dropped_parts

    def start(self) -> None:
        """Starts the exchange."""
        self._task = asyncio.create_task(
            self._run(), name=f"attempt {self.attempt_id}"
        )

    def cancel(self) -> None:
        """Cancels the attempt; its connection is closed and never reused."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            await self._read()
        except exchange_errors.ExchangeError as error:
            self._fail(error.state, error.problem)

    async def _read(self) -> None:
        async with self._exchange as exchange:
            async for part in exchange:
                await self._on_part(part)

    @singledispatchmethod
    async def _on_part(self, part: object) -> None:
        raise NotImplementedError(type(part))

    @_on_part.register
    async def _(self, part: exchange_lib.ResponseHead) -> None:
        self._status = part.status
        self._content_type = part.headers.get("Content-Type", "")

    @_on_part.register
    async def _(self, part: exchange_lib.BodyChunk) -> None:
        if self._is_failed_stream:
            return
        if self._backend_request.is_streaming:
            if chunks.event_payload(part.data) == chunks.DONE:
                return
            self._chunk_parser.read(part.data)
        await self._channel.acquire_credit()
        self._inbox.post(messages.FrameReceived(self.attempt_id, part.data))

    @_on_part.register
    async def _(self, part: exchange_lib.ResponseEnd) -> None:
        if self.state is outcomes.ExchangeState.DECLINED:
            reason = self._exchange.not_run_reason or "no reason given"
            self._fail(self.state, f"the backend server declined: {reason}")
            return
        if self._is_failed_stream:
            self._fail(
                outcomes.ExchangeState.ANSWERED,
                f"the engine answered {self._status}",
            )
            return
        if (
            self._backend_request.is_streaming
            and not self._chunk_parser.is_complete
        ):
            self._fail(
                outcomes.ExchangeState.ANSWERING,
                "the engine's stream ended without a finish reason",
            )
            return
        self._inbox.post(
            messages.ResponseCompleted(self.attempt_id, self._metadata)
        )

    @property
    def _is_failed_stream(self) -> bool:
        # A response that is not streamed is passed on with any status.
        return self._backend_request.is_streaming and self._status != _OK

    @property
    def _metadata(self) -> messages.ResponseMetadata:
        if self._backend_request.is_streaming:
            return self._chunk_parser.metadata
        return messages.ResponseMetadata(self._status, self._content_type)

    def _fail(self, state: outcomes.ExchangeState, detail: str) -> None:
        self._inbox.post(messages.AttemptFailed(self.attempt_id, state, detail))
