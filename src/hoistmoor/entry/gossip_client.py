"""Calls to peers, as requested by the membership state machine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core.membership import messages
from hoistmoor.peers import digest_codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.peers import client


class GossipClient:
    """Calls peers and returns the results as membership messages."""

    def __init__(
        self, clients: client.PeerClientPool, clock: Callable[[], float]
    ) -> None:
        self._clients = clients
        self._clock = clock

    async def ping(
        self, ping: messages.Ping
    ) -> messages.PingReplied | messages.PingFailed:
        """Exchanges membership digests with a peer."""
        sent_at = self._clock()
        try:
            reply = await self._clients.get(ping.address).ping(
                digest_codec.to_wire(ping.digest)
            )
        except errors.HoistmoorError:
            return messages.PingFailed(ping.target, sent_at, ping.digest)
        digest = digest_codec.from_wire(reply)
        return messages.PingReplied(ping.target, sent_at, digest)

    async def relay(
        self, relay: messages.IndirectPing
    ) -> messages.IndirectPingResult:
        """Asks several peers concurrently to ping a host."""
        sent_at = self._clock()
        results = await asyncio.gather(
            *(self._ping_through(helper, relay) for helper in relay.helpers)
        )
        return messages.IndirectPingResult(
            relay.target,
            sent_at,
            reached=any(results),
            helpers=sum(result is not None for result in results),
        )

    async def _ping_through(
        self, helper: str, relay: messages.IndirectPing
    ) -> bool | None:
        try:
            peer = self._clients.get(helper)
            return await peer.ping_for(relay.target, relay.address)
        except errors.HoistmoorError:
            return None

    async def fetch_table(
        self, fetch: messages.FetchTable, revision: int
    ) -> bytes:
        """Returns a peer's table if it is newer than ``revision``.

        Raises:
            PeerError: The peer did not respond.
        """
        return await self._clients.get(fetch.address).fetch_table(revision)
