"""The list of hosts, a topic to which each host writes its own entry.

A host writes its entry at its first start, and again if the store lost it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import replication
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower as follower_lib
    from hoistmoor.relay.store import ports

LIST_RETRY = 0.5  # Seconds until a failed write to the list is retried.
# Seconds after which a host that the store has lost lists itself, although
# the host that reads the store should have done so: its writes are read within
# a second.
SELF_RELIST_DELAY = 3.0


class HostListener:
    """Applies the entries of hosts.

    Attributes:
        listed: Entries in the newest era of the store, by host name.
        has_lost_hosts: Set when that era lacks known hosts.
    """

    def __init__(
        self, state: state_lib.RelayState, sources: replication.SourceSelector
    ) -> None:
        self.listed: dict[str, replication.Host] = {}
        self.has_lost_hosts = asyncio.Event()
        self._state = state
        self._sources = sources

    def __call__(
        self, update: follower_lib.Update
    ) -> tuple[topics.Record, ...]:
        """Applies one update."""
        if update.batch.is_snapshot:
            self.listed = {}
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                host = peer_codec.decode_host(record.key, record.value)
            except ValueError as error:
                self._state.log_unreadable_record("host", record, error)
                continue
            self.listed[host.name] = host
            self._sources.put(host)
        if update.batch.is_snapshot and self.lost_hosts():
            self.has_lost_hosts.set()
        if update.batch.records:  # Most updates are empty.
            fleet = self._state.router.fleet
            fleet.shares.set_hosts(self._sources.hosts)
            fleet.forwarders.set_hosts(self._sources.hosts.values())
        return update.batch.records

    def lost_hosts(self) -> dict[str, replication.Host]:
        """Returns the known hosts that the store's newest era lacks."""
        known = self._sources.hosts
        return {name: known[name] for name in known.keys() - self.listed.keys()}


class SelfListing:
    """Lists this host, so that other hosts can copy from it.

    A host that is already listed, for example after a restart, makes no call.

    Attributes:
        due: Set once it is known that the host is not listed.
        host: This host's entry.
        is_first_start: Whether all hosts are starting for the first time, so
            that none is listed yet.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        topic: ports.KeyedTopic,
        host: replication.Host,
        sources: replication.SourceSelector,
        listener: HostListener,
        *,
        is_first_start: bool,
    ) -> None:
        """Creates the task.

        Args:
            state: Shared state of the relay.
            topic: The topic that lists hosts.
            host: This host's entry.
            sources: All hosts that were ever listed.
            listener: Tracks which hosts the store lists now.
            is_first_start: Whether all hosts are starting for the first time.
        """
        self.due = asyncio.Event()
        self.host = host
        self.is_first_start = is_first_start
        self._state = state
        self._topic = topic
        self._sources = sources
        self._listener = listener

    def is_needed(self) -> bool:
        """Returns whether this host's entry is missing or outdated."""
        return self._sources.hosts.get(self.host.name) != self.host

    async def run(self) -> None:
        """Lists this host when due, and relists hosts that the store lost."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._list_self())
            group.create_task(self._relist_missing())

    async def _list_self(self) -> None:
        await self.due.wait()
        await self._write_with_retries([self.host])

    async def _relist_missing(self) -> None:
        while True:
            await self._listener.has_lost_hosts.wait()
            self._listener.has_lost_hosts.clear()
            await self._relist()

    async def _relist(self) -> None:
        """Relists all hosts that the store has lost, in one call.

        The host that reads the store does so for all. If it does not know some
        of them, or no host reads the store, they list themselves after a
        delay.
        """
        if self._state.source:
            await asyncio.sleep(SELF_RELIST_DELAY)
        lost = self._listener.lost_hosts()
        if self._state.source:
            lost = {name: lost[name] for name in lost if name == self.host.name}
        if lost:
            await self._write_with_retries(list(lost.values()))
            self._state.log_change("hosts_listed_again", hosts=len(lost))

    async def _write_with_retries(self, hosts: list[replication.Host]) -> None:
        entries = {host.name: peer_codec.encode(host) for host in hosts}
        while True:
            try:
                await self._topic.put_all(entries)
            except errors.HoistmoorError as error:
                self._state.log.write("listing_waits", detail=error.problem)
                await asyncio.sleep(LIST_RETRY)
            else:
                return
