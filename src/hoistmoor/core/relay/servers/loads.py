"""Load that other hosts put on a backend server, derived from its reports.

A reported load is outdated on arrival, and many hosts read the same report.
This host's own requests are therefore tracked separately.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import reports

LOAD_TTL = 3.0  # Seconds after which a reported load is ignored.


@attrs.define
class PeerLoad:
    """Requests of other hosts at one server.

    Attributes:
        others: Their number in the latest report.
        waiting: Requests of all hosts that waited there, in that report.
        at: Monotonic time of the latest report.
    """

    others: int = 0
    waiting: int = 0
    at: float = float("-inf")

    def record(
        self, report: reports.LoadReport, in_flight: int, now: float
    ) -> None:
        """Records a load report received with a response.

        Args:
            report: The report.
            in_flight: Requests of this host that the report includes.
            now: Monotonic time.
        """
        self.others = max(0, report.running + report.waiting - in_flight)
        self.waiting = report.waiting
        self.at = now

    def current(self, now: float) -> int:
        """Returns the estimated number of requests of other hosts."""
        return self.others if now - self.at < LOAD_TTL else 0
