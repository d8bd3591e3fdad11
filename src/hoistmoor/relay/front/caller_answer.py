"""The answer to one caller: begun once, then whole or visibly cut."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from hoistmoor.core import outcomes
from hoistmoor.relay.front import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.clients import exchange as exchange_lib
    from hoistmoor.core import refusals


class CallerAnswer:
    """Writes one answer.

    Attributes:
        response: Once it has begun.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        keep_open: bool,
        wait_for: Callable[[refusals.Reason], float],
    ) -> None:
        """Makes an answer.

        Args:
            request: What is answered.
            keep_open: Whether the connection may be used again.
            wait_for: Tells after how many seconds a caller that is refused
                for a reason should come back.
        """
        self.response: web.StreamResponse | None = None
        self._request = request
        self._keep_open = keep_open
        self._wait_for = wait_for

    async def begin(self, head: exchange_lib.Head) -> None:
        """Sends a server's head; the body follows in chunks."""
        response = web.StreamResponse(
            status=head.status, headers=forwarding.to_caller(head.headers)
        )
        response.enable_chunked_encoding()
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller is slow."""
        assert self.response is not None
        await self.response.write(data)

    async def end(self) -> web.StreamResponse:
        """Ends an answer that has begun."""
        assert self.response is not None
        await self.response.write_eof()
        return self.response

    async def deliver(
        self, head: exchange_lib.Head, body: bytes
    ) -> web.StreamResponse:
        """Sends a whole answer of a server."""
        response = web.Response(
            status=head.status,
            headers=forwarding.to_caller(head.headers),
            body=body,
        )
        await self._prepare(response)
        await response.write_eof()
        return response

    async def refuse(self, refusal: refusals.Refusal) -> web.StreamResponse:
        """Sends a refusal; the status says whether the request has run."""
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

    def cut(self) -> web.StreamResponse:
        """Cuts the connection, so that the answer does not look whole."""
        assert self.response is not None
        self.response.force_close()
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response

    async def _prepare(self, response: web.StreamResponse) -> None:
        if not self._keep_open:
            response.force_close()
        self.response = response
        await response.prepare(self._request)


def _status_of(refusal: refusals.Refusal) -> int:
    """Returns the status code.

    503 promises that the request has not run. A gateway's own codes promise
    nothing, so a refusal that knows more does not use them.
    """
    status = int(refusal.rule.status)
    if status >= 500 and refusal.outcome is outcomes.Outcome.NOT_RUN:
        return 503
    if status == 503:
        return 502
    return status
