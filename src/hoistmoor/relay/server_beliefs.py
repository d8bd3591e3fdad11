"""Takes what servers say of themselves, and writes each change of belief.

Two ways lead here: an answer to this host, and another host's word of one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.servers import departure_words
from hoistmoor.core.relay.servers import limit_words
from hoistmoor.core.relay.servers import reports

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from hoistmoor.core.relay.servers import fleet as fleet_lib
    from hoistmoor.core.relay.servers import server as server_lib

MOST_UNREAD = 64  # Names of words that are written, at most.


class ServerBeliefs:
    """What this host believes of servers by their own word."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        clock: Callable[[], float],
        believe: Callable[..., None],
        has_urgent_news: asyncio.Event,
    ) -> None:
        """Makes the beliefs of a host that was told nothing.

        Args:
            fleet: The servers.
            clock: Steady time, in seconds.
            believe: Writes and counts a change, by its kind and fields.
            has_urgent_news: Set once another host should be told at once.
        """
        self._fleet = fleet
        self._clock = clock
        self._believe = believe
        self._has_urgent_news = has_urgent_news
        self._unread: set[str] = set()  # Names that were written.

    def take_report(
        self,
        server: server_lib.ServerState,
        report: reports.ServerReport,
        sent_at: float,
        *,
        is_success: bool,
    ) -> None:
        """Takes what a server told of itself with an answer to this host.

        Args:
            server: The server.
            report: What it told.
            sent_at: Steady time at which the request was sent.
            is_success: Whether the server made the answer and it is a success:
                others may lack what it would name.
        """
        if report.load is not None:
            server.load.note(report.load, server.in_flight, self._clock())
        for word, text in report.unreadable.items():
            self._note_unreadable(server, word, text)
        for name in report.unread:
            self._note_unread(server, name)
        self._take_limit(server, report, sent_at, is_success=is_success)
        if report.is_leaving:
            self._take_leaving(server)
        if report.rest:
            self._take_rest(server, report.rest)

    def note_send(self, server: server_lib.ServerState) -> None:
        """Notes that a request of this host is sent to a server."""
        now = self._clock()
        if server.rest.note_send(now):
            self._write(
                "server_rest_over",
                server,
                since=round(now - server.rest.until, 3),
            )

    def note_replaced(self, server: server_lib.ServerState) -> None:
        """Notes that another start has followed one of a server."""
        if server.departure.said_at is not None:
            self._write(
                "server_leaving_over",
                server,
                born=server.entry.born,
                since=round(self._clock() - server.departure.said_at, 3),
            )

    def take_limits(self, words: limit_words.LimitWords, now: float) -> None:
        """Takes what another host says of servers' limits.

        Args:
            words: By the server's identity.
            now: Steady time at which their ages are counted.
        """
        for news in limit_words.take(self._fleet, words, now):
            self._note_limit(news, told=True)

    def take_departures(self, ages: departure_words.Ages, now: float) -> None:
        """Takes what another host says of starts of servers that leave.

        Args:
            ages: Seconds since each said so, by its identity.
            now: Steady time at which they are counted.
        """
        for identity, age in ages.items():
            if age > departure_words.LIFE:
                continue
            if self._fleet.note_departure(identity, now - age):
                self._note_departure(identity, age, told=True)

    def _take_leaving(self, server: server_lib.ServerState) -> None:
        identity = server.entry.identity
        server.departure.note(self._clock())
        listed = self._fleet.find(identity)
        if listed and listed.departure is not server.departure:
            return  # Another start that has its name must not pay for it.
        if self._fleet.note_departure(identity, self._clock()):
            self._note_departure(identity, 0.0, told=False)

    def _note_departure(self, identity: str, age: float, *, told: bool) -> None:
        """Writes that a start leaves; has others be told at once."""
        self._has_urgent_news.set()
        server = self._fleet.find(identity)
        self._believe(
            "server_leaves",
            server=identity,
            service=server.entry.service if server else None,
            told=told,
            age=round(age, 3),
            in_flight=server.in_flight if server else 0,
        )

    def _take_rest(
        self, server: server_lib.ServerState, seconds: float
    ) -> None:
        kept = min(seconds, self._fleet.longest_rest)
        if server.rest.note(kept, self._clock()):
            self._write(
                "server_rests",
                server,
                born=server.entry.born,
                asked=seconds,
                kept=kept,
                in_flight=server.in_flight,
            )

    def _take_limit(
        self,
        server: server_lib.ServerState,
        report: reports.ServerReport,
        sent_at: float,
        *,
        is_success: bool,
    ) -> None:
        if reports.Word.LIMIT in report.unreadable:
            return
        before = server.limit.rate
        now = self._clock()
        if report.limit is not None:
            is_news = server.limit.note_named(report.limit, now)
        else:
            is_news = is_success and server.limit.note_unnamed(sent_at, now)
        if is_news:
            self._note_limit(limit_words.LimitNews(server, before), told=False)

    def _note_limit(self, news: limit_words.LimitNews, *, told: bool) -> None:
        """Writes a change of a limit; has its begin and end told at once."""
        server = news.server
        if news.before is None or server.limit.rate is None:
            self._has_urgent_news.set()
        self._write(
            "server_limit",
            server,
            limit=server.limit.rate,
            before=news.before,
            told=told,
            in_flight=server.in_flight,
        )

    def _note_unread(self, server: server_lib.ServerState, name: str) -> None:
        """Writes once for each name that servers say what nothing reads."""
        if name in self._unread or len(self._unread) >= MOST_UNREAD:
            return
        self._unread.add(name)
        self._write("server_word_unread", server, name=name)

    def _note_unreadable(
        self, server: server_lib.ServerState, word: str, text: str
    ) -> None:
        """Writes it once: it comes with each answer, and changes nothing."""
        if server.unreadable.get(word) == text:
            return
        server.unreadable[word] = text
        self._write(f"server_{word}_unreadable", server, detail=text)

    def _write(
        self, kind: str, server: server_lib.ServerState, **fields: object
    ) -> None:
        self._believe(
            kind,
            server=server.entry.server_id,
            service=server.entry.service,
            **fields,
        )
