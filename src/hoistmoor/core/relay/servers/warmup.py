"""Bounds on the requests that all hosts together send to a cold server.

A server that has just started handles a few requests a second and crashes far
above that rate, no matter which hosts send the requests. It has no work yet, so
it looks like the best choice to every host, and hosts learn late what the
others send.

Sized for 20 servers of a failure domain that return together while 84 or 360
hosts send 300 runs a second. Without coordination, a server got 22 requests in
its first second where 18 are allowed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core.relay.beliefs import configuration

# Seconds over which a host counts its requests to a cold server. The bound
# applies to any second, and request latency may vary by a quarter of a second.
WINDOW = 1.25
# Fraction of the bound that the hosts' quotas add up to. Hosts with different
# host lists compute different quotas, and if a host's requests are delayed, two
# of its windows may arrive within one second.
SHARED_FRACTION = 0.5


@attrs.frozen
class Excess:
    """Tolerance that operators grant above a service's warm-up rate.

    Attributes:
        factor: Multiple of the rate.
        requests: Requests a second that are added to it.
    """

    factor: float = 1.0
    requests: float = 0.0


@attrs.frozen
class WarmupPolicy:
    """Warm-up policy of one service.

    Attributes:
        duration: Seconds after its start for which a server is cold.
        allowed: Requests that a cold server may get from all hosts in any
            second.
    """

    duration: float
    allowed: float

    @property
    def shared(self) -> int:
        """Requests in a window that the hosts' quotas add up to."""
        return int(SHARED_FRACTION * self.allowed)


class Warmups:
    """Warm-up policies of all services.

    Attributes:
        tolerance: Tolerance that operators grant above the services' rates.
    """

    def __init__(self) -> None:
        self.excess = Excess()
        self._services: Mapping[str, configuration.Service] = {}

    def take_services(
        self, services: Mapping[str, configuration.Service]
    ) -> None:
        """Sets the configuration of the services."""
        self._services = services

    def of(self, service: str) -> WarmupPolicy | None:
        """Returns a service's policy; None if its servers need no warm-up."""
        found = self._services.get(service)
        if found is None or not found.warmup_duration:
            return None
        rate = found.warmup_rate * self.excess.factor
        return WarmupPolicy(found.warmup_duration, rate + self.excess.requests)
