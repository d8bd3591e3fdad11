"""Settings of the relay, in the product's own terms and units."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.servers import rests


@attrs.frozen(kw_only=True)
class RelaySettings:
    """Settings of one relay.

    Attributes:
        host: Name of this host.
        zone: Its failure domain.
        listen: ``ip:port`` for callers.
        ready_listen: ``ip:port`` for the balancer's question.
        metrics_listen: ``ip:port`` for metrics; empty for none.
        peer_listen: ``ip:port`` for the other relays; empty to ask none and
            be asked by none.
        revocation: Seconds within which a key taken away must be refused.
        is_revocation_strict: Whether that holds while the store is away, at
            the price of refusing all requests with a key.
        stop_timeout: Seconds from a stop signal to the end by force.
        repeat_ratio: Repeats allowed for each request to a service.
        repeat_window: Seconds over which both are counted.
        repeat_spare: Repeats that a host may make without any request.
        repeat_slack: Repeats that all hosts together may make so; None for no
            bound.
        session_life: Seconds after its last request that a session lives.
        warmup_factor: Times the rate that a service states for cold servers
            which these may get.
        warmup_spare: Requests in a second that they may get on top.
        longest_rest: Seconds that a backend server may ask a host to leave it
            alone. What it asks for beyond them it has to ask for again.
        link: Mbit/s of this host's link; 0 if it is not known.
        is_first_start: Whether all hosts start now for the first time.
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
    longest_rest: float = rests.LONGEST
    link: float = 0.0
    is_first_start: bool = False
