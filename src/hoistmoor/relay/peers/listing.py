"""The list of hosts: each lists itself, and takes the others' entries.

A host lists itself on a topic of the store at its first start.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import mirror
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower as follower_lib
    from hoistmoor.relay.store import ports

LIST_RETRY = 0.5  # Seconds until a host tries again to list itself.


class HostListener:
    """Takes the hosts' own entries."""

    def __init__(
        self, state: state_lib.RelayState, sources: mirror.Sources
    ) -> None:
        self._state = state
        self._sources = sources

    def __call__(
        self, update: follower_lib.Update
    ) -> tuple[topics.Record, ...]:
        """Takes one update."""
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                self._sources.put(peer_codec.decode_host(record.value))
            except ValueError as error:
                self._state.note_unreadable("host", record, error)
        if update.batch.records:  # Most updates bring none.
            self._state.router.fleet.shares.take_hosts(self._sources.hosts)
        return update.batch.records


class SelfListing:
    """Lists this host, so that others may ask it.

    A host that is listed already, as after a restart, makes no call.

    Attributes:
        due: Set once it is known that the host is not listed.
        host: This host's entry.
        is_first_start: Whether all hosts start now for the first time, so
            that none is listed yet.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        topic: ports.KeyedTopic,
        host: mirror.Host,
        sources: mirror.Sources,
        *,
        is_first_start: bool,
    ) -> None:
        """Makes the task.

        Args:
            state: What the relay knows.
            topic: Where hosts list themselves.
            host: This host's entry.
            sources: The hosts that are listed.
            is_first_start: Whether all hosts start now for the first time.
        """
        self.due = asyncio.Event()
        self.host = host
        self.is_first_start = is_first_start
        self._state = state
        self._topic = topic
        self._sources = sources

    def is_needed(self) -> bool:
        """Returns whether the list lacks this host, or has an older entry."""
        return self._sources.hosts.get(self.host.name) != self.host

    async def run(self) -> None:
        """Lists the host once it is due."""
        entry = peer_codec.encode(self.host)
        await self.due.wait()
        while True:
            try:
                await self._topic.put(self.host.name, entry)
            except errors.HoistmoorError as error:
                self._state.log.write("listing_waits", detail=error.problem)
                await asyncio.sleep(LIST_RETRY)
            else:
                await asyncio.Event().wait()
