"""Parameters of the membership protocol."""

from __future__ import annotations

import math

import attrs


@attrs.frozen(kw_only=True)
class Timing:
    """Rates and limits; the defaults support 360 hosts.

    Attributes:
        period: Seconds between two ticks.
        fanout: Number of hosts pinged in each period.
        helpers: Number of hosts asked to ping one that did not answer.
        suspicion_factor: Suspicion timeout, in periods per doubling of the
            number of hosts. A suspect that does not refute the suspicion
            within this time is declared dead.
        rumour_factor: Number of times that each host sends an update, per
            doubling of the number of hosts.
        rumour_bytes: Maximum encoded size of the updates in a digest.
        sync_bytes: Maximum encoded size of the updates in a digest that
            answers a sync.
        sync_after: Number of replies with a different view after which a host
            requests a sync, since the latest reply of each peer was equal.
        sync_interval: Minimum seconds between two syncs.
        join_seconds: Seconds after its start in which a host syncs more often.
        join_interval: Minimum seconds between two syncs during that time.
        dead_probe_periods: Number of periods between two pings to dead hosts.
        forget_after: Seconds after which a dead host is forgotten. The report
            of a leaving backend server is dropped after the same time, if the
            host list no longer names the server.
        pause_after: Seconds without a message after which this host's process
            is considered to have been paused.
        settle: Seconds after a pause during which a reply from the log may
            date from before the pause.
        log_silence: Seconds without contact with the log after which the
            table's freshness is judged by the peers.
        peer_silence: Seconds for which the result of a ping counts.
        recovery: Seconds for which a majority must be reachable again before
            it counts.
        fetch_grace: Seconds that a newer revision may take to arrive from the
            log before it is fetched from a peer.
        fetch_interval: Minimum seconds between two fetches.
    """

    period: float = 0.5
    fanout: int = 2
    helpers: int = 3
    suspicion_factor: float = 2.0
    rumour_factor: float = 1.0
    rumour_bytes: int = 280
    sync_bytes: int = 4000
    sync_after: int = 6
    sync_interval: float = 4.0
    join_seconds: float = 30.0
    join_interval: float = 2.0
    dead_probe_periods: int = 4
    forget_after: float = 600.0
    pause_after: float = 2.0
    settle: float = 0.2
    # Below the 3 s after which a logged edit must be in effect on all hosts.
    log_silence: float = 2.5
    peer_silence: float = 3.0
    recovery: float = 6.0
    fetch_grace: float = 2.0
    fetch_interval: float = 2.0

    def suspicion_timeout(self, hosts: int) -> float:
        """Returns the seconds after which a suspect among ``hosts`` is dead."""
        return self.period * self.suspicion_factor * math.log2(hosts + 1)

    def repeats(self, hosts: int) -> int:
        """Returns how often each of ``hosts`` hosts sends an update."""
        return math.ceil(self.rumour_factor * math.log2(hosts + 1)) + 2
