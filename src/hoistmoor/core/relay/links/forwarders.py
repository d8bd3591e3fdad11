"""Selects the host that forwards requests to servers this host cannot reach.

Answers a third of the hosts, or all of a failure domain, losing their links at
once. Each of them spreads its requests over a few hosts, in an order of its
own, so that those that help share the work. A host that cannot help says why,
and is left alone for a while.
"""

from __future__ import annotations

import enum
import itertools
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.routing import hashing

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hoistmoor.core.relay.beliefs import replication
    from hoistmoor.core.relay.links import link as link_lib

# Hosts among which the requests are spread.
MAX_FORWARDERS = 4
_ORDER_SEED = 71  # Seed of each host's own order of the other hosts.
# Link bandwidth in Mbit/s that is assumed where none is known.
DEFAULT_LINK = 100.0


class ForwardResult(enum.StrEnum):
    """What a host did with a request that it was asked to forward.

    Only with ``SENT`` and ``INTERRUPTED`` may the request have run.
    """

    SENT = "sent"
    REACHABLE = "reachable"  # Asked without a request: a connection opened.
    INTERRUPTED = "interrupted"  # Sent; the server cut the connection.
    UNREACHABLE = "unreachable"  # Its own links work, but not this one.
    LINKS_LOST = "links_lost"  # It reaches no server either.
    BUSY = "busy"
    STOPPING = "stopping"
    UNKNOWN_SERVER = "unknown_server"
    UNSUPPORTED = "unsupported"  # An older version, which forwards nothing.
    SILENT = "silent"  # It could not be connected to.
    # The server has told it what bars the request; the answer says what.
    BARRED = "barred"


# Seconds before the end of its backoff at which a host that had lost its links
# is asked again.
RECHECK_SECONDS = 2.0
# Seconds for which a host that has gone for good is not asked, at most.
MAX_BACKOFF = 32.0
# Seconds for which a host is not asked again, by its latest result.
_BACKOFFS = {
    ForwardResult.SENT: 0.0,
    ForwardResult.REACHABLE: 0.0,
    ForwardResult.INTERRUPTED: 0.0,
    ForwardResult.UNREACHABLE: 0.0,
    ForwardResult.UNKNOWN_SERVER: 0.0,
    ForwardResult.BARRED: 0.0,
    ForwardResult.BUSY: 0.25,
    ForwardResult.LINKS_LOST: 3.0,
    ForwardResult.SILENT: 2.0,
    ForwardResult.STOPPING: 10.0,
    ForwardResult.UNSUPPORTED: 30.0,
}


@attrs.define
class ForwarderState:
    """What this host knows of another one that may forward.

    Attributes:
        in_flight: Requests of this host that it forwards.
        requests: Requests that it was asked to forward so far.
        reported: Requests that it forwards for all hosts, as it last said.
        silences: Times in a row that it could not be connected to.
        has_lost_links: Whether it reached no server either, as it last said.
        backoff_until: Monotonic time until which it is not asked.
    """

    in_flight: int = 0
    requests: int = 0
    reported: int = 0
    silences: int = 0
    has_lost_links: bool = False
    backoff_until: float = float("-inf")


class Forwarders:
    """Other hosts that may forward requests of this one.

    Attributes:
        hosts: Hosts that may forward, those of the own failure domain first.
    """

    def __init__(self, own_name: str, zone: str) -> None:
        self.hosts: tuple[replication.Host, ...] = ()
        self._own_name = own_name
        self._zone = zone
        self._states: dict[str, ForwarderState] = {}

    def set_hosts(self, hosts: Iterable[replication.Host]) -> None:
        """Sets all listed hosts, including this one."""
        others = [
            host
            for host in hosts
            if host.forwards and host.name != self._own_name
        ]
        self.hosts = tuple(sorted(others, key=self._rank))

    def _rank(self, host: replication.Host) -> tuple[bool, float]:
        draw = hashing.uniform(f"{self._own_name} {host.name}", _ORDER_SEED)
        return host.zone != self._zone, draw

    def has_any(self, now: float) -> bool:
        """Returns whether any host can be asked now."""
        return any(self._is_usable(host, now) for host in self.hosts)

    def usable(self, now: float) -> list[replication.Host]:
        """Returns the first hosts that can be asked now."""
        found = (host for host in self.hosts if self._is_usable(host, now))
        return list(itertools.islice(found, MAX_FORWARDERS))

    def _is_usable(self, host: replication.Host, now: float) -> bool:
        return self._state(host.name).backoff_until <= now

    def due_hosts(self, now: float) -> list[replication.Host]:
        """Returns hosts to ask whether they reach servers again.

        Otherwise requests would find out.
        """
        due = (
            host
            for host in self.hosts
            if self._state(host.name).has_lost_links
            and self._state(host.name).backoff_until - now < RECHECK_SECONDS
        )
        return list(itertools.islice(due, MAX_FORWARDERS))

    def pick(self, now: float) -> replication.Host | None:
        """Returns the host to forward a request; None if there is none."""
        usable = self.usable(now)
        return min(usable, key=self._relative_load) if usable else None

    def pick_for(
        self, link: link_lib.ServerLink, now: float
    ) -> replication.Host | None:
        """Returns the host to forward a request to one server.

        Other hosts may have lost the same link, so that the one which reached
        the server is asked.

        Args:
            link: Link of this host to the server.
            now: Monotonic time.
        """
        if link.is_reached_by_others(now):
            for host in self.usable(now):
                if host.name == link.forwarder:
                    return host
        return self.pick(now)

    def _relative_load(self, host: replication.Host) -> float:
        state = self._state(host.name)
        requests = max(state.in_flight, state.reported) + 1
        return requests / (host.link or DEFAULT_LINK)

    def states(self) -> dict[str, ForwarderState]:
        """Returns what is known of the hosts asked so far, by name."""
        return dict(self._states)

    def record_sent(self, name: str) -> None:
        """Records a request that a host is asked to forward."""
        state = self._state(name)
        state.in_flight += 1
        state.requests += 1

    def record_end(self, name: str) -> None:
        """Records the end of such a request."""
        self._state(name).in_flight -= 1

    def record_result(
        self, name: str, result: ForwardResult, now: float, reported: int = 0
    ) -> bool:
        """Records what a host did with a request.

        Args:
            name: Name of the host.
            result: What it did.
            now: Monotonic time.
            reported: Requests that it forwards for all hosts.

        Returns:
            Whether the host will not be asked for a while from now on.
        """
        state = self._state(name)
        was_usable = state.backoff_until <= now
        state.reported = reported
        backoff = _BACKOFFS[result]
        if result is ForwardResult.SILENT:
            backoff = min(MAX_BACKOFF, backoff * 2.0**state.silences)
            state.silences += 1
        else:
            state.silences = 0
        state.has_lost_links = result is ForwardResult.LINKS_LOST
        state.backoff_until = now + backoff
        return was_usable and state.backoff_until > now

    def _state(self, name: str) -> ForwarderState:
        return self._states.setdefault(name, ForwarderState())
