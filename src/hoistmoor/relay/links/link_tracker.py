"""Records what shows whether servers can be reached, and logs each change."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from hoistmoor.core.relay.links import forwarders
from hoistmoor.core.relay.links import link as link_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.core.relay.links import host_links
    from hoistmoor.core.relay.servers import fleet as fleet_lib
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import metrics as metrics_lib

_Result = forwarders.ForwardResult


class LinkTracker:
    """Updates the state of links from connections and from other hosts.

    Attributes:
        has_closed: Set when a link has closed, so that others are probed.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        clock: Callable[[], float],
        log_change: Callable[..., None],
        counters: metrics_lib.RelayMetrics,
    ) -> None:
        """Initializes the tracker.

        Args:
            fleet: Known backend servers.
            clock: Monotonic time in seconds.
            log_change: Logs and counts a state change, given its kind and
                fields.
            counters: Metrics.
        """
        self._fleet = fleet
        self._clock = clock
        self._log_change = log_change
        self._counters = counters
        self.has_closed = asyncio.Event()

    def record_probe(
        self, server: server_lib.ServerState, result: link_lib.ProbeResult
    ) -> None:
        """Records the result of a probe."""
        self._counters.link_probes.labels(result.name.lower()).inc()
        if result is link_lib.ProbeResult.CONNECTED:
            self.record_connected(server)
        else:
            self.record_failed(
                server, was_refused=result is link_lib.ProbeResult.REFUSED
            )

    def record_connected(self, server: server_lib.ServerState) -> None:
        """Records a new connection from this host to a server."""
        now = self._clock()
        closed_for = now - server.link.failed_at
        was_closed = server.link.failures > 0
        regained = self._fleet.record_connected(server, now)
        if was_closed:
            self._log(server, "link_opened", failed_ago=round(closed_for, 3))
        if regained is not None:
            self._counters.links_lost.set(0)
            self._log(
                server,
                "links_regained",
                lasted=round(regained.lasted, 3),
                reopened=len(regained.reopened),
            )

    def record_failed(
        self, server: server_lib.ServerState, *, was_refused: bool
    ) -> None:
        """Records that this host could not connect to a server."""
        now = self._clock()
        link = server.link
        if not link.failures:
            self.has_closed.set()
            self._log(
                server,
                "link_closed",
                refused=was_refused,
                connected_ago=_rounded(now - link.connected_at),
            )
        self._apply_loss(
            self._fleet.links.record_failed(
                server, now, was_refused=was_refused
            )
        )

    def check(self) -> None:
        """Concludes whether all links are lost, once samples had time."""
        self._apply_loss(self._fleet.links.check(self._clock()))

    def _apply_loss(self, lost: host_links.LinksLost | None) -> None:
        now = self._clock()
        if lost is None:
            return
        self._counters.links_lost.set(1)
        self._log_change(
            "links_lost",
            servers=lost.servers,
            connected_ago=_rounded(lost.connected_ago),
            forwarders=[
                host.name for host in self._fleet.forwarders.usable(now)
            ],
        )

    def record_answer(
        self,
        server: server_lib.ServerState,
        forwarder: str,
        result: forwarders.ForwardResult,
        load: int = 0,
    ) -> None:
        """Records what another host said of a server.

        Args:
            server: The server.
            forwarder: Name of the other host.
            result: What it did with a request or a question.
            load: Requests that it forwards for all hosts.
        """
        now = self._clock()
        self._counters.forwarded.labels("asked", result.value).inc()
        if self._fleet.forwarders.record_result(forwarder, result, now, load):
            self._log(
                server,
                "forwarder_unusable",
                peer=forwarder,
                result=result.value,
            )
        if result in (_Result.SENT, _Result.REACHABLE):
            if self._fleet.record_reached(server, forwarder, now):
                self._log(server, "server_reached_by_other", peer=forwarder)
        elif result is _Result.UNREACHABLE:
            server.link.record_unreached(now)

    def _log(
        self, server: server_lib.ServerState, kind: str, **fields: object
    ) -> None:
        self._log_change(
            kind,
            server=server.entry.server_id,
            service=server.entry.service,
            zone=server.entry.zone,
            **fields,
        )


def _rounded(seconds: float) -> float | None:
    """Returns seconds for a log line; None if they are infinite."""
    return round(seconds, 3) if math.isfinite(seconds) else None
