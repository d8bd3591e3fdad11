"""Applies servers' reports about themselves and logs each state change.

Reports arrive either with a response to this host or from another host that
received one.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hoistmoor.core.relay.servers import departure_gossip
from hoistmoor.core.relay.servers import limit_gossip
from hoistmoor.core.relay.servers import reports

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from hoistmoor.core.relay.servers import fleet as fleet_lib
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.core.relay.servers import speed as speed_lib

# Distinct unknown header names to log; bounds memory and log volume.
MAX_LOGGED_NAMES = 64
MAX_NAME_CHARACTERS = 80  # Characters of such a name that are kept.


class ServerReportTracker:
    """Updates the state of servers from their own reports."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        clock: Callable[[], float],
        log_change: Callable[..., None],
        has_urgent_changes: asyncio.Event,
    ) -> None:
        """Initializes the tracker without any reports.

        Args:
            fleet: Known backend servers.
            clock: Monotonic time in seconds.
            log_change: Logs and counts a state change, given its kind and
                fields.
            has_urgent_changes: Set when peers should be informed immediately.
        """
        self._fleet = fleet
        self._clock = clock
        self._log_state_change = log_change
        self._has_urgent_changes = has_urgent_changes
        self._logged_names: set[str] = set()

    def apply_report(
        self,
        server: server_lib.ServerState,
        report: reports.ServerReport,
        sent_at: float,
        *,
        is_success: bool,
    ) -> None:
        """Applies the report in a response to this host.

        Args:
            server: Server that sent the response.
            report: Report parsed from the response.
            sent_at: Monotonic time at which the request was sent.
            is_success: Whether the response is a success from the server
                itself. Other responses may omit a limit that is still in
                force.
        """
        if report.load is not None:
            server.load.record(report.load, server.in_flight, self._clock())
            if report.load.duration_factor is not None:
                server.speed.record_report(
                    report.load.duration_factor, self._clock()
                )
        for word, text in report.unreadable.items():
            self._log_unreadable(server, word, text)
        for name in report.unsupported:
            self._log_unknown_header(server, name)
        self._apply_limit(server, report, sent_at, is_success=is_success)
        self._apply_brittleness(server, report, sent_at, is_success=is_success)
        if report.is_leaving:
            self._apply_departure(server)
        if report.rest:
            self._apply_rest(server, report.rest)

    def record_send(self, server: server_lib.ServerState) -> None:
        """Records that this host is sending a request to a server."""
        now = self._clock()
        if server.rest.record_send(now):
            self._log_change(
                "server_rest_over",
                server,
                since=round(now - server.rest.until, 3),
            )

    def record_replacement(self, server: server_lib.ServerState) -> None:
        """Records that a new incarnation has replaced a server."""
        if server.departure.announced_at is not None:
            self._log_change(
                "server_leaving_over",
                server,
                born=server.entry.born,
                since=round(self._clock() - server.departure.announced_at, 3),
            )

    def log_speed(
        self, server: server_lib.ServerState, change: speed_lib.SpeedChange
    ) -> None:
        """Logs a notable change of a server's learned speed."""
        factor_age = self._clock() - server.speed.reported_at
        self._log_change(
            "server_speed",
            server,
            born=server.entry.born,
            speed=round(change.speed, 2),
            before=round(change.before, 2),
            responses=round(change.responses, 1),
            difference=round(change.difference, 2),
            noise=round(change.noise, 2),
            factor=server.speed.reported,
            factor_age=(
                round(factor_age, 3) if math.isfinite(factor_age) else None
            ),
        )

    def merge_limits(
        self, words: limit_gossip.GossipedLimits, now: float
    ) -> None:
        """Applies the server limits received from another host.

        Args:
            words: Limits by server identity.
            now: Monotonic time to which their ages refer.
        """
        for news in limit_gossip.merge(self._fleet, words, now):
            self._log_limit(news, told=True)

    def merge_departures(
        self, ages: departure_gossip.DepartureAges, now: float
    ) -> None:
        """Applies the departures of servers received from another host.

        Args:
            ages: Seconds since each departure was announced, by server
                identity.
            now: Monotonic time to which the ages refer.
        """
        for identity, age in ages.items():
            if age > departure_gossip.DEPARTURE_TTL:
                continue
            if self._fleet.record_departure(identity, now - age):
                self._log_departure(identity, age, told=True)

    def _apply_departure(self, server: server_lib.ServerState) -> None:
        identity = server.entry.identity
        server.departure.record(self._clock())
        listed = self._fleet.find(identity)
        if listed and listed.departure is not server.departure:
            # A late response of a previous incarnation must not mark the
            # current one as leaving.
            return
        if self._fleet.record_departure(identity, self._clock()):
            self._log_departure(identity, 0.0, told=False)

    def _log_departure(self, identity: str, age: float, *, told: bool) -> None:
        """Logs that a server incarnation is leaving and informs peers."""
        self._has_urgent_changes.set()
        server = self._fleet.find(identity)
        self._log_state_change(
            "server_leaves",
            server=identity,
            service=server.entry.service if server else None,
            told=told,
            age=round(age, 3),
            in_flight=server.in_flight if server else 0,
        )

    def _apply_rest(
        self, server: server_lib.ServerState, seconds: float
    ) -> None:
        kept = min(seconds, self._fleet.longest_rest)
        if server.rest.record(kept, self._clock()):
            self._log_change(
                "server_rests",
                server,
                born=server.entry.born,
                asked=seconds,
                kept=kept,
                in_flight=server.in_flight,
            )

    def _apply_limit(
        self,
        server: server_lib.ServerState,
        report: reports.ServerReport,
        sent_at: float,
        *,
        is_success: bool,
    ) -> None:
        if reports.ReportField.LIMIT in report.unreadable:
            return
        before = server.limit.rate
        now = self._clock()
        if report.limit is not None:
            is_news = server.limit.record_limit(report.limit, now)
        else:
            is_news = is_success and server.limit.record_no_limit(sent_at, now)
        if is_news:
            self._log_limit(
                limit_gossip.LimitChange(server, before), told=False
            )

    def _apply_brittleness(
        self,
        server: server_lib.ServerState,
        report: reports.ServerReport,
        sent_at: float,
        *,
        is_success: bool,
    ) -> None:
        if reports.ReportField.BRITTLE in report.unreadable:
            return
        if report.brittle is not None:
            is_news = self._fleet.record_brittle(
                server, report.brittle, self._clock()
            )
        else:
            is_news = is_success and server.brittle.record_absence(sent_at)
        if is_news:
            self._log_change(
                "server_brittle",
                server,
                tolerance=report.brittle,
                in_flight=server.in_flight,
            )

    def _log_limit(self, news: limit_gossip.LimitChange, *, told: bool) -> None:
        """Logs a change of a limit.

        Peers are informed immediately when a limit begins or ends.
        """
        server = news.server
        if news.before is None or server.limit.rate is None:
            self._has_urgent_changes.set()
        self._log_change(
            "server_limit",
            server,
            limit=server.limit.rate,
            before=news.before,
            told=told,
            in_flight=server.in_flight,
        )

    def _log_unknown_header(
        self, server: server_lib.ServerState, name: str
    ) -> None:
        """Logs each unrecognized header name once."""
        name = name[:MAX_NAME_CHARACTERS]
        if (
            name in self._logged_names
            or len(self._logged_names) >= MAX_LOGGED_NAMES
        ):
            return
        self._logged_names.add(name)
        self._log_change("server_word_unread", server, name=name)

    def _log_unreadable(
        self, server: server_lib.ServerState, word: str, text: str
    ) -> None:
        """Logs a malformed value when it changes; servers repeat it."""
        if server.unreadable.get(word) == text:
            return
        server.unreadable[word] = text
        self._log_change(f"server_{word}_unreadable", server, detail=text)

    def _log_change(
        self, kind: str, server: server_lib.ServerState, **fields: object
    ) -> None:
        self._log_state_change(
            kind,
            server=server.entry.server_id,
            service=server.entry.service,
            **fields,
        )
