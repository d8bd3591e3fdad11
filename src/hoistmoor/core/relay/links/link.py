"""Link from this host to one backend server.

A link is judged by new connections only: after a partition, open connections
may live on while new ones are refused.
"""

from __future__ import annotations

import enum

import attrs

# Seconds after which a failure no longer closes the link if nothing newer is
# known. Probes renew it several times within that time.
FAILURE_TTL = 3.0
# Seconds for which the report of another host on a server holds. It is asked
# again once a second.
EVIDENCE_TTL = 2.5
# Seconds for which a report that a host reached a server counts for more
# than reports that others did not. They are asked at the same time.
PRECEDENCE_SECONDS = 1.0
# Seconds between two probes of a closed link: after the first failure, and at
# most. A server that was silent for a moment is used again within a second.
FIRST_PROBE_INTERVAL = 0.25
MAX_PROBE_INTERVAL = 1.0


class ProbeResult(enum.Enum):
    """Result of an attempt to open a connection."""

    CONNECTED = enum.auto()
    REFUSED = enum.auto()
    SILENT = enum.auto()


@attrs.define
class ServerLink:
    """State of the link to one incarnation of a server.

    All times are monotonic.

    Attributes:
        connected_at: Time of the latest new connection.
        failed_at: Time of the latest failure to connect.
        closed_at: Time of the first failure since the latest connection.
        failures: Failures since the latest connection.
        was_refused: Whether a connection was refused since the latest one that
            was opened.
        rested_until: End of the rest that the latest failure started; 0 if it
            started none.
        probed_at: Time of the latest probe.
        asked_at: Time at which another host was last asked for the server.
        forwarder: Name of the host that last reached the server; empty if none
            has.
        reached_at: Time at which another host last reached it.
        unreached_at: Time at which another host, whose own links work, last
            did not reach it.
    """

    connected_at: float = float("-inf")
    failed_at: float = float("-inf")
    closed_at: float = float("-inf")
    failures: int = 0
    was_refused: bool = False
    rested_until: float = 0.0
    probed_at: float = float("-inf")
    asked_at: float = float("-inf")
    forwarder: str = ""
    reached_at: float = float("-inf")
    unreached_at: float = float("-inf")

    def record_connected(self, now: float) -> bool:
        """Records a new connection; returns whether that opens the link."""
        was_closed = self.failures > 0
        self.connected_at = now
        self.failures = 0
        self.was_refused = False
        return was_closed

    def reopen(self) -> None:
        """Discards the failures, which this host's lost links explain."""
        self.failures = 0
        self.was_refused = False

    def record_failed(self, now: float, *, was_refused: bool) -> bool:
        """Records a failure; returns whether that closes the link."""
        was_open = self.failures == 0
        self.failed_at = now
        if was_open:
            self.closed_at = now
        self.failures += 1
        self.was_refused |= was_refused
        return was_open

    def record_reached(self, forwarder: str, now: float) -> bool:
        """Records that another host reached the server.

        Args:
            forwarder: Name of the host.
            now: Monotonic time.

        Returns:
            Whether that was not known before.
        """
        is_news = not self.is_reached_by_others(now)
        self.forwarder = forwarder
        self.reached_at = now
        return is_news

    def record_unreached(self, now: float) -> None:
        """Records that another host, whose links work, did not reach it.

        One that has just reached it counts for more: hosts may lose the same
        link together.
        """
        if now - self.reached_at >= PRECEDENCE_SECONDS:
            self.unreached_at = now

    def is_closed(self, now: float) -> bool:
        """Returns whether new connections fail."""
        return self.failures > 0 and now - self.failed_at < FAILURE_TTL

    def is_reached_by_others(self, now: float) -> bool:
        """Returns whether another host has recently reached the server."""
        is_newest = self.reached_at > self.unreached_at
        return is_newest and now - self.reached_at < EVIDENCE_TTL

    def is_unreached_by_others(self, now: float) -> bool:
        """Returns whether another host has recently failed to reach it."""
        is_newest = self.unreached_at > self.reached_at
        return is_newest and now - self.unreached_at < EVIDENCE_TTL

    def is_probe_due(self, now: float) -> bool:
        """Returns whether the closed link should be probed."""
        doublings = max(0, min(self.failures, 8) - 1)
        interval = min(
            MAX_PROBE_INTERVAL, FIRST_PROBE_INTERVAL * 2.0**doublings
        )
        return now - self.probed_at >= interval
