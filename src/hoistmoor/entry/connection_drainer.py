"""Closes callers' connections without losing a request that is in flight.

If a host closes a keep-alive connection just as the caller sends its next
request, the caller cannot know whether the request ran. So the host first keeps
responding for a while that it is stopping, closing each connection with that
response. It then stops listening and exits once all connections are closed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import web

if TYPE_CHECKING:
    import socket
    import ssl

    from hoistmoor.entry import readiness as readiness_lib

REFUSE_SECONDS = 1.0  # How long new connections are accepted and refused.
IDLE_SECONDS = 1.0  # How long open connections may still send a request.
_POLL_SECONDS = 0.02


class ConnectionDrainer:
    """Closes callers' connections during a graceful stop."""

    def __init__(self, readiness: readiness_lib.Readiness) -> None:
        self._readiness = readiness

    async def on_prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Makes each response sent during a stop close its connection."""
        if self._readiness.is_stopping:
            response.force_close()
            # aiohttp has already prepared the headers, so set this one too.
            response.headers[hdrs.CONNECTION] = "close"

    async def close(
        self,
        runner: web.BaseRunner,
        site: web.BaseSite,
        listener: socket.socket,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Stops listening, and waits until callers' connections are closed.

        Args:
            runner: Tracks the open connections.
            site: Accepts new connections.
            listener: The socket that the site listens on.
            tls: TLS context of callers' connections; None without TLS.
        """
        await asyncio.sleep(REFUSE_SECONDS)
        await _accept_pending(runner, listener, tls)
        await site.stop()
        for _ in range(round(IDLE_SECONDS / _POLL_SECONDS)):
            if runner.server is None or not runner.server.connections:
                return
            await asyncio.sleep(_POLL_SECONDS)


async def _accept_pending(
    runner: web.BaseRunner,
    listener: socket.socket,
    tls: ssl.SSLContext | None,
) -> None:
    """Accepts connections in the backlog, as closing the socket resets them."""
    loop = asyncio.get_running_loop()
    assert runner.server is not None
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:  # The backlog is empty.
            return
        connection.setblocking(False)
        await loop.connect_accepted_socket(runner.server, connection, ssl=tls)
