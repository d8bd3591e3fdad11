"""Gossip between hosts about backend servers that are shutting down.

When a leaving server exits, its running requests are aborted. Hosts therefore
tell one another as soon as one of them learns of a departure, instead of each
waiting for a response from the server itself. Every departure is sent once per
receiver.

Sized for a rollout in which 100 of 1,000 servers leave within seconds, with 360
hosts that exchange messages three times a second over 10 Mbit/s links.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import serials as serials_lib

# Departures in one message (3 KB); the remainder follows in the next one.
MAX_PER_MESSAGE = 64
# Departures that are stored.
MAX_DEPARTURES = 2048
# Seconds for which a departure is sent to other hosts. A leaving server exits
# within seconds or minutes and is not selected after that anyway.
DEPARTURE_TTL = 600.0

# Seconds since the first report of each departure, by server identity.
DepartureAges = dict[str, float]


@attrs.define
class _Departure:
    identity: str
    at: float
    serial: int


class DepartureGossip:
    """Departures known to this host, from any source."""

    def __init__(self, serials: serials_lib.Serials) -> None:
        self._serials = serials
        # Insertion order is change order, oldest first.
        self._departures: dict[str, _Departure] = {}

    def record(self, identity: str, at: float) -> bool:
        """Records that a server is leaving; returns whether that was unknown.

        Args:
            identity: Identity of the server's incarnation.
            at: Monotonic time of the response that announced the departure.
        """
        if identity in self._departures:
            return False
        self._departures[identity] = _Departure(
            identity, at, self._serials.allocate()
        )
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        return True

    def announced_at(self, identity: str) -> float | None:
        """Returns when an incarnation announced its departure, if it did."""
        departure = self._departures.get(identity)
        return None if departure is None else departure.at

    def forget(self, identity: str) -> None:
        """Drops a departure once a new incarnation has taken the server id."""
        self._departures.pop(identity, None)

    def changes_since(
        self, after: int, now: float
    ) -> tuple[DepartureAges, int]:
        """Returns unsent departures, oldest first, and the last serial covered.

        Args:
            after: Serial up to which the receiver is up to date.
            now: Monotonic time.
        """
        live = (
            departure
            for departure in self._departures.values()
            if now - departure.at <= DEPARTURE_TTL
        )
        new, until = self._serials.batch(live, after, MAX_PER_MESSAGE)
        return {
            departure.identity: round(now - departure.at, 3)
            for departure in new
        }, until
