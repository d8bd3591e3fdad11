"""HTTP client for requests to other relays."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp

from hoistmoor.clients import service_client
from hoistmoor.core.relay.links import forwarders
from hoistmoor.relay.links import forward_headers
from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import replication
    from hoistmoor.relay import state as state_lib

# Seconds to connect, and to receive each part of a response. Hosts of the same
# failure domain have low latency.
TIMEOUT = 0.3
# Seconds for a complete response, such as a configuration of 90 KB that is sent
# to many hosts at once.
TOTAL_TIMEOUT = 1.0
# Seconds for another host to probe a server and some more, all at once.
QUESTION_TIMEOUT = 0.6


class PeerClient:
    """Sends requests to other relays over persistent connections."""

    def __init__(
        self, state: state_lib.RelayState, session: aiohttp.ClientSession
    ) -> None:
        self._state = state
        self._session = session

    async def ask(
        self, host: replication.Host, question: peer_codec.CopyRequest
    ) -> peer_codec.CopyAnswer | None:
        """Returns a host's response, or None if the request failed."""
        try:
            return await self._exchange(host, peer_codec.encode(question))
        except (*service_client.TRANSPORT_ERRORS, ValueError) as error:
            self._state.log.write(
                "host_silent", peer=host.name, detail=repr(error)
            )
            return None

    async def ask_whether_reachable(
        self, host: replication.Host, identity: str
    ) -> forwarders.ForwardResult:
        """Returns whether another host reaches a server.

        Args:
            host: The other host.
            identity: Identity of the server.
        """
        try:
            async with self._session.get(
                f"http://{host.address}/",
                headers={forward_headers.QUESTION: identity},
                timeout=aiohttp.ClientTimeout(
                    total=QUESTION_TIMEOUT, connect=TIMEOUT
                ),
            ) as response:
                return forward_headers.parse_result(response.headers)
        except service_client.TRANSPORT_ERRORS:
            return forwarders.ForwardResult.SILENT

    async def _exchange(
        self, host: replication.Host, body: bytes
    ) -> peer_codec.CopyAnswer:
        async with self._session.post(
            f"http://{host.address}/topics",
            data=body,
            timeout=aiohttp.ClientTimeout(
                total=TOTAL_TIMEOUT, connect=TIMEOUT, sock_read=TIMEOUT
            ),
        ) as response:
            if response.status != HTTPStatus.OK:
                raise ValueError(f"status {response.status}")
            return peer_codec.decode_answer(await response.read())
