"""How many requests all hosts may send to a server that is cold.

A server that has just started bears a few requests a second and crashes well
above, whoever sends them. It has no work under way, so it looks the best to
all hosts, and they learn late what the others send.

The load that it answers: 20 servers of a failure domain that come back
together before 84 or 360 hosts, which ask for 300 runs a second. Left to the
hosts, a server got 22 requests in its first second where 18 are allowed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core.relay.beliefs import configuration

# Seconds over which a host counts what it has sent to a cold server. The bound
# is for any second; a request may take a quarter of one more than the next.
WINDOW = 1.25
# Part of the bound that the hosts' shares add up to. Hosts whose lists differ
# have other shares, and two windows of a host may fall into one second where
# its requests are held up.
SHARED = 0.5


@attrs.frozen
class Excess:
    """What operators allow beyond the rate that a service states.

    Attributes:
        factor: Times that rate.
        requests: Requests in a second on top.
    """

    factor: float = 1.0
    requests: float = 0.0


@attrs.frozen
class Warmup:
    """How the servers of one service warm up.

    Attributes:
        duration: Seconds for which one is cold after its start.
        allowed: Requests that a cold one may get in any second, from all
            hosts.
    """

    duration: float
    allowed: float

    @property
    def shared(self) -> int:
        """Requests in a window that the hosts' parts add up to."""
        return int(SHARED * self.allowed)


class Warmups:
    """How the servers of each service warm up.

    Attributes:
        excess: What operators allow beyond the services' rates.
    """

    def __init__(self) -> None:
        self.excess = Excess()
        self._services: Mapping[str, configuration.Service] = {}

    def take_services(
        self, services: Mapping[str, configuration.Service]
    ) -> None:
        """Takes what the operators say of the services."""
        self._services = services

    def of(self, service: str) -> Warmup | None:
        """Returns how a service's servers warm up; None if they need not."""
        found = self._services.get(service)
        if found is None or not found.warmup_duration:
            return None
        rate = found.warmup_rate * self.excess.factor
        return Warmup(found.warmup_duration, rate + self.excess.requests)
