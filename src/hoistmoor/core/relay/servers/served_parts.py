"""Prompt parts that servers have responded to without crashing."""

from __future__ import annotations

import collections
import math

# Seconds for which a served part is no candidate. A crash may occur while a
# service has little traffic.
SERVED_TTL = 60.0
# Served parts that are remembered for each version of a service: 2 MB. 10,000
# new ones a minute pass all hosts.
MAX_SERVED = 8192
# Requests of any kind that must have been served lately, as without them there
# is nothing to tell the parts of sound requests from a crashing one.
MIN_SERVED = 3


class ServedParts:
    """Times at which parts were last served, by service and version.

    All times are monotonic.
    """

    def __init__(self) -> None:
        # The part that was served last is the last one.
        self._served: dict[tuple[str, str], dict[str, float]] = {}
        self._latest: dict[tuple[str, str], collections.deque[float]] = {}

    def record(
        self, service: str, version: str, parts: tuple[str, ...], now: float
    ) -> None:
        """Records that a request with some parts was served at this host."""
        latest = self._latest.setdefault(
            (service, version), collections.deque(maxlen=MIN_SERVED)
        )
        latest.append(now)
        for part in parts:
            self.record_part(service, version, part, now)

    def record_part(
        self, service: str, version: str, part: str, at: float
    ) -> None:
        """Records that a part was served at any host."""
        served = self._served.setdefault((service, version), {})
        known = served.pop(part, -math.inf)
        served[part] = max(at, known)
        if len(served) > MAX_SERVED:
            del served[next(iter(served))]

    def served_at(self, service: str, version: str, part: str) -> float:
        """Returns when a part was last served; minus infinity if never."""
        return self._served.get((service, version), {}).get(part, -math.inf)

    def was_served(
        self, service: str, version: str, part: str, before: float
    ) -> bool:
        """Returns whether a part was served lately, or since.

        Args:
            service: Service of the requests.
            version: Version of the server.
            part: The part.
            before: Time of a crash.
        """
        at = self.served_at(service, version, part)
        return before - at <= SERVED_TTL

    def has_recent(self, service: str, version: str, now: float) -> bool:
        """Returns whether this host served enough requests to compare with."""
        latest = self._latest.get((service, version))
        if latest is None or len(latest) < MIN_SERVED:
            return False
        return now - latest[0] <= SERVED_TTL
