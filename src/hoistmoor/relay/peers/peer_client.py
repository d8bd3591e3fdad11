"""Asks other relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from hoistmoor.clients import replies
from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import mirror
    from hoistmoor.relay import state as state_lib

# Seconds for a connection, and for each part of an answer; hosts of one
# failure domain are near.
TIMEOUT = 0.3
# Seconds for a whole answer: a configuration of 90 KB to many hosts at once.
WHOLE_TIMEOUT = 1.0


class PeerClient:
    """Carries questions to other relays; keeps its connections open."""

    def __init__(
        self, state: state_lib.RelayState, session: aiohttp.ClientSession
    ) -> None:
        self._state = state
        self._session = session

    async def ask(
        self, host: mirror.Host, question: peer_codec.CopyRequest
    ) -> peer_codec.CopyAnswer | None:
        """Returns a host's answer, or None if it gave none."""
        try:
            return await self._exchange(host, peer_codec.encode(question))
        except (*replies.TRANSPORT_ERRORS, ValueError) as error:
            self._state.log.write(
                "host_silent", peer=host.name, detail=repr(error)
            )
            return None

    async def _exchange(
        self, host: mirror.Host, question: bytes
    ) -> peer_codec.CopyAnswer:
        async with self._session.post(
            f"http://{host.address}/topics",
            data=question,
            timeout=aiohttp.ClientTimeout(
                total=WHOLE_TIMEOUT, connect=TIMEOUT, sock_read=TIMEOUT
            ),
        ) as reply:
            return peer_codec.decode_answer(await reply.read())
