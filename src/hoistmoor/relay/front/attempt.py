"""One attempt of a relayed request, and what it shows of its server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import exchange as exchange_lib
from hoistmoor.core import outcomes
from hoistmoor.core.relay.answers import pace
from hoistmoor.core.relay.course import messages

if TYPE_CHECKING:
    from collections.abc import Container

    from hoistmoor.core.relay.servers import server as server_lib

_State = outcomes.ExchangeState

_OUTCOMES = {
    _State.DECLINED: pace.AttemptOutcome.FULL,
    _State.UNSENT: pace.AttemptOutcome.UNREACHABLE,
}
_FAILED_STATUS = 500  # From here on a status says that the server failed.


def words_against(server: server_lib.ServerState, now: float) -> dict[str, str]:
    """Returns what a server has said against a send, by the kind of word."""
    words = {}
    if server.limit.rate is not None:
        words["limit"] = str(server.limit.rate)
    if server.departure.said_at is not None:
        words["leaving"] = f"said {now - server.departure.said_at:.3f}s before"
    if server.rest.left(now):
        words["rest"] = f"{server.rest.left(now):.3f}s left"
    return words


@attrs.define
class Attempt:
    """One attempt at a backend server, and what it has shown so far.

    Attributes:
        send: What is sent, and to whom.
        started: Steady time at which it began.
        exchange: Carries it.
        head: Head of the answer; None before it came.
        first: Steady time of the first events of a stream; None before them.
        latest: Steady time of the newest events.
        longest_pause: Seconds between two arrivals of events, at most.
        events_before: Events of the stream that attempts before it brought.
        body: Parts of an answer that is not a stream.
        is_dropped: Whether it was given up for a larger model's answer.
        is_cut: Whether the connection ended before the answer did.
        detail: What went wrong, for people.
        asks_rest: Whether its server asked for rest with the answer.
        words: What its server had said against a send when it was sent, by
            the kind of word.
    """

    send: messages.Send
    started: float
    exchange: exchange_lib.Exchange
    head: exchange_lib.Head | None = None
    first: float | None = None
    latest: float = 0.0
    longest_pause: float = 0.0
    events_before: int = 0
    body: list[bytes] = attrs.field(factory=list)
    is_dropped: bool = False
    is_cut: bool = False
    detail: str = ""
    asks_rest: bool = False
    words: dict[str, str] = attrs.field(factory=dict)

    def note_events(self, now: float) -> None:
        """Notes that events of the stream came."""
        if self.first is None:
            self.first = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.latest)
        self.latest = now

    def waits(self) -> str:
        """Returns what made a stream late: its first event, or a pause."""
        if self.first is None:
            return ""
        first = self.first - self.started
        return f" first {first:.3f}s pause {self.longest_pause:.3f}s"

    @property
    def status(self) -> int:
        """HTTP status code of the answer; 0 without one."""
        return self.head.status if self.head else 0

    def outcome(
        self, state: outcomes.ExchangeState, replaced: Container[int]
    ) -> pace.AttemptOutcome:
        """Returns how it went, as far as its server is concerned.

        Args:
            state: How far its exchange had come when it ended.
            replaced: Status codes with which another server answers at the
                address.
        """
        if self.is_dropped:
            return pace.AttemptOutcome.WELL
        if state is _State.DECLINED and self.status in replaced:
            return pace.AttemptOutcome.REPLACED
        if self.asks_rest:
            return pace.AttemptOutcome.FULL
        is_whole = state is _State.ANSWERED
        if is_whole and self.status < _FAILED_STATUS:
            return pace.AttemptOutcome.WELL
        return _OUTCOMES.get(state, pace.AttemptOutcome.FAILED)

    def measured(
        self,
        state: outcomes.ExchangeState,
        now: float,
        target: float,
        events: int,
    ) -> pace.Measured | None:
        """Returns what it shows of its server's version, if anything.

        An answer that was cut shows nothing: its server may have died,
        whatever the version. Nor does one that asks for rest.

        Args:
            state: How far its exchange had come when it ended.
            now: Steady time.
            target: Seconds that the route allows for the first part.
            events: Events of the stream that it brought.
        """
        took = now - self.started
        is_silent = state is _State.SENT and took > target
        is_whole = state is _State.ANSWERED
        if not (is_whole or is_silent or self.is_dropped) or self.asks_rest:
            return None
        first = self.first or now
        return pace.Measured(
            self.send.model,
            first - self.started,
            took,
            events if is_whole else 0,
            self.status >= _FAILED_STATUS,
            is_whole=is_whole,
            is_silent=is_silent,
        )

    def text(self, state: outcomes.ExchangeState, now: float) -> str:
        """Returns it in one line, for the log."""
        entry = self.send.server.entry
        words = "".join(f" {word} {text}" for word, text in self.words.items())
        return (
            f"{entry.server_id} {entry.version} {self.send.model}"
            f" {state.name.lower()} {self.status}"
            f" {now - self.started:.3f}s{self.waits()}{words} {self.detail}"
        )
