"""What a backend server tells of itself with an answer.

One type for all its words, made in one place from the answer's head
(``relay/front/server_reports``). What follows from each word is a belief with
a module of its own: ``loads``, ``limits``, ``departures``, ``rests``.
"""

from __future__ import annotations

import enum

import attrs


class Word(enum.StrEnum):
    """A kind of word that may be unreadable."""

    LIMIT = "limit"
    LEAVING = "leaving"
    REST = "rest"


@attrs.frozen
class LoadReport:
    """Load that a server told with an answer.

    Attributes:
        running: Requests that it worked on.
        waiting: Requests in its queue.
        slots: Requests that it works on at once.
    """

    running: int
    waiting: int
    slots: int


@attrs.frozen
class ServerReport:
    """What a server told of itself with an answer.

    Attributes:
        load: Its load; None if it told none that can be read.
        limit: Requests a second that it takes from all hosts together; None
            if it named none that can be read.
        is_leaving: Whether it is about to end.
        rest: Seconds for which it wants nothing from the host that it answers;
            None if it named none that can be read.
        unreadable: What stood in place of a word, by the word.
        unread: Names of words, as they were sent, that nothing here reads.
    """

    load: LoadReport | None = None
    limit: float | None = None
    is_leaving: bool = False
    rest: float | None = None
    unreadable: dict[Word, str] = attrs.field(factory=dict)
    unread: tuple[str, ...] = ()
