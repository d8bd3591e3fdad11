"""Outstanding work of other hosts at the backend servers.

A host only sees its own requests, which with many hosts are a small fraction of
a server's work, and responses are too rare to learn the rest from them. Hosts
fetch copies of topics from one another along a tree (see
``replication.SourceSelector``), and the work totals travel with these requests:
a host reports the total of its own subtree to its source, and the response
contains the total of all other hosts.
"""

from __future__ import annotations

import attrs

# Seconds after which a host's report expires. A host reports several times
# within that period, so one that stays silent is down or uses another source.
REPORT_TTL = 1.5


@attrs.frozen
class ServerWork:
    """Outstanding work of a group of hosts at one backend server.

    Attributes:
        work: Work of their requests, in prompt tokens of the smallest model.
        requests: Number of these requests.
    """

    work: float
    requests: int

    def __add__(self, other: ServerWork) -> ServerWork:
        """Returns the sum of both."""
        return ServerWork(
            self.work + other.work, self.requests + other.requests
        )


NO_WORK = ServerWork(0.0, 0)

WorkByServer = dict[str, ServerWork]


@attrs.frozen
class _Report:
    work: WorkByServer
    at: float

    def is_fresh(self, now: float) -> bool:
        return now - self.at <= REPORT_TTL


class OutstandingWork:
    """Work that other hosts have reported, by backend server identity."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._source_report = _Report({}, float("-inf"))

    def set_subtree_work(
        self, host: str, work: WorkByServer, now: float
    ) -> None:
        """Replaces the report of a host that fetches from this one.

        Args:
            host: Name of the host.
            work: Work of the host and of all hosts below it in the tree.
            now: Monotonic time.
        """
        self._reports[host] = _Report(work, now)

    def set_source_work(self, work: WorkByServer, now: float) -> None:
        """Replaces the source's total of all hosts outside this subtree."""
        self._source_report = _Report(work, now)

    def total_for_source(self, own: WorkByServer, now: float) -> WorkByServer:
        """Returns the total work of this host and its subtree."""
        return _sum([own, *self._fresh_reports(now)])

    def total_for(
        self, host: str, own: WorkByServer, now: float
    ) -> WorkByServer:
        """Returns the total for a fetching host, without its own subtree."""
        return _sum(
            [
                own,
                *self._fresh_source_report(now),
                *self._fresh_reports(now, host),
            ]
        )

    def total_of_others(self, now: float) -> WorkByServer | None:
        """Returns the work of all other hosts; None without any report."""
        known = [*self._fresh_source_report(now), *self._fresh_reports(now)]
        return _sum(known) if known else None

    def _fresh_source_report(self, now: float) -> list[WorkByServer]:
        return (
            [self._source_report.work]
            if self._source_report.is_fresh(now)
            else []
        )

    def _fresh_reports(
        self, now: float, excluded_host: str = ""
    ) -> list[WorkByServer]:
        return [
            report.work
            for host, report in self._reports.items()
            if host != excluded_host and report.is_fresh(now)
        ]


def _sum(reports: list[WorkByServer]) -> WorkByServer:
    total: WorkByServer = {}
    for report in reports:
        for server, work in report.items():
            total[server] = total.get(server, NO_WORK) + work
    return total
