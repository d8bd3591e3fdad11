"""Messages to the membership state machine and the effects it returns."""

from __future__ import annotations

import attrs

from hoistmoor.core.membership import view


@attrs.frozen
class MemberNews:
    """An update on one entry host.

    A short update leaves out what does not change within an incarnation.

    Attributes:
        name: Name of the host.
        incarnation: Its incarnation.
        version: Its version within the incarnation.
        state: Its state.
        http_address: ``ip:port`` for clients; empty in a short update.
        peer_address: ``ip:port`` for entry hosts; empty in a short update.
        failure_domain: Its failure domain; empty in a short update.
        region: Its region; empty in a short update.
        age: Seconds since the host was declared dead; 0 in other states.
    """

    name: str
    incarnation: int
    version: int
    state: view.MemberState
    http_address: str = ""
    peer_address: str = ""
    failure_domain: str = ""
    region: str = ""
    age: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of an update; the higher one takes precedence."""
        return self.incarnation, self.version, self.state


@attrs.frozen
class ServerNews:
    """An update on a backend server: one of its incarnations is leaving.

    Attributes:
        address: ``ip:port`` of the backend server.
        incarnation: The incarnation that accepts no new work.
        age: Seconds since this was first reported.
    """

    address: str
    incarnation: int
    age: int = 0


@attrs.frozen
class Digest:
    """Payload of a ping and of its reply.

    Attributes:
        sender: Name of the sending host.
        incarnation: Incarnation of the sender.
        version: Version of the sender.
        state: State of the sender.
        table_revision: Revision of the sender's active table.
        view_hash: Hash of the sender's view of the hosts that are not dead and
            of the leaving backend servers.
        members: Updates on entry hosts.
        servers: Updates on backend servers.
        part_hashes: Hashes of the parts of the sender's view. If present, they
            request the updates of all parts that differ. Most digests have
            none.
    """

    sender: str
    incarnation: int
    version: int
    state: view.MemberState
    table_revision: int
    view_hash: int
    members: tuple[MemberNews, ...] = ()
    servers: tuple[ServerNews, ...] = ()
    part_hashes: tuple[int, ...] = ()


# Messages.


@attrs.frozen
class Tick:
    """A protocol period has elapsed."""


@attrs.frozen
class DigestReceived:
    """A peer pinged this host; the effects include the reply."""

    digest: Digest


@attrs.frozen
class PingReplied:
    """The ping sent to ``target`` at ``sent_at`` was answered."""

    target: str
    sent_at: float
    digest: Digest


@attrs.frozen
class PingFailed:
    """The ping sent to ``target`` at ``sent_at`` was not answered.

    ``digest`` is the payload of the ping.
    """

    target: str
    sent_at: float
    digest: Digest


@attrs.frozen
class IndirectPingResult:
    """Result of pinging ``target`` indirectly, through helpers.

    Attributes:
        target: Name of the pinged host.
        sent_at: When the requests were sent to the helpers.
        reached: Whether any helper received a reply from the target.
        helpers: Number of helpers that responded.
    """

    target: str
    sent_at: float
    reached: bool
    helpers: int


@attrs.frozen
class Contact:
    """Peer address of an entry host that may not be known yet."""

    name: str
    peer_address: str


@attrs.frozen
class ListedServer:
    """A backend server on the platform's host list."""

    address: str
    incarnation: int
    is_leaving: bool


@attrs.frozen
class HostsListed:
    """The platform's host list was read.

    Attributes:
        entries: Names of the listed entry hosts.
        contacts: Some of the listed entry hosts that this host does not know.
        servers: The listed backend servers.
    """

    entries: frozenset[str]
    contacts: tuple[Contact, ...]
    servers: tuple[ListedServer, ...]


@attrs.frozen
class ServerLeaving:
    """A backend server reported that it accepts no new work."""

    address: str
    incarnation: int


@attrs.frozen
class ServerLive:
    """A backend server reported that it is live."""

    address: str
    incarnation: int


@attrs.frozen
class TableActivated:
    """A table of this revision is active on this host."""

    revision: int


@attrs.frozen
class LogContacted:
    """The log answered a read of this host.

    Attributes:
        at: When the answer was read.
    """

    at: float


@attrs.frozen
class Leave:
    """This host is about to shut down."""


# Effects.


@attrs.frozen
class Ping:
    """Ping a host with a digest."""

    target: str
    address: str
    digest: Digest


@attrs.frozen
class Reply:
    """Answer the ping that was received."""

    digest: Digest


@attrs.frozen
class IndirectPing:
    """Ask helpers, all in parallel, to ping ``target``."""

    target: str
    address: str
    helpers: tuple[str, ...]  # Peer addresses.


@attrs.frozen
class FetchTable:
    """Fetch a peer's table, which is newer than this host's."""

    peer: str
    address: str
    revision: int


@attrs.frozen
class HostChanged:
    """The view of an entry host has changed."""

    host: view.HostView


@attrs.frozen
class ServerLeft:
    """This incarnation of a backend server is to get no new work."""

    address: str
    incarnation: int


@attrs.frozen
class ServerReturned:
    """A backend server has restarted with a later incarnation."""

    address: str
    incarnation: int


@attrs.frozen
class Superseded:
    """A process with a later incarnation uses this host's name."""

    incarnation: int


Effect = (
    Ping
    | Reply
    | IndirectPing
    | FetchTable
    | HostChanged
    | ServerLeft
    | ServerReturned
    | Superseded
)
