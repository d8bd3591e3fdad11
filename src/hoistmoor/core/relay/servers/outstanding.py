"""Work that other hosts have at the backend servers, as they tell it.

A host sees what it has sent itself. With many hosts that is a small part of a
server's work, and answers come too seldom to learn the rest from them. Hosts
ask one another for copies of topics along a tree (``mirror.Sources``). With
each question a host tells the work of its part of the tree, and with the
answer it is told the work of all the rest.
"""

from __future__ import annotations

import attrs

# Seconds after which a host's word counts no more: it tells several times in
# between, so it has gone, or it tells another source.
REPORT_LIFE = 1.5


@attrs.frozen
class ServerWork:
    """What some hosts have under way at one backend server.

    Attributes:
        work: Work of their requests, in prompt tokens of the smallest model.
        requests: How many these are.
    """

    work: float
    requests: int

    def __add__(self, other: ServerWork) -> ServerWork:
        """Returns both together."""
        return ServerWork(
            self.work + other.work, self.requests + other.requests
        )


NOTHING = ServerWork(0.0, 0)

WorkByServer = dict[str, ServerWork]


@attrs.frozen
class _Report:
    work: WorkByServer
    at: float

    def is_fresh(self, now: float) -> bool:
        return now - self.at <= REPORT_LIFE


class OutstandingWork:
    """What other hosts told this one, by the backend server's identity."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._rest = _Report({}, float("-inf"))

    def take(self, host: str, work: WorkByServer, now: float) -> None:
        """Takes the word of a host that asks this one, in place of its last.

        Args:
            host: Name of the host.
            work: Its work, and that of the hosts that ask it.
            now: Steady time.
        """
        self._reports[host] = _Report(work, now)

    def take_rest(self, work: WorkByServer, now: float) -> None:
        """Takes what the source told of all hosts that do not ask this one."""
        self._rest = _Report(work, now)

    def told_to_source(self, own: WorkByServer, now: float) -> WorkByServer:
        """Returns the work of this host and of those that ask it."""
        return _sum([own, *self._fresh_reports(now)])

    def told_to(self, host: str, own: WorkByServer, now: float) -> WorkByServer:
        """Returns the work of all hosts but one that asks, and its own."""
        return _sum(
            [own, *self._fresh_rest(now), *self._fresh_reports(now, host)]
        )

    def of_others(self, now: float) -> WorkByServer | None:
        """Returns the work of all other hosts; None if nobody told any."""
        known = [*self._fresh_rest(now), *self._fresh_reports(now)]
        return _sum(known) if known else None

    def _fresh_rest(self, now: float) -> list[WorkByServer]:
        return [self._rest.work] if self._rest.is_fresh(now) else []

    def _fresh_reports(
        self, now: float, without: str = ""
    ) -> list[WorkByServer]:
        return [
            report.work
            for host, report in self._reports.items()
            if host != without and report.is_fresh(now)
        ]


def _sum(parts: list[WorkByServer]) -> WorkByServer:
    total: WorkByServer = {}
    for part in parts:
        for server, work in part.items():
            total[server] = total.get(server, NOTHING) + work
    return total
