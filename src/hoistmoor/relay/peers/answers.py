"""Answers other relays that ask for what the store says."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from hoistmoor.core.relay.servers import limit_words
from hoistmoor.relay.peers import news_exchange
from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower as follower_lib

_FOREVER = 1e9  # Seconds; JSON has no infinity.


class PeerAnswers:
    """Answers other hosts."""

    def __init__(
        self,
        state: state_lib.RelayState,
        followers: dict[str, follower_lib.TopicFollower],
    ) -> None:
        self._state = state
        self._followers = followers

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one question."""
        try:
            asked = peer_codec.decode_request(await request.read())
        except ValueError:
            return web.Response(status=400)
        return web.Response(body=peer_codec.encode(self.answer(asked)))

    def answer(self, asked: peer_codec.CopyRequest) -> peer_codec.CopyAnswer:
        """Returns what is new to the other host."""
        self._state.history.learn(asked.era, asked.host)
        if asked.configuration is not None:
            self._followers["operator"].hold(asked.configuration)
        copies = {}
        for name, place in asked.places.items():
            follower = self._followers.get(name)
            new = follower.mirror.copy_from(place) if follower else None
            if follower is not None and new is not None:
                outage = min(follower.after_outage, _FOREVER)
                age = min(follower.age(), _FOREVER)
                copies[name] = peer_codec.TopicCopy(new, outage, age)
        for evidence in asked.evidence:
            self._state.evidence.take(evidence)
        now = self._state.clock()
        rollouts = self._state.router.rollouts
        rollouts.take_ages(asked.order_ages, now)
        outstanding = self._state.outstanding
        outstanding.take(asked.host, asked.work, now)
        fleet = self._state.router.fleet
        own = fleet.own_work()
        self._state.server_beliefs.take_limits(asked.limits, now)
        return peer_codec.CopyAnswer(
            self._state.depth,
            copies,
            outstanding.told_to(asked.host, own, now),
            self._state.look_for_doubts(asked.doubts),
            rollouts.ages(now),
            self._exchange_news(asked.news),
            limit_words.told_by(fleet, now),
            self._state.history.era,
            self._state.revision,
            self._configuration_for(asked, copies),
        )

    def _configuration_for(
        self,
        asked: peer_codec.CopyRequest,
        copies: dict[str, peer_codec.TopicCopy],
    ) -> topics.Record | None:
        """Returns the configuration that the other host lacks, if it does."""
        held = self._state.configuration_record
        if held is None or asked.revision >= self._state.revision:
            return None
        copy = copies.get("operator")
        if copy is None or held in copy.batch.records:
            return None
        return held

    def _exchange_news(self, told: peer_codec.News) -> peer_codec.News:
        """Takes what the other host tells; returns what is new here."""
        news_exchange.take(self._state, told, self._state.clock())
        # What it told just now comes back to it once and changes nothing.
        return news_exchange.news_of(self._state, told.heard, told.until)
