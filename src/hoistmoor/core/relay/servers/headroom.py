"""Whether this host may send another request to a server of limited capacity.

A server that is cold or has named a rate limit gets requests from a few hosts
only (see ``shares``). This module determines whether this host is one of them
and whether its quota for the current window is used up.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.servers import brittleness
from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import shares as shares_lib
from hoistmoor.core.relay.servers import warmup as warmup_lib

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib


@attrs.frozen
class Headroom:
    """This host's remaining quota at servers of limited capacity.

    Attributes:
        warmups: Warm-up policies of the services.
        shares: This host's share of the requests that all hosts together may
            send to one server.
        memory_slots: Mean requests that an engine's memory holds, by service.
    """

    warmups: warmup_lib.WarmupPolicies
    shares: shares_lib.HostShares
    memory_slots: dict[str, float] = attrs.field(factory=dict)

    def wait_while_cold(
        self, state: server_lib.ServerState, now: float
    ) -> float:
        """Returns the seconds until a cold server can take another request.

        If this host has no quota, this is the estimated time until one of the
        hosts that have a quota may send.
        """
        if now >= state.cold_until:
            return 0.0
        return min(self._quota_wait(state, now), state.cold_until - now)

    def allows_cold_send(
        self, state: server_lib.ServerState, now: float
    ) -> bool:
        """Returns whether this host may send a request to a cold server."""
        return not self._quota_wait(state, now)

    def _quota_wait(self, state: server_lib.ServerState, now: float) -> float:
        entry = state.entry
        warmup = self.warmups.policy_for(entry.service)
        if warmup is None:
            return 0.0  # The server may be slow at first but needs no limit.
        part = self.shares.quota_for(entry.identity, warmup.shared_requests)
        if part.own:
            return state.sends.wait(part.own, warmup_lib.WINDOW_SECONDS, now)
        return (
            warmup_lib.WINDOW_SECONDS / part.total if part.total else math.inf
        )

    def wait_while_brittle(
        self, state: server_lib.ServerState, now: float
    ) -> float:
        """Returns the seconds until a brittle server can take another request.

        0 for a server that is not brittle.
        """
        brittle = state.brittle
        if brittle.tolerance is None or not brittle.is_active(now):
            return 0.0
        if now < brittle.rests_until:
            return brittle.rests_until - now
        has_waiting = (
            state.load.waiting > 0
            and now - state.load.at < brittleness.WAITING_TTL
        )
        if has_waiting or state.in_flight >= self.brittle_quota(state):
            return brittleness.EXPECTED_WAIT
        return 0.0

    def brittle_quota(self, state: server_lib.ServerState) -> int:
        """Returns the requests that this host may have at a brittle server."""
        entry = state.entry
        memory = self.memory_slots.get(entry.service, math.inf)
        slots = max(1, int(min(entry.slots, memory)))
        return self.shares.quota_for(f"{entry.identity} brittle", slots).own

    def wait_for_rate_limit(
        self, state: server_lib.ServerState, now: float
    ) -> float:
        """Returns the seconds until a rate limit permits another request.

        If this host has no quota, this is the mean time until one of the hosts
        that have a quota sends.
        """
        rate = state.limit.rate
        if rate is None:
            return 0.0
        part = self.shares.quota_for(
            f"{state.entry.identity} {state.limit.generation_at(now)}",
            limits.max_burst(rate),
        )
        if not part.own:
            return limits.mean_interval(rate)
        window = limits.quota_window(rate, part)
        return state.sends.wait(part.own, window, now)
