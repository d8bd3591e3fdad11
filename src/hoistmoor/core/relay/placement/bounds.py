"""Operator-defined bounds of the relay."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.servers import rests
from hoistmoor.core.relay.servers import warmup
from hoistmoor.core.relay.versions import exposure


@attrs.frozen
class Bounds:
    """Operator-defined bounds of the relay.

    Attributes:
        repeat_ratio: Retries permitted per request to a service.
        repeat_window: Seconds over which requests and retries are counted.
        repeat_spare: Retries that one host may make regardless of its number
            of requests.
        repeat_slack: Retries that all hosts together may make regardless of
            their number of requests; None if not bounded.
        session_life: Seconds from its last request until a session expires.
        rate_tolerance: Tolerance for cold servers above their services' rates.
        longest_rest: Maximum rest in seconds that a server may request from a
            host.
        exposure_limit: Requests that a bad version may get.
        shares_by_account: Whether service is shared fairly among client
            accounts where room is short.
    """

    repeat_ratio: float = 0.2
    repeat_window: float = 10.0
    repeat_spare: float = 3.0
    repeat_slack: float | None = None
    session_life: float = 5.0
    rate_tolerance: warmup.RateTolerance = attrs.field(
        factory=warmup.RateTolerance
    )
    longest_rest: float = rests.MAX_REST_SECONDS
    exposure_limit: exposure.ExposureLimit = attrs.field(
        factory=exposure.ExposureLimit
    )
    shares_by_account: bool = False
