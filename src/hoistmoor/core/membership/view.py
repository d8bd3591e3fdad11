"""The state of an entry host as another host knows it."""

from __future__ import annotations

import enum

import attrs

NO_REVISION = -1


class MemberState(enum.IntEnum):
    """State of an entry host.

    Of two updates with the same incarnation and version, the one with the
    higher state takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1  # Did not answer; declared dead unless it refutes this in time.
    LEAVING = 2  # Accepts no new work and is shutting down.
    DEAD = 3


@attrs.frozen
class HostView:
    """What this host knows about one entry host.

    Attributes:
        name: Name of the host.
        incarnation: Start time of its process, in milliseconds since the epoch.
        version: Incremented only by the host itself, whenever it changes its
            state or refutes a suspicion or its death.
        state: Its last known state.
        http_address: ``ip:port`` for clients.
        peer_address: ``ip:port`` for other entry hosts.
        failure_domain: Failure domain in which it runs.
        region: Region of the failure domain.
        table_revision: Newest table revision that it reported as active.
        since: When the state began, as far as this host knows.
    """

    name: str
    incarnation: int
    http_address: str
    peer_address: str
    failure_domain: str
    region: str = ""
    version: int = 0
    state: MemberState = MemberState.ALIVE
    table_revision: int = NO_REVISION
    since: float = 0.0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of an update; the higher one takes precedence."""
        return self.incarnation, self.version, self.state

    @property
    def is_live(self) -> bool:
        """Whether the host may be given work."""
        return self.state <= MemberState.SUSPECT
