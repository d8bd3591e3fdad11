"""Reads response bodies and tracks whether they are complete."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.clients import events
from hoistmoor.clients import service_client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

_BODILESS_STATUSES = frozenset({204, 304})
_DRAIN_TIMEOUT = 0.2  # Seconds from the end marker to the end of the body.


class ResponseBody:
    """The body of one response, read event by event or in byte chunks.

    Attributes:
        is_complete: Whether the end marker of a stream was read, or all of a
            body whose end can be distinguished from a truncation.
        dropped_events: Number of events dropped because they belong to another
            attempt.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        method: str,
        attempt_id: str,
        *,
        has_end_marker: bool = True,
    ) -> None:
        self.is_complete = False
        self.dropped_events = 0
        self._response = response
        self._method = method
        self._attempt_id = attempt_id
        self._has_end_marker = has_end_marker

    async def read(self) -> AsyncIterator[bytes]:
        """Yields the body in parts, updating its completeness before each.

        Raises:
            EventTooLargeError: An event exceeds the size limit.
            aiohttp.ClientError: The connection failed.
            TimeoutError: The rest of the body did not arrive in time.
        """
        is_stream = self._response.content_type == events.EVENT_STREAM
        if is_stream and self._has_end_marker:
            async for event in self._read_events():
                yield event
            return
        async for data in self._response.content.iter_any():
            yield data
        # A reset connection has already raised. A regular close ends a
        # response without a length only for servers without end markers.
        self.is_complete = self._is_delimited() or not self._has_end_marker

    async def drain(self) -> None:
        """Waits briefly for the end of the body after the end marker.

        The connection can be reused only after the body has ended.
        """
        try:
            async with asyncio.timeout(_DRAIN_TIMEOUT):
                await self._response.content.readany()
        except service_client.TRANSPORT_ERRORS:
            self._response.close()

    async def _read_events(self) -> AsyncIterator[bytes]:
        splitter = events.EventSplitter()
        async for data in self._response.content.iter_any():
            for event in splitter.feed(data):
                payload = events.read_payload(event)
                if events.is_end_marker(payload):
                    self.is_complete = True
                    yield event
                    return
                if events.belongs_to_attempt(payload, self._attempt_id):
                    yield event
                else:
                    self.dropped_events += 1

    def _is_delimited(self) -> bool:
        """Returns whether HTTP framing can reveal a truncated body."""
        headers = self._response.headers
        if (
            self._method == "HEAD"
            or self._response.status in _BODILESS_STATUSES
        ):
            return True
        if "Content-Length" in headers:
            return True
        return "chunked" in headers.get("Transfer-Encoding", "").lower()
