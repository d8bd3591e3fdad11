"""Forwards a request to the entry host that owns its key or ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.requests import parsing
from hoistmoor.core.requests import request_types
from hoistmoor.entry import responses

if TYPE_CHECKING:
    from hoistmoor.core.once import permits
    from hoistmoor.utils import tls

_UNFORWARDED_RESPONSE_HEADERS = frozenset(
    {"connection", "transfer-encoding", "content-length", "date", "server"}
)
_UNFORWARDED_REQUEST_HEADERS = frozenset(
    {"host", "content-length", "connection"}
)


class Forwarder:
    """Forwards a request to another entry host, without retries."""

    def __init__(
        self, session: aiohttp.ClientSession, host: str, link: tls.Link
    ) -> None:
        self._session = session
        self._host = host
        self._link = link

    async def forward(
        self,
        http: web.Request,
        body: bytes,
        envelope: request_types.Envelope,
        target: permits.ForwardTo,
        now: float,
    ) -> web.StreamResponse:
        """Relays the other host's response, or returns a refusal.

        Args:
            http: The caller's request.
            body: Its body.
            envelope: Its validated envelope.
            target: The host to forward to.
            now: Seconds since the epoch.
        """
        headers = {
            name: value
            for name, value in http.headers.items()
            if name.lower() not in _UNFORWARDED_REQUEST_HEADERS
        }
        headers[parsing.FORWARDED_HEADER] = self._host
        timeout = aiohttp.ClientTimeout(
            total=max(0.1, envelope.deadline - now), connect=1.0
        )
        url = self._link.url(target.address, http.path_qs)
        try:
            async with self._session.request(
                http.method,
                url,
                data=body,
                headers=headers,
                timeout=timeout,
                ssl=self._link.verify,
            ) as peer_response:
                return await _relay_response(http, peer_response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return responses.refusal_response(
                _failure_refusal(error), str(envelope.request_id)
            )


async def _relay_response(
    http: web.Request, peer_response: aiohttp.ClientResponse
) -> web.StreamResponse:
    headers = {
        name: value
        for name, value in peer_response.headers.items()
        if name.lower() not in _UNFORWARDED_RESPONSE_HEADERS
    }
    response = web.StreamResponse(status=peer_response.status, headers=headers)
    await response.prepare(http)
    async for data in peer_response.content.iter_any():
        await response.write(data)
    await response.write_eof()
    return response


def _failure_refusal(error: Exception) -> refusals.Refusal:
    """Returns the refusal for a request whose forwarding failed.

    The request certainly did not run if no connection was made. In any other
    case the other host may have run it.
    """
    unsent = isinstance(error, aiohttp.ClientConnectorError)
    outcome = outcomes.Outcome.NOT_RUN if unsent else outcomes.Outcome.UNKNOWN
    return refusals.Refusal(
        refusals.Reason.KEY_IN_PROGRESS,
        outcome,
        "the host that holds this key did not answer",
        key_outcome=outcomes.Outcome.UNKNOWN,
    )
