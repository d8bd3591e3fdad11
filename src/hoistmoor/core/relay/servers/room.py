"""Whether this host may send one more request to a server that bears little.

A server that is cold, or has named a limit, gets requests from a few hosts
alone (``shares``); this tells whether this host is one of them, and whether it
has sent its part already.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import shares as shares_lib
from hoistmoor.core.relay.servers import warmup as warmup_lib

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib


@attrs.frozen
class Room:
    """This host's room at servers that bear little.

    Attributes:
        warmups: How servers warm up.
        shares: This host's part of what all hosts may send to one server.
    """

    warmups: warmup_lib.Warmups
    shares: shares_lib.HostShares

    def wait_for_cold(self, state: server_lib.ServerState, now: float) -> float:
        """Returns the seconds until a cold server has room for one more.

        Where this host is none of those that send to it, some other one has.
        """
        if now >= state.cold_until:
            return 0.0
        return min(self._wait_while_cold(state, now), state.cold_until - now)

    def has_for_cold(self, state: server_lib.ServerState, now: float) -> bool:
        """Returns whether this host may send one more to a cold server."""
        return not self._wait_while_cold(state, now)

    def _wait_while_cold(
        self, state: server_lib.ServerState, now: float
    ) -> float:
        entry = state.entry
        warmup = self.warmups.of(entry.service)
        if warmup is None:
            return 0.0  # It is slow for a while, and may be used as any.
        part = self.shares.part_of(entry.identity, warmup.shared)
        if part.own:
            return state.sends.wait(part.own, warmup_lib.WINDOW, now)
        return (
            warmup_lib.WINDOW / part.all_hosts if part.all_hosts else math.inf
        )

    def wait_for_limit(
        self, state: server_lib.ServerState, now: float
    ) -> float:
        """Returns the seconds until a server's limit has room for one more.

        Where this host is none of those that send to it, some other one has.
        """
        rate = state.limit.rate
        if rate is None:
            return 0.0
        part = self.shares.part_of(
            f"{state.entry.identity} {state.limit.turn_at(now)}",
            limits.requests_at_once(rate),
        )
        if not part.own:
            return limits.pause_of(rate)
        window = limits.window_of(rate, part)
        return state.sends.wait(part.own, window, now)
