"""Tells other hosts what this one holds against requests, each change once.

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


class SuspectExchange:
    """The asking side; one entry for each host that was ever asked."""

    def __init__(self, state: state_lib.RelayState) -> None:
        self._state = state
        self._marks: dict[str, _Marks] = {}

    def question(self, host: str) -> peer_codec.SuspectNews:
        """Returns what to tell a host with a question."""
        marks = self._marks.setdefault(host, _Marks())
        return news_of(self._state, marks.told, marks.heard)

    def take(
        self,
        host: str,
        told: peer_codec.SuspectNews,
        answered: peer_codec.SuspectNews,
    ) -> None:
        """Takes a host's answer.

        Args:
            host: Its name.
            told: What the question told it.
            answered: What it told.
        """
        marks = self._marks.setdefault(host, _Marks())
        if marks.run_name in ("", answered.run_name):
            self._marks[host] = _Marks(
                answered.run_name, told.until, answered.until
            )
        else:
            # It heard this question, but none of those before it.
            self._marks[host] = _Marks(answered.run_name)
        self._state.take_suspects(answered.suspects)


def news_of(
    state: state_lib.RelayState, after: int, heard: int
) -> peer_codec.SuspectNews:
    """Returns what is new at this host.

    Args:
        state: What this host knows.
        after: Its serial up to which the other host was told.
        heard: Serial of the other host up to which it was heard.
    """
    suspects, until = state.router.suspects.news(after, state.clock())
    return peer_codec.SuspectNews(state.run_name, suspects, until, heard)
