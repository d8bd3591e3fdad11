"""Tells other hosts what has changed here, each change once.

It goes both ways with each question. An answer proves that the question was
taken; a host that started anew has another run, and is told everything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.relay.peers import peer_codec

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib


@attrs.define
class _Marks:
    """How far one other host and this one have told each other.

    Attributes:
        run_name: Run of the other host.
        told: Serial of this host up to which that run was told.
        heard: Serial of that run up to which it was heard.
    """

    run_name: str = ""
    told: int = 0
    heard: int = 0


class NewsExchange:
    """The asking side; one entry for each host that was ever asked."""

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._marks: dict[str, _Marks] = {}

    def question(self, host: str) -> peer_codec.News:
        """Returns what to tell a host with a question."""
        marks = self._marks.setdefault(host, _Marks())
        return news_of(self._state, marks.told, marks.heard)

    def take(
        self,
        host: str,
        told: peer_codec.News,
        answered: peer_codec.News,
        asked_at: float,
    ) -> None:
        """Takes a host's answer.

        Args:
            host: Its name.
            told: What the question told it.
            answered: What it told.
            asked_at: Steady time at which the question was sent.
        """
        marks = self._marks.setdefault(host, _Marks())
        if marks.run_name in ("", answered.run_name):
            self._marks[host] = _Marks(
                answered.run_name, told.until, answered.until
            )
        else:
            # It heard this question, but none of those before it.
            self._marks[host] = _Marks(answered.run_name)
        take(self._state, answered, asked_at)


def news_of(
    state: state_lib.RelayState, after: int, heard: int
) -> peer_codec.News:
    """Returns what is new at this host.

    Args:
        state: What this host knows.
        after: Its serial up to which the other host was told.
        heard: Serial of the other host up to which it was heard.
    """
    now = state.clock()
    router = state.router
    suspects, suspects_until = router.suspects.news(after, now)
    departures, departures_until = router.fleet.departures.news(after, now)
    return peer_codec.News(
        state.run_name,
        suspects,
        departures,
        min(suspects_until, departures_until),
        heard,
    )


def take(state: state_lib.RelayState, news: peer_codec.News, at: float) -> None:
    """Takes what another host tells.

    Args:
        state: What this host knows.
        news: What it tells.
        at: Steady time at which its ages are counted.
    """
    state.take_suspects(news.suspects)
    state.server_beliefs.take_departures(news.departures, at)
