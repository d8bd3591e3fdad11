"""Writes the response of a request's task to the caller's connection."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from aiohttp import web

from hoistmoor.core.requests import chunks
from hoistmoor.core.requests import request_types
from hoistmoor.core.requests import wire
from hoistmoor.entry import channel as channel_lib
from hoistmoor.entry import responses
from hoistmoor.entry import session_affinity as session_affinity_lib

if TYPE_CHECKING:
    from hoistmoor.core.requests import messages
    from hoistmoor.entry import components as components_lib
    from hoistmoor.entry import request_receiver

_MS_PER_SECOND = 1000.0


class Delivery:
    """Delivers one response to its caller, as a stream or in one piece."""

    def __init__(
        self,
        parts: components_lib.Components,
        running: request_receiver.RunningRequest,
        http: web.Request,
    ) -> None:
        self._parts = parts
        self._task = running.task
        self._pin = running.pin
        self._http = http
        self._request = running.task.machine.request
        self._frames: list[bytes] = []
        self._response: web.StreamResponse | None = None
        self._ended = False

    async def deliver(self) -> web.StreamResponse:
        """Sends the response, and returns it once it is complete.

        Raises:
            CancelledError: The caller disconnected.
            ConnectionError: The caller's connection failed.
        """
        try:
            while not self._ended:
                item = await self._task.channel.get()
                await self._on_item(item)
        except (asyncio.CancelledError, ConnectionError):
            self._task.on_caller_left()
            self._parts.metrics.count("request.cancelled")
            raise
        assert self._response is not None
        self._parts.metrics.timing("request.time", self._elapsed)
        return self._response

    @property
    def _elapsed(self) -> float:
        """Milliseconds since the request arrived."""
        seconds = self._parts.clock() - self._request.envelope.arrived
        return seconds * _MS_PER_SECOND

    @property
    def _streams(self) -> bool:
        request = self._request
        return isinstance(request, request_types.ChatRequest) and request.stream

    @property
    def _id(self) -> str:
        return self._task.machine.decision.request_id

    @singledispatchmethod
    async def _on_item(self, item: object) -> None:
        raise NotImplementedError(type(item))

    @_on_item.register
    async def _(self, item: channel_lib.Frame) -> None:
        if self._streams:
            await self._write(item.data)
        else:
            self._frames.append(item.data)
        self._task.channel.release_credit()

    @_on_item.register
    async def _(self, item: channel_lib.Completed) -> None:
        self._ended = True
        if self._streams:
            await self._write(chunks.encode_event(chunks.DONE))
            await self._finish_stream()
            return
        await self._send_complete(item.metadata)

    @_on_item.register
    async def _(self, item: channel_lib.Refused) -> None:
        self._ended = True
        self._parts.metrics.refusal(item.refusal.reason)
        if self._response is None:
            self._response = responses.refusal_response(item.refusal, self._id)
            return
        await self._write(responses.refusal_event(item.refusal, self._id))
        await self._finish_stream()

    async def _write(self, data: bytes) -> None:
        if self._response is None:
            self._response = await self._start_stream()
        await self._response.write(data)

    async def _start_stream(self) -> web.StreamResponse:
        response = web.StreamResponse(headers=await self._response_headers())
        response.content_type = wire.SSE
        await response.prepare(self._http)
        self._parts.metrics.timing("request.first_byte", self._elapsed)
        return response

    async def _finish_stream(self) -> None:
        assert self._response is not None
        await self._response.write_eof()

    async def _send_complete(self, metadata: messages.ResponseMetadata) -> None:
        headers = await self._response_headers()
        body, content_type = chunks.assemble_response(
            self._request, self._task.machine.decision, self._frames, metadata
        )
        headers["Content-Type"] = content_type or wire.JSON
        self._response = web.Response(
            body=body, status=metadata.status, headers=headers
        )

    async def _response_headers(self) -> dict[str, str]:
        decision = self._task.machine.decision
        why = decision.choice.reason if decision.choice else ""
        headers = {
            responses.REQUEST_ID_HEADER: self._id,
            responses.VERSION_HEADER: responses.to_header_value(
                decision.version
            ),
            responses.REASON_HEADER: responses.to_header_value(why),
            responses.OUTCOME_HEADER: "done",
        }
        if self._pin is not None:
            headers |= await self._session_headers(self._pin)
        return headers

    async def _session_headers(
        self, pin: session_affinity_lib.SessionPin
    ) -> dict[str, str]:
        envelope = self._request.envelope
        assert isinstance(self._request, request_types.ChatRequest)
        version = self._task.machine.decision.version
        sessions = self._parts.sessions
        if envelope.session and version != pin.version:
            version = await sessions.pin_version(
                envelope.account, pin.session, self._request.model, version
            )
        token = sessions.make_token(
            envelope.account, pin.session, self._request.model, version
        )
        headers = {responses.SESSION_HEADER: token}
        previous = _previous_version(pin, version)
        if previous:
            self._parts.metrics.count("session.moved")
            headers[responses.SESSION_MOVED_HEADER] = f"from {previous}"
        return headers


def _previous_version(
    pin: session_affinity_lib.SessionPin, version: str
) -> str | None:
    """Returns the version that a session moves from, if it moves.

    Args:
        pin: The pin of the session, as found when the request arrived.
        version: The version that generated the response.
    """
    if pin.version and pin.version != version:
        # The pinned version was withdrawn after the pin was found.
        return pin.version
    return pin.moved_from
