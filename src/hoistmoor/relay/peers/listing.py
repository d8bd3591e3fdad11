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
# Seconds after which a host that the store has lost lists itself though others
# should have: they are read within a second.
LIST_PATIENCE = 3.0


class HostListener:
    """Takes the hosts' own entries.

    Attributes:
        listed: Entries as the store's newest history has them, by name.
        missing: Set while that history lacks hosts that are known.
    """

    def __init__(
        self, state: state_lib.RelayState, sources: mirror.Sources
    ) -> None:
        self.listed: dict[str, mirror.Host] = {}
        self.missing = asyncio.Event()
        self._state = state
        self._sources = sources

    def __call__(
        self, update: follower_lib.Update
    ) -> tuple[topics.Record, ...]:
        """Takes one update."""
        if update.batch.is_snapshot:
            self.listed = {}
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                host = peer_codec.decode_host(record.value)
            except ValueError as error:
                self._state.note_unreadable("host", record, error)
                continue
            self.listed[host.name] = host
            self._sources.put(host)
        if update.batch.is_snapshot and self.lost():
            self.missing.set()
        if update.batch.records:  # Most updates bring none.
            self._state.router.fleet.shares.take_hosts(self._sources.hosts)
        return update.batch.records

    def lost(self) -> dict[str, mirror.Host]:
        """Returns the known hosts that the store's newest history lacks."""
        known = self._sources.hosts
        return {name: known[name] for name in known.keys() - self.listed.keys()}


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
        listener: HostListener,
        *,
        is_first_start: bool,
    ) -> None:
        """Makes the task.

        Args:
            state: What the relay knows.
            topic: Where hosts list themselves.
            host: This host's entry.
            sources: The hosts that were ever listed.
            listener: Knows which the store lists now.
            is_first_start: Whether all hosts start now for the first time.
        """
        self.due = asyncio.Event()
        self.host = host
        self.is_first_start = is_first_start
        self._state = state
        self._topic = topic
        self._sources = sources
        self._listener = listener

    def is_needed(self) -> bool:
        """Returns whether the list lacks this host, or has an older entry."""
        return self._sources.hosts.get(self.host.name) != self.host

    async def run(self) -> None:
        """Lists the host once it is due, and hosts that the store has lost."""
        await asyncio.gather(self._list_first(), self._keep_listed())

    async def _list_first(self) -> None:
        await self.due.wait()
        await self._until_written([self.host])

    async def _keep_listed(self) -> None:
        while True:
            await self._listener.missing.wait()
            self._listener.missing.clear()
            await self._list_again()

    async def _list_again(self) -> None:
        """Lists again all hosts that the store has lost, in one call.

        The host that reads the store does it for all. Where it does not know
        of some, or none reads, they list themselves a little later.
        """
        if self._state.source:
            await asyncio.sleep(LIST_PATIENCE)
        lost = self._listener.lost()
        if self._state.source:
            lost = {name: lost[name] for name in lost if name == self.host.name}
        if lost:
            await self._until_written(list(lost.values()))
            self._state.believe("hosts_listed_again", hosts=len(lost))

    async def _until_written(self, hosts: list[mirror.Host]) -> None:
        entries = {host.name: peer_codec.encode(host) for host in hosts}
        while True:
            try:
                await self._topic.put_all(entries)
            except errors.HoistmoorError as error:
                self._state.log.write("listing_waits", detail=error.problem)
                await asyncio.sleep(LIST_RETRY)
            else:
                return
