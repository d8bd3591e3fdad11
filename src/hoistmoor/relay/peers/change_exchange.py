"""Exchanges state changes between hosts; each change is sent once per host.

Each request and each response carries changes. A response acknowledges the
changes in its request. A restarted host is a new incarnation and is sent
everything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib


@attrs.define
class _Acknowledged:
    """Which changes another host and this one have exchanged.

    Attributes:
        run_name: Incarnation of the other host.
        sent: Serial of this host up to which that one has all changes.
        received: Serial of that one up to which this host has all changes.
    """

    run_name: str = ""
    sent: int = 0
    received: int = 0


class ChangeExchange:
    """The requesting side; tracks each host to which requests were sent."""

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._acknowledged: dict[str, _Acknowledged] = {}

    def changes_for(self, host: str) -> peer_codec.StateChanges:
        """Returns the changes to send with a request to a host."""
        known = self._acknowledged.setdefault(host, _Acknowledged())
        return changes_since(self._state, known.sent, known.received)

    def merge_response(
        self,
        host: str,
        sent: peer_codec.StateChanges,
        received: peer_codec.StateChanges,
        sent_at: float,
    ) -> None:
        """Merges the changes in a host's response.

        Args:
            host: Name of the host.
            sent: The changes in the request.
            received: The changes in the response.
            sent_at: Monotonic time at which the request was sent.
        """
        known = self._acknowledged.setdefault(host, _Acknowledged())
        if known.run_name in ("", received.run_name):
            self._acknowledged[host] = _Acknowledged(
                received.run_name, sent.until, received.until
            )
        else:
            # The new incarnation received this request, but no earlier one.
            self._acknowledged[host] = _Acknowledged(received.run_name)
        merge_changes(self._state, received, sent_at)


def changes_since(
    state: state_lib.RelayState, after: int, heard: int
) -> peer_codec.StateChanges:
    """Returns the changes of this host that another one lacks.

    Args:
        state: Shared state of the relay.
        after: Serial of this host up to which the other one has all changes.
        heard: Serial of the other host up to which this one has all changes.
    """
    now = state.clock()
    router = state.router
    suspects, suspects_until = router.suspects.changes_since(after, now)
    departures, departures_until = router.fleet.departures.changes_since(
        after, now
    )
    parts, parts_until = router.parts.changes_since(after, now)
    return peer_codec.StateChanges(
        run_name=state.run_name,
        suspects=suspects,
        departures=departures,
        parts=parts,
        until=min(suspects_until, departures_until, parts_until),
        heard=heard,
    )


def merge_changes(
    state: state_lib.RelayState, news: peer_codec.StateChanges, at: float
) -> None:
    """Merges the changes that another host has sent.

    Args:
        state: Shared state of the relay.
        news: The changes.
        at: Monotonic time to which the ages in them refer.
    """
    state.merge_suspects(news.suspects)
    state.merge_parts(news.parts)
    state.report_tracker.merge_departures(news.departures, at)
