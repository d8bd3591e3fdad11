"""The task that runs the membership protocol on an entry host.

What to send and what to believe is for ``core.membership``; this task owns
the clock, the calls to peers and the reading of the platform's list.
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


class Table(Protocol):
    """What the task needs of the table's follower."""

    last_contact: float

    @property
    def revision(self) -> int:
        """Revision in force; -1 before there is a table."""

    def snapshot(self) -> bytes | None:
        """Returns the table for a peer."""

    def offer(self, payload: bytes) -> bool:
        """Takes a peer's snapshot if it is newer."""


class MembershipTask:
    """Knows the entry hosts, the leaving backend servers, and how fresh.

    Attributes:
        clients: Connections to peers, for other parts too.
        listeners: Who is told of changes.
    """

    def __init__(
        self,
        own: view.HostView,
        fetch_hosts: host_list_reader.FetchHosts,
        find_peer: host_list_reader.FindPeer,
        table: Table,
        *,
        clients: peers_client.PeerClients | None = None,
        listeners: membership_listeners.Listeners | None = None,
        clock: Callable[[], float] = time.time,
        timing: timing_lib.Timing | None = None,
    ) -> None:
        """Makes the task; ``run`` starts it.

        Args:
            own: This host; its incarnation is its start in milliseconds.
            fetch_hosts: Reads the platform's list.
            find_peer: Returns the peer address of a listed entry host.
            table: The follower of the table.
            clients: Connections to peers; None for new ones.
            listeners: Who is told of changes.
            clock: Returns seconds since the epoch.
            timing: Rates and bounds of the protocol; None for the defaults.
        """
        self.clients = clients or peers_client.PeerClients()
        self.listeners = listeners or membership_listeners.Listeners()
        self._clock = clock
        self._table = table
        self._draws = shuffling.Shuffler(own.incarnation)
        self._host_list = host_list_reader.HostListReader(
            fetch_hosts, find_peer, self._draws
        )
        self._calls = gossip_client.GossipClient(self.clients, clock)
        self._machine = machine.Membership(
            own, own.incarnation, clock(), timing
        )
        self._running: set[asyncio.Task[Any]] = set()

    # What other parts ask.

    @property
    def own(self) -> view.HostView:
        """This host, as it tells others."""
        return self._machine.members.own_view

    def hosts(self) -> tuple[view.HostView, ...]:
        """Returns all entry hosts known, dead and leaving ones included."""
        return tuple(self._machine.members)

    def live_hosts(self) -> tuple[view.HostView, ...]:
        """Returns the entry hosts that may be given work, this one too."""
        return tuple(host for host in self.hosts() if host.is_live)

    def host(self, name: str) -> view.HostView | None:
        """Returns what is known of an entry host."""
        return self._machine.members.get(name)

    def holders(self) -> tuple[view.HostView, ...]:
        """Returns live peers in other failure domains, in a random order."""
        others = {
            host.name: host
            for host in self.live_hosts()
            if host.failure_domain != self.own.failure_domain
        }
        return tuple(others[name] for name in self._draws.shuffled(others))

    def peer(self, name: str) -> peers_client.PeerClient:
        """Returns the client to call host ``name`` with.

        Raises:
            PeerUnreachableError: No such host is known.
        """
        host = self.host(name)
        if host is None:
            raise peers_errors.PeerUnreachableError(
                f"host {name} is not known here", "Try another peer."
            )
        return self.clients.get(host.peer_address)

    def is_server_leaving(
        self, address: str, incarnation: int | None = None
    ) -> bool:
        """Returns whether a backend server takes no new work.

        Args:
            address: ``ip:port`` of the backend server.
            incarnation: The incarnation meant; None where it is not known.
        """
        return self._machine.servers.is_leaving(address, incarnation)

    def leaving_servers(self) -> tuple[str, ...]:
        """Returns the addresses of the backend servers that leave."""
        return tuple(news.address for news in self._machine.servers)

    def report_leaving(self, address: str, incarnation: int) -> None:
        """Takes in a backend server's own word that it leaves."""
        self._handle(messages.ServerLeaving(address, incarnation))

    def report_live(self, address: str, incarnation: int) -> None:
        """Takes in a backend server's own word that it is live."""
        self._handle(messages.ServerLive(address, incarnation))

    def freshness(self, now: float | None = None) -> freshness.Freshness:
        """Judges whether the table in force may still be the newest."""
        self._note_table()
        return self._machine.assess_freshness(
            self._clock() if now is None else now
        )

    # Peers' calls.

    async def ping(self, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        """Takes in a peer's digest and returns this host's."""
        received = messages.DigestReceived(digest_codec.from_wire(digest))
        reply = self._handle(received)
        assert reply is not None
        return digest_codec.to_wire(reply)

    async def ping_for(self, target: str, peer_address: str) -> bool:
        """Returns whether ``target`` answers a ping from here."""
        digest = self._machine.digest_for(target, self._clock())
        return await self._ping(messages.Ping(target, peer_address, digest))

    async def fetch_table(self, revision: int) -> bytes:
        """Returns a snapshot newer than ``revision``, or nothing."""
        if self._table.revision <= revision:
            return b""
        return self._table.snapshot() or b""

    # The loops.

    async def run(self) -> None:
        """Takes part until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick())
                group.create_task(self._read_list())
        finally:
            await self.close()

    async def leave(self) -> None:
        """Tells the neighbours that this host is about to stop."""
        self._handle(messages.Leave())
        await asyncio.gather(*self._running, return_exceptions=True)

    async def close(self) -> None:
        """Ends the calls in progress and the connections."""
        for call in self._running:
            call.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        self.clients.close()

    async def _tick(self) -> None:
        while True:
            self._note_table()
            self._handle(messages.Tick())
            await asyncio.sleep(self._machine.timing.period)

    def _note_table(self) -> None:
        self._handle(messages.LogContacted(self._table.last_contact))
        if self._table.revision > self.own.table_revision:
            self._handle(messages.TableActivated(self._table.revision))

    async def _read_list(self) -> None:
        while True:
            listed = await self._host_list.read(
                lambda name: self.host(name) is not None
            )
            if listed is not None:
                self._handle(listed)
            await asyncio.sleep(self._host_list.poll_interval)

    # Effects.

    def _handle(self, message: object) -> messages.Digest | None:
        """Gives the machine a message; returns its reply, if it has one."""
        reply = None
        for effect in self._machine.handle(message, self._clock()):
            if isinstance(effect, messages.Reply):
                reply = effect.digest
            else:
                self._perform(effect)
        return reply

    @singledispatchmethod
    def _perform(self, effect: messages.Effect) -> None:
        self.listeners.tell(effect, self.live_hosts())

    @_perform.register
    def _perform_ping(self, effect: messages.Ping) -> None:
        self._start(self._ping(effect))

    @_perform.register
    def _perform_relay(self, effect: messages.IndirectPing) -> None:
        self._start(self._relay(effect))

    @_perform.register
    def _perform_fetch(self, effect: messages.FetchTable) -> None:
        self._start(self._take_table(effect))

    @_perform.register
    def _superseded(self, effect: messages.Superseded) -> None:
        _LOG.error(
            "Another process %d runs as host %s. Give each its own name",
            effect.incarnation,
            self.own.name,
        )

    def _start(self, call: Any) -> None:
        task = asyncio.create_task(call)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _ping(self, ping: messages.Ping) -> bool:
        result = await self._calls.ping(ping)
        self._handle(result)
        if isinstance(result, messages.PingFailed):
            return False
        return result.digest.sender == ping.target

    async def _relay(self, relay: messages.IndirectPing) -> None:
        self._handle(await self._calls.relay(relay))

    async def _take_table(self, fetch: messages.FetchTable) -> None:
        try:
            snapshot = await self._calls.fetch_table(
                fetch, self._table.revision
            )
            if snapshot and self._table.offer(snapshot):
                _LOG.info("Took the table from host %s", fetch.peer)
        except errors.HoistmoorError as error:
            _LOG.warning("No table from host %s: %s", fetch.peer, error)
        self._note_table()
