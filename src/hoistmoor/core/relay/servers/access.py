"""Decides whether a backend server is eligible for requests from this host.

A single ordered table lists every condition that can make a server ineligible.
Each row returns the number of seconds for which its condition still holds, or
a value of at most 0 if it does not. Server selection uses the table to filter
candidates, and refusals use it to compute when the caller should retry.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from hoistmoor.core.relay.servers import room as headroom_lib
    from hoistmoor.core.relay.servers import server as server_lib

    _WaitFunction = Callable[["server_lib.ServerState", float], float]

# Wait of a condition that has no known end; only new information clears it.
FOR_GOOD = math.inf


class Bar(enum.StrEnum):
    """Reason why a server is not eligible for requests."""

    GONE = "gone"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    RESTING = "resting"
    COLD = "cold"
    LIMITED = "limited"


# Reasons that end soon and do not concern the server's version. A session waits
# for them to pass; otherwise it would switch versions back and forth.
SHORT = frozenset({Bar.RESTING, Bar.LIMITED})


@attrs.frozen
class Outlook:
    """Earliest time at which a service without eligible servers has one again.

    Attributes:
        reason: Reason that blocks the server which becomes eligible first.
        wait: Seconds until then; ``INDEFINITE`` if no end is known.
    """

    bar: Bar
    wait: float


class Access:
    """Eligibility checks of one host.

    They run for every server on every request, so each check has to be cheap.

    Attributes:
        evacuated: Failure domains whose servers get no new work.
    """

    def __init__(self, headroom: headroom_lib.Room) -> None:
        self.evacuated: frozenset[str] = frozenset()
        # Ordered so that the cheapest and most frequent reasons come first.
        self._checks: tuple[tuple[Bar, _WaitFunction], ...] = (
            (Bar.GONE, _wait_while_gone),
            (Bar.LEAVING, _wait_while_leaving),
            (Bar.EVACUATED, self._wait_for_evacuation),
            (Bar.RESTING, _wait_for_rest),
            (Bar.COLD, headroom.wait_for_cold),
            (Bar.LIMITED, headroom.wait_for_limit),
        )

    def may_get(
        self,
        state: server_lib.ServerState,
        now: float,
        ignored: Container[Bar] = (),
    ) -> bool:
        """Returns whether a server may receive a request now.

        Args:
            state: The server.
            now: Monotonic time.
            ignored: Reasons that are not taken into account.
        """
        for bar, wait in self._checks:
            if wait(state, now) > 0.0 and bar not in ignored:
                return False
        return True

    def outlook(
        self, servers: Iterable[server_lib.ServerState], now: float
    ) -> Outlook | None:
        """Returns when the first of the servers becomes eligible.

        Returns None if one is eligible now, or if there are no servers.
        """
        earliest = None
        for server in servers:
            if self.may_get(server, now):
                return None
            longest = self._longest_wait(server, now)
            if earliest is None or longest.wait < earliest.wait:
                earliest = longest
        return earliest

    def _longest_wait(
        self, state: server_lib.ServerState, now: float
    ) -> Outlook:
        waits = [Outlook(bar, wait(state, now)) for bar, wait in self._checks]
        return max(waits, key=lambda outlook: outlook.wait)

    def _wait_for_evacuation(
        self, state: server_lib.ServerState, now: float
    ) -> float:
        if not self.evacuated:
            return 0.0
        return FOR_GOOD if state.entry.zone in self.evacuated else 0.0


def _wait_while_gone(state: server_lib.ServerState, now: float) -> float:
    return FOR_GOOD if state.is_gone(now) else 0.0


def _wait_while_leaving(state: server_lib.ServerState, now: float) -> float:
    return FOR_GOOD if state.leaves(now) else 0.0


def _wait_for_rest(state: server_lib.ServerState, now: float) -> float:
    return state.rest.until - now
