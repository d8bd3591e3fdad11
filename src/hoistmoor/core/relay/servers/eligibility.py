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

    from hoistmoor.core.relay.links import reachability as reachability_lib
    from hoistmoor.core.relay.servers import headroom as headroom_lib
    from hoistmoor.core.relay.servers import server as server_lib

    _WaitFunction = Callable[["server_lib.ServerState", float], float]

# Wait of a condition that has no known end; only new information clears it.
INDEFINITE = math.inf


class IneligibilityReason(enum.StrEnum):
    """Reason why a server is not eligible for requests."""

    GONE = "gone"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    RESTING = "resting"
    UNREACHABLE = "unreachable"
    COLD = "cold"
    LIMITED = "limited"
    FULL = "full"


# Reasons that end soon and do not concern the server's version. A session waits
# for them to pass; otherwise it would switch versions back and forth.
TRANSIENT_REASONS = frozenset(
    {
        IneligibilityReason.RESTING,
        IneligibilityReason.LIMITED,
        IneligibilityReason.UNREACHABLE,
        IneligibilityReason.FULL,
    }
)


@attrs.frozen
class NextEligibility:
    """Earliest time at which a service without eligible servers has one again.

    Attributes:
        reason: Reason that blocks the server which becomes eligible first.
        wait: Seconds until then; ``INDEFINITE`` if no end is known.
    """

    reason: IneligibilityReason
    wait: float


class Eligibility:
    """Eligibility checks of one host.

    They run for every server on every request, so each check has to be cheap.

    Attributes:
        evacuated: Failure domains whose servers get no new work.
    """

    def __init__(
        self,
        headroom: headroom_lib.Headroom,
        reachability: reachability_lib.Reachability,
    ) -> None:
        self.evacuated: frozenset[str] = frozenset()
        # Ordered so that the cheapest and most frequent reasons come first.
        self._checks: tuple[tuple[IneligibilityReason, _WaitFunction], ...] = (
            (IneligibilityReason.GONE, _wait_while_gone),
            (IneligibilityReason.LEAVING, _wait_while_leaving),
            (IneligibilityReason.EVACUATED, self._wait_for_evacuation),
            (IneligibilityReason.RESTING, _wait_for_rest),
            (
                IneligibilityReason.UNREACHABLE,
                reachability.wait_while_unreachable,
            ),
            (IneligibilityReason.COLD, headroom.wait_while_cold),
            (IneligibilityReason.LIMITED, headroom.wait_for_rate_limit),
            (IneligibilityReason.FULL, headroom.wait_while_brittle),
        )

    def is_eligible(
        self,
        state: server_lib.ServerState,
        now: float,
        ignored: Container[IneligibilityReason] = (),
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

    def next_eligibility(
        self, servers: Iterable[server_lib.ServerState], now: float
    ) -> NextEligibility | None:
        """Returns when the first of the servers becomes eligible.

        Returns None if one is eligible now, or if there are no servers.
        """
        earliest = None
        for server in servers:
            if self.is_eligible(server, now):
                return None
            longest = self._longest_wait(server, now)
            if earliest is None or longest.wait < earliest.wait:
                earliest = longest
        return earliest

    def _longest_wait(
        self, state: server_lib.ServerState, now: float
    ) -> NextEligibility:
        waits = [
            NextEligibility(bar, wait(state, now)) for bar, wait in self._checks
        ]
        return max(waits, key=lambda outlook: outlook.wait)

    def _wait_for_evacuation(
        self, state: server_lib.ServerState, now: float
    ) -> float:
        if not self.evacuated:
            return 0.0
        return INDEFINITE if state.entry.zone in self.evacuated else 0.0


def _wait_while_gone(state: server_lib.ServerState, now: float) -> float:
    return INDEFINITE if state.is_gone(now) else 0.0


def _wait_while_leaving(state: server_lib.ServerState, now: float) -> float:
    return INDEFINITE if state.is_leaving(now) else 0.0


def _wait_for_rest(state: server_lib.ServerState, now: float) -> float:
    return state.rest.until - now
