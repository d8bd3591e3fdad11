"""Response to a caller: started at most once, then completed or aborted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import HttpVersion11
from aiohttp import web

from hoistmoor.core import outcomes
from hoistmoor.relay.front import forwarding

if TYPE_CHECKING:
    from asyncio import WriteTransport
    from collections.abc import Callable

    from hoistmoor.clients import exchange as exchange_lib
    from hoistmoor.core import refusals
    from hoistmoor.relay.front import held_bytes


class CallerResponse:
    """Writes the response to one request.

    Attributes:
        response: The HTTP response; None until it has been started.
        keep_open: Whether the connection may be reused after the response.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        keep_open: bool,
        retry_after_for: Callable[[refusals.Reason], float],
    ) -> None:
        """Initializes a response without sending anything.

        Args:
            request: Request to respond to.
            keep_open: Whether the connection may be reused.
            retry_after_for: Returns the Retry-After delay in seconds for a
                refusal reason.
        """
        self.response: web.StreamResponse | None = None
        self._buffer: held_bytes.StreamBuffer | None = None
        self._request = request
        self.keep_open = keep_open
        self._wait_for = retry_after_for

    async def start(
        self,
        head: exchange_lib.ResponseHead,
        open_buffer: Callable[[WriteTransport], held_bytes.StreamBuffer],
        *,
        is_resumable: bool,
    ) -> None:
        """Sends a server's response head; the body follows as it comes.

        Args:
            head: Head of the response.
            open_buffer: Returns the buffer of a stream to a transport.
            is_resumable: Whether another server may send the rest, so that the
                length of the body is not known.
        """
        response = web.StreamResponse(
            status=head.status, headers=forwarding.without_hop(head.headers)
        )
        length = head.headers.get("Content-Length", "")
        if length and not is_resumable:
            response.content_length = int(length)
        elif is_resumable or self._request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        await self._prepare(response)
        if self._request.transport is not None:
            self._buffer = open_buffer(self._request.transport)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body, applying back-pressure."""
        assert self.response is not None
        if self._buffer is None:
            await self.response.write(data)
            return
        self._buffer.before_write(len(data))
        await self.response.write(data)
        self._buffer.after_write()

    def close(self) -> None:
        """Releases what is held for the response."""
        if self._buffer is not None:
            self._buffer.close()

    async def end(self) -> web.StreamResponse:
        """Completes a response that has been started."""
        assert self.response is not None
        if self._buffer is not None:
            self._buffer.before_end()
        await self.response.write_eof()
        return self.response

    async def deliver(
        self, head: exchange_lib.ResponseHead, body: bytes
    ) -> web.StreamResponse:
        """Sends a complete response of a server."""
        response = web.Response(
            status=head.status,
            headers=forwarding.without_hop(head.headers),
            body=body,
        )
        await self._prepare(response)
        await response.write_eof()
        return response

    async def refuse(self, refusal: refusals.Refusal) -> web.StreamResponse:
        """Sends a refusal; its status shows whether the request has run."""
        response = web.json_response(
            {
                "reason": refusal.reason.value,
                "outcome": refusal.outcome.value,
                "detail": refusal.detail,
                "remedy": refusal.rule.remedy,
            },
            status=_status_of(refusal),
        )
        if refusal.outcome is outcomes.Outcome.NOT_RUN:
            wait = refusal.retry_after or self._wait_for(refusal.reason)
            response.headers["Retry-After"] = f"{wait:.3f}"
        await self._prepare(response)
        await response.write_eof()
        return response

    def abort(self) -> web.StreamResponse:
        """Aborts the connection, so that the response looks incomplete."""
        assert self.response is not None
        self.response.force_close()
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response

    async def _prepare(self, response: web.StreamResponse) -> None:
        if not self.keep_open:
            response.force_close()
        self.response = response
        await response.prepare(self._request)


def _status_of(refusal: refusals.Refusal) -> int:
    """Returns the status code of a refusal.

    503 guarantees that the request has not run. Other gateway codes guarantee
    nothing: a request that is known not to have run gets 503 instead, and one
    that may have run gets 502 instead of 503.
    """
    status = int(refusal.rule.status)
    if status >= 500 and refusal.outcome is outcomes.Outcome.NOT_RUN:
        return 503
    if status == 503:
        return 502
    return status
