"""Serves copies of the store's topics to other relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from hoistmoor.core.relay.servers import limit_gossip
from hoistmoor.relay.links import forward_headers
from hoistmoor.relay.peers import change_exchange
from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower as follower_lib

    _Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# A request with one of these headers is for a server.
_FORWARDING = frozenset({forward_headers.SERVER, forward_headers.QUESTION})
# Bytes of one request, which holds the counts of all hosts behind its sender.
MAX_MESSAGE_BYTES = 4_194_304
_FOREVER = 1e9  # Seconds; JSON cannot represent infinity.


class PeerRequestHandler:
    """Handles the requests of other hosts."""

    def __init__(
        self,
        state: state_lib.RelayState,
        followers: dict[str, follower_lib.TopicFollower],
        forward: _Handler | None = None,
    ) -> None:
        """Initializes the handler.

        Args:
            state: Shared state of the relay.
            followers: Followers of the store's topics, by topic name.
            forward: Handles requests to be forwarded to servers.
        """
        self._state = state
        self._forward = forward
        self._followers = followers

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles an HTTP request."""
        if self._forward is not None and not _FORWARDING.isdisjoint(
            request.headers
        ):
            return await self._forward(request)
        data = await self._read(request)
        if data is None:
            return web.Response(status=413)
        try:
            copy_request = peer_codec.decode_request(data)
        except ValueError:
            return web.Response(status=400)
        return web.Response(body=peer_codec.encode(self.answer(copy_request)))

    async def _read(self, request: web.BaseRequest) -> bytes | None:
        """Returns the body of a request; None if it is too large."""
        parts = []
        size = 0
        async for data in request.content.iter_any():
            size += len(data)
            if size > MAX_MESSAGE_BYTES:
                self._state.log_change(
                    "message_too_large", size=size, limit=MAX_MESSAGE_BYTES
                )
                return None
            parts.append(data)
        return b"".join(parts)

    def answer(self, request: peer_codec.CopyRequest) -> peer_codec.CopyAnswer:
        """Applies the state in a request; returns what the sender lacks."""
        self._state.store_era.record_era(request.era, request.host)
        if request.configuration is not None:
            self._followers["operator"].retain(request.configuration)
        copies = {}
        for name, place in request.places.items():
            follower = self._followers.get(name)
            batch = follower.replica.changes_since(place) if follower else None
            if follower is not None and batch is not None:
                after_outage = min(follower.after_outage, _FOREVER)
                age = min(follower.age(), _FOREVER)
                copies[name] = peer_codec.TopicCopy(batch, after_outage, age)
        for evidence in request.evidence:
            self._state.evidence.merge(evidence)
        now = self._state.clock()
        rollouts = self._state.router.rollouts
        rollouts.merge_ages(request.order_ages, now)
        outstanding = self._state.outstanding
        outstanding.set_subtree(request.host, request.work, now)
        demand = self._state.demand
        demand.set_subtree(request.host, request.demand, now)
        fleet = self._state.router.fleet
        own_work = fleet.own_work()
        self._state.report_tracker.merge_limits(request.limits, now)
        return peer_codec.CopyAnswer(
            self._state.depth,
            copies,
            outstanding.total_for(request.host, own_work, now),
            self._state.update_doubted_orders(request.doubts),
            rollouts.ages(now),
            self._exchange_news(request.news),
            limit_gossip.limits_to_gossip(fleet, now),
            self._state.store_era.era,
            self._state.revision,
            self._configuration_for(request, copies),
            demand.total_for(request.host, self._state.own_demand(), now),
        )

    def _configuration_for(
        self,
        request: peer_codec.CopyRequest,
        copies: dict[str, peer_codec.TopicCopy],
    ) -> topics.Record | None:
        """Returns this host's configuration if the requesting host lacks it."""
        held = self._state.configuration_record
        if held is None or request.revision >= self._state.revision:
            return None
        copy = copies.get("operator")
        if copy is None or held in copy.batch.records:
            return None
        return held

    def _exchange_news(
        self, received: peer_codec.StateChanges
    ) -> peer_codec.StateChanges:
        """Applies received changes; returns those that the sender lacks."""
        change_exchange.merge_changes(
            self._state, received, self._state.clock()
        )
        # The changes just received are sent back once, which has no effect.
        return change_exchange.changes_since(
            self._state, received.heard, received.until
        )
