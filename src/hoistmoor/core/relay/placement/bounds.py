"""Bounds that the operators set for the relay."""

from __future__ import annotations

import attrs

from hoistmoor.core.relay.servers import rests
from hoistmoor.core.relay.servers import warmup


@attrs.frozen
class Bounds:
    """Bounds that the operators set for the relay.

    Attributes:
        repeat_ratio: Repeats for each request to a service.
        repeat_window: Seconds over which both are counted.
        repeat_spare: Repeats a host may make with no request at all.
        repeat_slack: Repeats that all hosts together may make so; None if the
            operators set no bound.
        session_life: Seconds after its last request that a session lives.
        warmup_excess: What cold servers may get beyond their rates.
        longest_rest: Seconds that a server may ask a host to leave it alone.
    """

    repeat_ratio: float = 0.2
    repeat_window: float = 10.0
    repeat_spare: float = 3.0
    repeat_slack: float | None = None
    session_life: float = 5.0
    warmup_excess: warmup.Excess = attrs.field(factory=warmup.Excess)
    longest_rest: float = rests.LONGEST
