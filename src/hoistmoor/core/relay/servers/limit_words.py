"""What hosts tell one another of the servers' limits, with each question.

Words that are older than what a host knows change nothing, so all are told
each time, and none needs to be remembered as told.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.servers import server as server_lib

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core.relay.servers import fleet as fleet_lib
    from hoistmoor.core.relay.servers import limits

# Newest words in a message: 50 bytes each, three times a second both ways. A
# host that is not told learns from its own first answer.
MOST_TOLD = 32

LimitWords = dict[str, "limits.LimitWord"]


@attrs.frozen
class LimitNews:
    """A change of a server's limit.

    Attributes:
        server: The server.
        before: Its limit until then; None for none.
    """

    server: server_lib.ServerState
    before: float | None


def told_by(fleet: fleet_lib.Fleet, now: float) -> LimitWords:
    """Returns the words of a host, by the server's identity."""
    words = {
        each.entry.identity: word
        for each in fleet
        if (word := each.limit.word(now)) is not None
    }
    if len(words) <= MOST_TOLD:
        return words
    newest = heapq.nsmallest(
        MOST_TOLD, words.items(), key=lambda item: item[1].age
    )
    return dict(newest)


def take(
    fleet: fleet_lib.Fleet,
    words: Mapping[str, limits.LimitWord],
    now: float,
) -> list[LimitNews]:
    """Takes another host's words; returns what changed.

    Args:
        fleet: The servers.
        words: By the server's identity.
        now: Steady time at which their ages are counted.
    """
    news = []
    for identity, word in words.items():
        server = fleet.find(identity)
        if server is None:
            continue
        before = server.limit.rate
        if server.limit.take(word, now):
            news.append(LimitNews(server, before))
    return news
