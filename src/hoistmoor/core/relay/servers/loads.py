"""The work that a server has from other hosts, by its own word.

A reported load is old when it arrives and many hosts read the same report, so
this host's own work there is kept apart from it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import reports

LOAD_LIFE = 3.0  # Seconds after which a reported load counts no more.


@attrs.define
class LoadBelief:
    """Requests of other hosts at one server.

    Attributes:
        others: How many it had when it last told.
        at: Steady time at which it last told.
    """

    others: int = 0
    at: float = float("-inf")

    def note(
        self, report: reports.LoadReport, in_flight: int, now: float
    ) -> None:
        """Takes a report that came with an answer.

        Args:
            report: The report.
            in_flight: Requests of this host that it counts too.
            now: Steady time.
        """
        self.others = max(0, report.running + report.waiting - in_flight)
        self.at = now

    def others_now(self, now: float) -> int:
        """Returns the requests of other hosts that it probably has."""
        return self.others if now - self.at < LOAD_LIFE else 0
