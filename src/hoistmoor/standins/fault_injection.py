"""Injects the active faults into the handling of requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatch

from aiohttp import web

from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import responses

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

FAULTS = web.AppKey("faults", fault_registry.FaultRegistry)
OTHER_ATTEMPT_ID = "someone.else.1"  # Attempt id in crossed and late responses.

_EXEMPT_PREFIX = "/_"  # Paths for tests and checkers, without faults.
_REQUEST_FAULTS = web.RequestKey("due", list)
_POLL_INTERVAL = 0.02  # Seconds between checks of whether a fault is active.
_UNSOLICITED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"X-Attempt-Id: %b\r\nContent-Length: 2\r\n\r\n{}"
    % OTHER_ATTEMPT_ID.encode()
)


@web.middleware
async def inject_faults(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Handles a request with the handler wrapped in the faults that apply."""
    if request.path.startswith(_EXEMPT_PREFIX):
        return await handler(request)
    active = request.app[FAULTS].count_request(request.method, request.path)
    if not active:
        return await handler(request)
    request[_REQUEST_FAULTS] = active
    for fault in active:
        handler = _wrap(fault, handler)
    return await handler(request)


def find_fault(
    request: web.Request, cls: type[fault_registry._T]
) -> fault_registry._T | None:
    """Returns the fault of a kind that applies to this request, if any."""
    for fault in request.get(_REQUEST_FAULTS, ()):
        if isinstance(fault, cls):
            return fault
    return None


def close_connection(request: web.Request) -> None:
    """Closes the connection of a request after flushing its output."""
    if request.transport is not None:
        request.transport.close()


class ResponseWriter:
    """Writes a streamed response and ends it early if a fault applies."""

    def __init__(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        self.request = request
        self.response = response
        self.fault = find_fault(request, faults.CutAfterBytes)
        self.remaining_bytes = self.fault.bytes if self.fault else 0

    async def prepare(self) -> None:
        """Sends the head of the response.

        Raises:
            ConnectionError: The connection is cut, by either side.
        """
        await self.response.prepare(self.request)
        await self.write(b"")

    async def write(self, data: bytes) -> None:
        """Sends a part of the body.

        Raises:
            ConnectionError: The connection is cut, by either side.
        """
        if self.fault is None:
            if data:
                await self.response.write(data)
            return
        part = data[: self.remaining_bytes]
        self.remaining_bytes -= len(part)
        if part:
            await self.response.write(part)
        if not self.remaining_bytes:
            await self._end_early(self.fault)

    async def _end_early(self, fault: faults.CutAfterBytes) -> None:
        if fault.hang:
            await wait_until_cleared(self.request, fault)
        close_connection(self.request)
        raise ConnectionResetError("connection closed by an injected fault")


async def wait_until_cleared(request: web.Request, fault: faults.Fault) -> None:
    """Waits until the fault is cleared or the caller disconnects."""
    book = request.app[FAULTS]
    while book.is_active(fault) and request.transport is not None:
        await asyncio.sleep(_POLL_INTERVAL)


async def _send_truncated(
    request: web.Request, response: web.Response
) -> web.StreamResponse:
    body = response.body if isinstance(response.body, bytes) else b""
    stream = web.StreamResponse(
        status=response.status, headers=response.headers
    )
    stream.content_length = len(body)
    writer = ResponseWriter(request, stream)
    try:
        await writer.prepare()
        await writer.write(body)
    except ConnectionError:
        return stream
    return stream


@singledispatch
def _wrap(fault: faults.Fault, handler: Handler) -> Handler:
    """Returns a handler that injects ``fault`` into ``handler``."""
    return handler


@_wrap.register
def _(fault: faults.Delay, handler: Handler) -> Handler:
    async def delayed(request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(fault.seconds)
        return await handler(request)

    return delayed


@_wrap.register
def _(fault: faults.Outage, handler: Handler) -> Handler:
    async def unavailable(request: web.Request) -> web.StreamResponse:
        await request.read()
        return responses.json_response({"error": "outage"}, 503)

    return unavailable


@_wrap.register
def _(fault: faults.Freeze, handler: Handler) -> Handler:
    async def frozen(request: web.Request) -> web.StreamResponse:
        await wait_until_cleared(request, fault)
        return await handler(request)

    return frozen


@_wrap.register
def _(fault: faults.ApplyButLoseReply, handler: Handler) -> Handler:
    async def without_response(request: web.Request) -> web.StreamResponse:
        response = await handler(request)
        if fault.hang:
            await wait_until_cleared(request, fault)
        close_connection(request)
        return response

    return without_response


@_wrap.register
def _(fault: faults.CutBeforeAnswer, handler: Handler) -> Handler:
    async def cut_early(request: web.Request) -> web.StreamResponse:
        await request.read()
        close_connection(request)
        return web.Response()

    return cut_early


@_wrap.register
def _(fault: faults.CutAfterBytes, handler: Handler) -> Handler:
    async def truncated(request: web.Request) -> web.StreamResponse:
        response = await handler(request)
        if not isinstance(response, web.Response) or response.prepared:
            return response
        return await _send_truncated(request, response)

    return truncated


@_wrap.register
def _(fault: faults.CrossedHead, handler: Handler) -> Handler:
    async def crossed(request: web.Request) -> web.StreamResponse:
        response = await handler(request)
        response.headers[responses.ATTEMPT_HEADER] = OTHER_ATTEMPT_ID
        return response

    return crossed


@_wrap.register
def _(fault: faults.LateAnswer, handler: Handler) -> Handler:
    async def followed_by_response(request: web.Request) -> web.StreamResponse:
        response = await handler(request)
        await response.prepare(request)
        await response.write_eof()
        if request.transport is not None:
            request.transport.write(_UNSOLICITED_RESPONSE)
        return response

    return followed_by_response


@_wrap.register
def _(fault: faults.Decline, handler: Handler) -> Handler:
    async def declined(request: web.Request) -> web.StreamResponse:
        await request.read()
        response = responses.not_run_response("declined")
        responses.echo_attempt_id(request, response)
        return response

    return declined
