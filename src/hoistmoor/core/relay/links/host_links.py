"""Whether this host has lost its links to all backend servers.

Answers partitions of some hosts from all servers, for seconds, while callers,
the store and the other hosts still reach them: new connections hang, are reset,
or are refused while open ones live on. Detection is bounded by
``IDLE_INTERVAL`` and two timeouts of a connection, less than two seconds, also
without any traffic.

One failure closes the link to one server. It takes failures in several failure
domains, and no new connection to any server since the first of them, for the
host to conclude that its own links are lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.links import link as link_lib
from hoistmoor.core.relay.servers import server as server_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Servers, and failure domains, that must be unreachable for this host to
# conclude that its own links are lost; all, where there are fewer.
MIN_FAILED_SERVERS = 3
MIN_FAILED_ZONES = 2
# Servers in other failure domains that are probed after a first failure.
SAMPLE_SIZE = 4
# Seconds from a first failure until the samples have connected if they can. A
# host that is cut from some servers finds several of them closed at once.
SETTLING_SECONDS = 0.1
# Seconds without a new connection to any server after which one is probed. A
# host whose requests all use open connections would not notice a partition.
IDLE_INTERVAL = 1.0
# Probes of closed links that may be due at one check.
MAX_PROBES = 8
# Seconds between probes of a host that has lost all links, and their number.
# They bound the time until it uses its own links again.
LOST_PROBE_INTERVAL = 0.25
LOST_PROBES = 3


@attrs.frozen
class LinksLost:
    """This host found that it has lost its links to all servers.

    Attributes:
        servers: Servers that it could not reach.
        connected_ago: Seconds since its latest new connection to any server.
    """

    servers: int
    connected_ago: float


@attrs.frozen
class LinksRegained:
    """This host reaches servers again.

    Attributes:
        lasted: Seconds for which it reached none.
        reopened: Servers that were unreachable only since then.
    """

    lasted: float
    reopened: tuple[server_lib.ServerState, ...]


class HostLinks:
    """Links of this host to all listed servers.

    Attributes:
        lost_since: Monotonic time since which this host has no link to any
            server; None while it has.
        connected_at: Monotonic time of the latest new connection to any server.
    """

    def __init__(
        self, servers: Callable[[], Iterable[server_lib.ServerState]]
    ) -> None:
        """Creates the state of working links.

        Args:
            servers: Returns all listed servers.
        """
        self.lost_since: float | None = None
        self.connected_at = float("-inf")
        self._servers = servers
        # Servers that could not be reached since the latest connection to any.
        self._failed: dict[str, server_lib.ServerState] = {}
        self._closed: dict[str, server_lib.ServerState] = {}
        self._first_failed_at = float("-inf")
        self._rotated_at = float("-inf")
        self._rotation = 0

    def is_usable(self, server: server_lib.ServerState, now: float) -> bool:
        """Returns whether this host may connect to a server itself."""
        if self.lost_since is not None:
            return False
        return not server.link.failures or not server.link.is_closed(now)

    def record_connected(
        self, server: server_lib.ServerState, now: float
    ) -> LinksRegained | None:
        """Records a new connection to a server.

        Returns:
            Whether this host had lost all links until now.
        """
        self.connected_at = now
        self._failed.clear()
        self._closed.pop(server.entry.identity, None)
        server.link.record_connected(now)
        if self.lost_since is None:
            return None
        lasted = now - self.lost_since
        self.lost_since = None
        return LinksRegained(lasted, tuple(self._reopen()))

    def _reopen(self) -> list[server_lib.ServerState]:
        """Opens the links that have failed only since all were lost.

        One that is still broken closes again with its next failure.
        """
        reopened = [
            each
            for each in self._closed.values()
            if each.link.closed_at >= self._first_failed_at
        ]
        for each in reopened:
            each.link.reopen()
            del self._closed[each.entry.identity]
        return reopened

    def record_failed(
        self, server: server_lib.ServerState, now: float, *, was_refused: bool
    ) -> LinksLost | None:
        """Records that a server could not be connected to.

        Args:
            server: The server.
            now: Monotonic time.
            was_refused: Whether the connection was refused rather than timed
                out.

        Returns:
            Whether this host has just found that it has lost all links.
        """
        identity = server.entry.identity
        is_news = server.link.record_failed(now, was_refused=was_refused)
        self._closed[identity] = server
        is_old = now - self._first_failed_at > link_lib.FAILURE_TTL
        if is_old and self.lost_since is None:
            self._failed.clear()
        if not is_news and identity not in self._failed:
            return None  # It says nothing about the other links.
        if not self._failed:
            self._first_failed_at = now
        self._failed[identity] = server
        return self.check(now)

    def check(self, now: float) -> LinksLost | None:
        """Returns whether this host has just found all links lost."""
        if not self._failed or self.lost_since is not None:
            return None
        if not self._are_all_lost(now):
            return None
        self.lost_since = now
        return LinksLost(len(self._failed), now - self.connected_at)

    def _are_all_lost(self, now: float) -> bool:
        if now - self._first_failed_at < SETTLING_SECONDS:
            return False
        # Links that were closed before are no evidence.
        listed = [
            each
            for each in self._servers()
            if each.entry.identity in self._failed
            or not (each.link.is_closed(now) or each.is_gone(now))
        ]
        failed = [
            each for each in listed if each.entry.identity in self._failed
        ]
        zones = {each.entry.zone for each in listed}
        failed_zones = {each.entry.zone for each in failed}
        return len(failed) >= min(MIN_FAILED_SERVERS, len(listed)) and len(
            failed_zones
        ) >= min(MIN_FAILED_ZONES, len(zones))

    def due_probes(self, now: float) -> list[server_lib.ServerState]:
        """Returns the servers to which to open a connection now."""
        due = self._due_probes(now)
        for server in due:
            server.link.probed_at = now
        return due

    def _due_probes(self, now: float) -> list[server_lib.ServerState]:
        if self.lost_since is not None:
            return self._rotate(LOST_PROBE_INTERVAL, LOST_PROBES, now)
        self._forget_unlisted()
        closed = [
            each
            for each in self._closed.values()
            if each.link.is_probe_due(now)
        ]
        closed.sort(key=lambda each: each.link.probed_at)
        due = closed[:MAX_PROBES] + self._due_samples(now)
        if now - self.connected_at >= IDLE_INTERVAL:
            due += self._rotate(IDLE_INTERVAL, 1, now)
        return due

    def _forget_unlisted(self) -> None:
        """Forgets closed links to servers that are not listed any more."""
        if not self._closed:
            return
        listed = {each.entry.identity for each in self._servers()}
        for identity in self._closed.keys() - listed:
            del self._closed[identity]

    def _due_samples(self, now: float) -> list[server_lib.ServerState]:
        """Returns servers that show whether other links work."""
        is_recent = now - self._first_failed_at < link_lib.FAILURE_TTL
        if not self._failed or not is_recent:
            return []
        failed_zones = {each.entry.zone for each in self._failed.values()}
        fresh = [
            each
            for each in self._servers()
            if each.entry.identity not in self._failed
            and each.link.probed_at < self._first_failed_at
        ]
        # Servers of other failure domains come first.
        fresh.sort(key=lambda each: each.entry.zone in failed_zones)
        missing = SAMPLE_SIZE + 1 - len(self._failed)
        return fresh[: max(0, missing)]

    def _rotate(
        self, interval: float, count: int, now: float
    ) -> list[server_lib.ServerState]:
        """Returns the next servers in turn, once in an interval in seconds."""
        servers = list(self._servers())
        if not servers or now - self._rotated_at < interval:
            return []
        self._rotated_at = now
        start = self._rotation % len(servers)
        self._rotation += count
        return [*servers[start:], *servers[:start]][:count]

    def due_questions(
        self, now: float, count: int
    ) -> list[server_lib.ServerState]:
        """Returns the servers about which to ask another host now.

        Args:
            now: Monotonic time.
            count: Maximum number of servers.
        """
        if self.lost_since is not None:
            return []  # The answers to forwarded requests tell.
        due = [
            each
            for each in self._closed.values()
            if each.link.is_closed(now)
            and now - each.link.asked_at >= link_lib.MAX_PROBE_INTERVAL
        ][:count]
        for server in due:
            server.link.asked_at = now
        return due
