"""Tells this host what work the others have at the backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.relay import peer_codec

if TYPE_CHECKING:
    from hoistmoor.core.relay import mirror
    from hoistmoor.relay import peer_client
    from hoistmoor.relay import state as state_lib

# Seconds between two exchanges of the hosts that read the store themselves.
PERIOD = 0.4


class WorkExchange:
    """Exchanges sums of work with the sources of other failure domains.

    Only hosts that read the store themselves do so: the others are told the
    sums by the host that they ask.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        sources: mirror.Sources,
        client: peer_client.PeerClient,
    ) -> None:
        """Makes the task.

        Args:
            state: What the relay knows.
            sources: The other hosts.
            client: Carries the questions.
        """
        self._state = state
        self._sources = sources
        self._client = client

    async def run(self) -> None:
        """Exchanges until cancelled."""
        while True:
            await asyncio.sleep(PERIOD)
            if not self._state.source:
                await self._exchange()

    async def _exchange(self) -> None:
        state = self._state
        fleet = state.router.fleet
        question = peer_codec.CopyRequest(
            {},
            self._sources.own,
            self._sources.zone,
            state.outstanding.near(fleet.own_work(), state.clock()),
        )
        heads = self._sources.first_elsewhere(state.clock())
        await asyncio.gather(*(self._ask(head, question) for head in heads))
        now = state.clock()
        fleet.take_others_work(state.outstanding.all_others({}, now, ""), now)

    async def _ask(
        self, head: mirror.Host, question: peer_codec.CopyRequest
    ) -> None:
        answer = await self._client.ask(head, question)
        now = self._state.clock()
        if answer is None:
            self._sources.note_failed(head.name, now)
            return
        self._sources.note_answered(head.name)
        self._state.outstanding.take(head.name, head.zone, answer.work, now)
