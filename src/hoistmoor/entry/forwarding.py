"""Passes a request on to the host that a key or ticket belongs to."""

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

_HOP_HEADERS = frozenset(
    {"connection", "transfer-encoding", "content-length", "date", "server"}
)
_OWN_HEADERS = frozenset({"host", "content-length", "connection"})


class Forwarder:
    """Sends a request to another entry host once, and its answer back."""

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
        shared: request_types.Envelope,
        target: permits.ForwardTo,
        now: float,
    ) -> web.StreamResponse:
        """Returns the other host's answer, or a refusal.

        Args:
            http: The caller's request.
            body: Its body.
            shared: Its checked envelope.
            target: The other host.
            now: Seconds since the epoch.
        """
        headers = {
            name: value
            for name, value in http.headers.items()
            if name.lower() not in _OWN_HEADERS
        }
        headers[parsing.FORWARDED_HEADER] = self._host
        timeout = aiohttp.ClientTimeout(
            total=max(0.1, shared.deadline - now), connect=1.0
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
            ) as answer:
                return await _pass_back(http, answer)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return responses.refusal_response(
                _lost(error), str(shared.request_id)
            )


async def _pass_back(
    http: web.Request, answer: aiohttp.ClientResponse
) -> web.StreamResponse:
    headers = {
        name: value
        for name, value in answer.headers.items()
        if name.lower() not in _HOP_HEADERS
    }
    response = web.StreamResponse(status=answer.status, headers=headers)
    await response.prepare(http)
    async for data in answer.content.iter_any():
        await response.write(data)
    await response.write_eof()
    return response


def _lost(error: Exception) -> refusals.Refusal:
    """Returns the refusal where the other host's answer did not come."""
    unsent = isinstance(error, aiohttp.ClientConnectorError)
    outcome = outcomes.Outcome.NOT_RUN if unsent else outcomes.Outcome.UNKNOWN
    return refusals.Refusal(
        refusals.Reason.KEY_IN_PROGRESS,
        outcome,
        "the host that holds this key did not answer",
        key_outcome=outcomes.Outcome.UNKNOWN,
    )
