"""Work that other hosts have at the backend servers, as they tell it.

A host sees what it has sent itself. With many hosts that is a small part of a
server's work, and answers come too seldom to learn the rest from them. So the
hosts of a failure domain tell their source what they have under way, sources
of unlike domains tell one another the sums, and each host is told the work of
all others with the next copy.
"""

from __future__ import annotations

import collections

import attrs

# Seconds after which a host's word counts no more: it tells several times in
# between, so it has gone, or it tells another source.
REPORT_LIFE = 1.5


@attrs.frozen
class _Report:
    zone: str
    work: dict[str, float]
    at: float


class OutstandingWork:
    """What other hosts told this one.

    Attributes:
        zone: Failure domain of this host.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self._reports: dict[str, _Report] = {}

    def take(
        self, host: str, zone: str, work: dict[str, float], now: float
    ) -> None:
        """Takes a host's word, in place of its last.

        Args:
            host: Name of the host.
            zone: Its failure domain.
            work: Its own work by server; for a host of another failure
                domain, with the work of the hosts that ask it.
            now: Steady time.
        """
        self._reports[host] = _Report(zone, work, now)

    def near(
        self, own: dict[str, float], now: float, without: str = ""
    ) -> dict[str, float]:
        """Returns the work of this host and of those that ask it.

        Args:
            own: This host's work by server.
            now: Steady time.
            without: Name of a host whose work is left out.
        """
        return self._sum(own, now, without, far=False)

    def all_others(
        self, own: dict[str, float], now: float, without: str
    ) -> dict[str, float]:
        """Returns all work that is known here, but for one host's."""
        return self._sum(own, now, without, far=True)

    def _sum(
        self, own: dict[str, float], now: float, without: str, *, far: bool
    ) -> dict[str, float]:
        total = collections.Counter(own)
        for host, report in tuple(self._reports.items()):
            if now - report.at > REPORT_LIFE:
                del self._reports[host]
            elif host != without and (far or report.zone == self.zone):
                total.update(report.work)
        return dict(total)
