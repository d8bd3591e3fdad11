"""Outstanding work of other hosts at the backend servers.

A host only sees its own requests, which with many hosts are a small fraction of
a server's work, and responses are too rare to learn the rest from them. Hosts
therefore exchange the totals along a tree (see ``beliefs.tree_totals``).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable


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


def sum_work(reports: Iterable[WorkByServer]) -> WorkByServer:
    """Returns the total work of several groups of hosts."""
    total: WorkByServer = {}
    for report in reports:
        for server, work in report.items():
            total[server] = total.get(server, NO_WORK) + work
    return total
