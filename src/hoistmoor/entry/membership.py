"""The task that runs the membership protocol on an entry host.

``core.membership`` implements the protocol itself, without I/O. This task
provides the clock, calls peers and reads the platform's host list.
"""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
import time
from typing import Any, Protocol, TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core.membership import freshness
from hoistmoor.core.membership import machine
from hoistmoor.core.membership import messages
from hoistmoor.core.membership import shuffling
from hoistmoor.core.membership import timing as timing_lib
from hoistmoor.core.membership import view
from hoistmoor.entry import gossip_client
from hoistmoor.entry import host_list_reader
from hoistmoor.entry import membership_listeners
from hoistmoor.peers import client as peers_client
from hoistmoor.peers import digest_codec
from hoistmoor.peers import errors as peers_errors
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.peers import peer_pb2

_LOG = logs.PartLogger("membership")


class TableReplica(Protocol):
    """The part of ``TableFollower`` that the task uses."""

    last_contact: float

    @property
    def revision(self) -> int:
        """Revision of the table in force; -1 before there is one."""

    def snapshot(self) -> bytes | None:
        """Returns a snapshot for a peer, or None if there is no table."""

    def adopt_if_newer(self, payload: bytes) -> bool:
        """Merges a peer's snapshot; returns whether it was newer."""


class MembershipTask:
    """Tracks entry hosts, leaving backend servers and the table's freshness.

    Attributes:
        clients: Connections to peers, shared with other components.
        listeners: Callbacks for membership changes.
    """

    def __init__(
        self,
        own: view.HostView,
        fetch_hosts: host_list_reader.FetchHosts,
        find_peer: host_list_reader.FindPeer,
        table: TableReplica,
        *,
        clients: peers_client.PeerClientPool | None = None,
        listeners: membership_listeners.MembershipListeners | None = None,
        clock: Callable[[], float] = time.time,
        timing: timing_lib.Timing | None = None,
    ) -> None:
        """Creates the task; ``run`` starts it.

        Args:
            own: This host; its incarnation is its start time in milliseconds.
            fetch_hosts: Reads the platform's host list.
            find_peer: Returns the peer address of a listed entry host.
            table: The follower of the table.
            clients: Connections to peers; None to create new ones.
            listeners: Callbacks for membership changes.
            clock: Returns seconds since the epoch.
            timing: Intervals and timeouts of the protocol; None for the
                defaults.
        """
        self.clients = clients or peers_client.PeerClientPool()
        self.listeners = listeners or membership_listeners.MembershipListeners()
        self._clock = clock
        self._table = table
        self._shuffler = shuffling.Shuffler(own.incarnation)
        self._host_list = host_list_reader.HostListReader(
            fetch_hosts, find_peer, self._shuffler
        )
        self._gossip_calls = gossip_client.GossipClient(self.clients, clock)
        self._machine = machine.Membership(
            own, own.incarnation, clock(), timing
        )
        self._pending_calls: set[asyncio.Task[Any]] = set()

    # Queries and reports from other components.

    @property
    def own(self) -> view.HostView:
        """This host's view of itself, as it is gossiped."""
        return self._machine.members.own_view

    def hosts(self) -> tuple[view.HostView, ...]:
        """Returns all known entry hosts, dead and leaving ones included."""
        return tuple(self._machine.members)

    def live_hosts(self) -> tuple[view.HostView, ...]:
        """Returns the entry hosts that accept work, this one included."""
        return tuple(host for host in self.hosts() if host.is_live)

    def host(self, name: str) -> view.HostView | None:
        """Returns the known state of an entry host, or None."""
        return self._machine.members.get(name)

    def holders(self) -> tuple[view.HostView, ...]:
        """Returns live peers in other failure domains, in random order."""
        others = {
            host.name: host
            for host in self.live_hosts()
            if host.failure_domain != self.own.failure_domain
        }
        return tuple(others[name] for name in self._shuffler.shuffled(others))

    def peer(self, name: str) -> peers_client.PeerClient:
        """Returns the client for calls to host ``name``.

        Raises:
            PeerUnreachableError: The host is not known.
        """
        host = self.host(name)
        if host is None:
            raise peers_errors.PeerUnreachableError(
                f"host {name} is not a known member", "Try another peer."
            )
        return self.clients.get(host.peer_address)

    def is_server_leaving(
        self, address: str, incarnation: int | None = None
    ) -> bool:
        """Returns whether a backend server is leaving.

        Args:
            address: ``ip:port`` of the backend server.
            incarnation: Incarnation to check; None if it is not known.
        """
        return self._machine.servers.is_leaving(address, incarnation)

    def leaving_servers(self) -> tuple[str, ...]:
        """Returns the addresses of the leaving backend servers."""
        return tuple(server.address for server in self._machine.servers)

    def report_leaving(self, address: str, incarnation: int) -> None:
        """Handles a backend server's own report that it is leaving."""
        self._handle(messages.ServerLeaving(address, incarnation))

    def report_live(self, address: str, incarnation: int) -> None:
        """Handles a backend server's own report that it is live."""
        self._handle(messages.ServerLive(address, incarnation))

    def freshness(self, now: float | None = None) -> freshness.Freshness:
        """Returns whether the table in force counts as up to date, and why."""
        self._update_table_state()
        return self._machine.assess_freshness(
            self._clock() if now is None else now
        )

    # Calls from peers.

    async def ping(self, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        """Merges a peer's digest and returns this host's."""
        received = messages.DigestReceived(digest_codec.from_wire(digest))
        reply = self._handle(received)
        assert reply is not None
        return digest_codec.to_wire(reply)

    async def ping_for(self, target: str, peer_address: str) -> bool:
        """Pings ``target`` for a peer; returns whether it responded."""
        digest = self._machine.digest_for(target, self._clock())
        return await self._ping(messages.Ping(target, peer_address, digest))

    async def fetch_table(self, revision: int) -> bytes:
        """Returns a snapshot newer than ``revision``, or no bytes."""
        if self._table.revision <= revision:
            return b""
        return self._table.snapshot() or b""

    # Lifecycle and background loops.

    async def run(self) -> None:
        """Runs the protocol until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick_loop())
                group.create_task(self._host_list_loop())
        finally:
            await self.close()

    async def leave(self) -> None:
        """Announces to peers that this host is about to stop."""
        self._handle(messages.Leave())
        await asyncio.gather(*self._pending_calls, return_exceptions=True)

    async def close(self) -> None:
        """Cancels the calls in progress and closes the connections."""
        for call in self._pending_calls:
            call.cancel()
        await asyncio.gather(*self._pending_calls, return_exceptions=True)
        self.clients.close()

    async def _tick_loop(self) -> None:
        while True:
            self._update_table_state()
            self._handle(messages.Tick())
            await asyncio.sleep(self._machine.timing.period)

    def _update_table_state(self) -> None:
        self._handle(messages.LogContacted(self._table.last_contact))
        if self._table.revision > self.own.table_revision:
            self._handle(messages.TableActivated(self._table.revision))

    async def _host_list_loop(self) -> None:
        while True:
            listed = await self._host_list.read(
                lambda name: self.host(name) is not None
            )
            if listed is not None:
                self._handle(listed)
            await asyncio.sleep(self._host_list.poll_interval)

    # Effects.

    def _handle(self, message: object) -> messages.Digest | None:
        """Passes a message to the state machine; returns its reply, if any."""
        reply = None
        for effect in self._machine.handle(message, self._clock()):
            if isinstance(effect, messages.Reply):
                reply = effect.digest
            else:
                self._perform(effect)
        return reply

    @singledispatchmethod
    def _perform(self, effect: messages.Effect) -> None:
        self.listeners.notify(effect, self.live_hosts())

    @_perform.register
    def _perform_ping(self, effect: messages.Ping) -> None:
        self._start_call(self._ping(effect))

    @_perform.register
    def _perform_relay(self, effect: messages.IndirectPing) -> None:
        self._start_call(self._relay(effect))

    @_perform.register
    def _perform_fetch(self, effect: messages.FetchTable) -> None:
        self._start_call(self._fetch_table(effect))

    @_perform.register
    def _superseded(self, effect: messages.Superseded) -> None:
        _LOG.error(
            "Another process (incarnation %d) runs under the host name %s. "
            "Give each process its own host name",
            effect.incarnation,
            self.own.name,
        )

    def _start_call(self, call: Any) -> None:
        task = asyncio.create_task(call)
        self._pending_calls.add(task)
        task.add_done_callback(self._pending_calls.discard)

    async def _ping(self, ping: messages.Ping) -> bool:
        result = await self._gossip_calls.ping(ping)
        self._handle(result)
        if isinstance(result, messages.PingFailed):
            return False
        return result.digest.sender == ping.target

    async def _relay(self, relay: messages.IndirectPing) -> None:
        self._handle(await self._gossip_calls.relay(relay))

    async def _fetch_table(self, fetch: messages.FetchTable) -> None:
        try:
            snapshot = await self._gossip_calls.fetch_table(
                fetch, self._table.revision
            )
            if snapshot and self._table.adopt_if_newer(snapshot):
                _LOG.info("Fetched a newer table from host %s", fetch.peer)
        except errors.HoistmoorError as error:
            _LOG.warning(
                "Could not fetch the table from host %s: %s", fetch.peer, error
            )
        self._update_table_state()
