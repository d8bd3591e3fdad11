"""Reads the body of an answer and knows whether it is whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.clients import frames
from hoistmoor.clients import replies

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

_BODILESS = frozenset({204, 304})
_SETTLE_TIMEOUT = 0.2  # Seconds from the end mark to the end of the body.


class AnswerBody:
    """The body of one answer: events of a stream, or some bytes at a time.

    Attributes:
        is_whole: Whether the end mark of a stream was read, or all of a body
            whose end can be told from a cut.
        dropped: Events dropped because they belong to another attempt.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        method: str,
        attempt_id: str,
        *,
        has_end_mark: bool = True,
    ) -> None:
        self.is_whole = False
        self.dropped = 0
        self._response = response
        self._method = method
        self._attempt_id = attempt_id
        self._has_end_mark = has_end_mark

    async def read(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body; look at ``is_whole`` at each.

        Raises:
            EventTooLargeError: An event exceeds its bound.
            aiohttp.ClientError: The connection broke.
            TimeoutError: The rest did not come in time.
        """
        is_stream = self._response.content_type == frames.EVENT_STREAM
        if is_stream and self._has_end_mark:
            async for event in self._read_events():
                yield event
            return
        async for data in self._response.content.iter_any():
            yield data
        # A connection that was reset has raised by now; one that was closed
        # ends an answer without a length, if the servers are known to do so.
        self.is_whole = self._has_length() or not self._has_end_mark

    async def settle(self) -> None:
        """Waits shortly for the end of the body after the end mark.

        The connection can be reused only after that.
        """
        try:
            async with asyncio.timeout(_SETTLE_TIMEOUT):
                await self._response.content.readany()
        except replies.TRANSPORT_ERRORS:
            self._response.close()

    async def _read_events(self) -> AsyncIterator[bytes]:
        splitter = frames.EventSplitter()
        async for data in self._response.content.iter_any():
            for event in splitter.feed(data):
                payload = frames.payload_of(event)
                if frames.is_end_mark(payload):
                    self.is_whole = True
                    yield event
                    return
                if frames.belongs_to(payload, self._attempt_id):
                    yield event
                else:
                    self.dropped += 1

    def _has_length(self) -> bool:
        """Returns whether the end of the body can be told from a cut."""
        headers = self._response.headers
        if self._method == "HEAD" or self._response.status in _BODILESS:
            return True
        if "Content-Length" in headers:
            return True
        return "chunked" in headers.get("Transfer-Encoding", "").lower()
