"""Settings of the relay, independent of the platform's file format."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.servers import rests
from hoistmoor.core.relay.versions import exposure


@attrs.frozen(kw_only=True)
class RelaySettings:
    """Settings of one relay.

    Attributes:
        host: Name of this host.
        zone: Failure domain of this host.
        listen: ``ip:port`` for callers.
        ready_listen: ``ip:port`` for the load balancer's readiness probe.
        metrics_listen: ``ip:port`` for metrics; empty to disable them.
        peer_listen: ``ip:port`` for other relays; empty to neither send nor
            accept peer requests.
        revocation: Seconds within which a revoked key must be refused.
        is_revocation_strict: Whether that bound also holds while the store is
            unreachable, at the cost of refusing all requests with a key.
        stop_timeout: Seconds from a stop signal to the forced stop.
        repeat_ratio: Retries allowed per request to a service.
        repeat_window: Seconds over which requests and retries are counted.
        repeat_spare: Retries that a host may make regardless of requests.
        repeat_slack: Retries that all hosts together may make regardless of
            requests; None for no bound.
        session_life: Seconds after its last request for which a session is
            kept.
        warmup_factor: Multiple of a service's warm-up rate that a cold server
            may receive.
        warmup_spare: Requests per second that a cold server may receive in
            addition.
        longest_rest: Seconds of back-off that a backend server may request at
            once. For a longer one, it has to repeat the request.
        link: Bandwidth of this host's link in Mbit/s; 0 if unknown.
        memory: Bytes of memory that this host may use; 0 if not known.
        exposure_share: Fraction of a service's requests, from the order of a
            rollout to its time limit, that a bad version may get.
        exposure_tolerance: Requests that it may get in addition.
        shares_by_account: Whether service is shared fairly among client
            accounts where room is short.
        has_slow_peers: Whether callers and backend servers may read slowly, so
            that what this host holds for them needs a budget.
        is_first_start: Whether this is the first start of all hosts.
    """

    host: str
    zone: str
    listen: str
    ready_listen: str
    metrics_listen: str = ""
    peer_listen: str = ""
    revocation: float = 5.0
    is_revocation_strict: bool = True
    stop_timeout: float = 8.0
    repeat_ratio: float = 0.2
    repeat_window: float = 10.0
    repeat_spare: float = 3.0
    repeat_slack: float | None = None
    session_life: float = 5.0
    warmup_factor: float = 1.0
    warmup_spare: float = 0.0
    longest_rest: float = rests.MAX_REST_SECONDS
    link: float = 0.0
    memory: int = 0
    exposure_share: float = exposure.DEFAULT_SHARE
    exposure_tolerance: float = 0.0
    shares_by_account: bool = False
    has_slow_peers: bool = False
    is_first_start: bool = False
