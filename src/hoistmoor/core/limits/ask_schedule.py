"""Staggers the share requests of the hosts."""

from __future__ import annotations

import xxhash

from hoistmoor.core.limits import local_shares
from hoistmoor.core.limits import records

# Hosts request their first shares of the next day seven hours ahead, so that
# each of them holds some if the log is down over midnight. The requests are
# spread over 50 minutes by a hash to avoid a burst of appends.
_PREFETCH_SECONDS = 25_200.0
_PREFETCH_SPREAD_SECONDS = 3_000.0
# Time in which a host learns of the others; then it requests its full floor.
_SETTLE_SECONDS = 5.0
_HASH_SPAN = 2.0**32


class AskSchedule:
    """Schedule of one host's share requests among the other hosts.

    Attributes:
        position: Fixed position of this host among the hosts, from 0 to 1.
        hosts: Number of live entry hosts.
        is_settled: Whether this host has had time to learn of the others.
    """

    def __init__(self, host: str) -> None:
        self.position = xxhash.xxh32_intdigest(host.encode()) / _HASH_SPAN
        self.hosts = 1
        self.is_settled = False
        self._began_at: float | None = None

    @property
    def delay(self) -> float:
        """Seconds that this host waits for hosts with a lower position."""
        return self.position * self.hosts * local_shares.ASK_INTERVAL

    def on_table(self, now: float) -> None:
        """Starts the schedule when the first table is in force.

        Later calls only update ``is_settled``.
        """
        if self._began_at is None:
            self._began_at = now
        self.is_settled = self.may_ask_ahead(now - _SETTLE_SECONDS)

    def may_ask_ahead(self, now: float) -> bool:
        """Returns whether this host may request shares ahead of demand.

        Hosts that start together take turns; with few hosts, none has to wait.
        """
        if self._began_at is None:
            return False
        return now >= self._began_at + int(self.delay)

    def is_prefetch_time(self, now: float) -> bool:
        """Returns whether to request shares of the next day."""
        remaining = records.SECONDS_PER_DAY - now % records.SECONDS_PER_DAY
        return (
            remaining
            <= _PREFETCH_SECONDS - self.position * _PREFETCH_SPREAD_SECONDS
        )
