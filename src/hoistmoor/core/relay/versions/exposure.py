"""How many requests a version may get before it is proved sound.

Operators bound the requests to a bad version, from the order to its time limit,
by a share of all requests and a number on top of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.versions import attempt_times

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core.relay.versions import evidence as evidence_lib

DEFAULT_SHARE = 0.15
# Seconds until no host sends requests to a target that was found bad.
REACTION_SECONDS = 1.5


@attrs.frozen
class ExposureLimit:
    """Bound that operators set.

    Attributes:
        share: Fraction of the service's requests.
        tolerance: Requests in addition.
    """

    share: float = DEFAULT_SHARE
    tolerance: float = 0.0


@attrs.frozen
class Exposure:
    """Requests to the target so far, and the bound.

    Attributes:
        used: Attempts at the target version.
        allowed: Attempts that the bound allows until the time limit, at the
            present rate.
        rate: Attempts per second at all versions.
        remaining: Seconds until the time limit.
    """

    used: float = 0.0
    allowed: float = 0.0
    rate: float = 0.0
    remaining: float = 0.0

    @property
    def allows_all(self) -> bool:
        """Whether the target may get all requests until the time limit."""
        return self.used > 0.0 and self.allows(self.remaining)

    def allows(self, seconds: float) -> bool:
        """Returns whether the target may get all requests for that long."""
        return self.used + self.rate * seconds <= self.allowed


def measure(
    routes: Mapping[str, evidence_lib.RouteEvidence],
    limit: ExposureLimit,
    age: float,
    duration: float,
) -> Exposure:
    """Returns the exposure of a target version.

    Args:
        routes: Counts of all hosts, by route name.
        limit: The bound.
        age: Seconds since the order.
        duration: Seconds from the order to its time limit.
    """
    used = sum(each.target.attempts for each in routes.values())
    others = sum(each.others.attempts for each in routes.values())
    observed = age - attempt_times.BASELINE_FROM * duration
    rate = (used + others) / max(observed, 1.0)
    allowed = limit.share * rate * duration + limit.tolerance
    return Exposure(used, allowed, rate, max(0.0, duration - age))
