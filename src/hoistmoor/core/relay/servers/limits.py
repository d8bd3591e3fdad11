"""The rate that a backend server in need takes from all hosts together.

It names it in its answers, for as long as it holds. A few hosts send to it
then, each a fixed number in a window (``shares``), so that the sum keeps to
the rate with no word between the hosts. What an answer named is told to all
hosts, so that those which send nothing learn that a limit has begun or ended.

The load that it answers: two of six engines name some two requests a second,
and 7, 84 or 360 hosts have 35 to 850 requests a second for all of them. Left to
the hosts, such an engine got 55 to 80 in four seconds where 15 are allowed.

Answers may overtake one another, so one that names no limit proves only that
there was none when its request was sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import shares

# Part of the rate that the hosts' parts add up to. Hosts whose lists lack a
# fifth of the others take a quarter more. Of 1.7 a second 0.83 are used, and
# with a third of the hosts down 0.6 (mean of ten simulated runs of 40 s).
USED = 0.95
# Hosts that share a limit: so many for each request a second, and a few more.
# All may send at one moment, after a lull: 12 and 137 requests came in four
# seconds for 1.7 and 30 a second, with lists that lack a fifth. Few hosts each
# wait long for their next caller, with nothing sent, and may all be down.
HOSTS_PER_RATE = 1.5
MORE_HOSTS = 2
# Requests a second, at least, that a limit is taken for: a server that takes
# none is asked now and then, as nobody would see that its limit has ended.
LEAST_RATE = 0.05
# Mean pauses between two requests of all hosts, and seconds, after which other
# hosts are chosen where no answer came: those that were may be down.
SILENT_PAUSES = 2.0
SILENT = 3.0
# Seconds for which the end of a limit is told. Other hosts hear of it within
# two, and what they tell of it meanwhile is older.
END_TOLD = 10.0
# Seconds by which a word that says the same must be newer. It comes back from
# the host that was told, older by the time that it was on its way.
SAME_WORD = 0.25


@attrs.frozen
class LimitWord:
    """What one host tells another of a server's limit.

    Attributes:
        rate: Requests a second; None if the server names no limit any more.
        turn: How often other hosts were chosen for the server.
        age: Seconds since an answer said so.
    """

    rate: float | None
    turn: int
    age: float


@attrs.define
class LimitBelief:
    """What this host believes of one server's limit.

    Attributes:
        rate: Requests a second from all hosts together; None for no limit.
        at: Steady time of the answer, to whichever host, that it rests on.
        turn: How often other hosts had been chosen for the server then.
        told_until: Steady time until which the end of a limit is told.
    """

    rate: float | None = None
    at: float = float("-inf")
    turn: int = 0
    told_until: float = float("-inf")

    def note_named(self, rate: float, now: float) -> bool:
        """Notes that an answer named a limit; returns whether it is news."""
        is_news = rate != self.rate
        self.turn = self.turn_at(now)
        self.rate = rate
        self.at = now
        return is_news

    def note_unnamed(self, sent_at: float, now: float) -> bool:
        """Notes that an answer named none; returns whether a limit is over.

        Args:
            sent_at: Steady time at which its request was sent.
            now: Steady time.
        """
        if sent_at <= self.at:
            return False
        was_limited = self.rate is not None
        self._end(sent_at)
        if was_limited:
            self.told_until = now + END_TOLD
        return was_limited

    def _end(self, at: float) -> None:
        self.rate = None
        self.turn = 0
        self.at = at

    def take(self, word: LimitWord, now: float) -> bool:
        """Takes another host's word; returns whether it is news.

        Args:
            word: The word.
            now: Steady time at which its age is counted.
        """
        at = now - word.age
        margin = SAME_WORD if word.rate == self.rate else 0.0
        if at <= self.at + margin:
            if self.rate is None and word.rate is not None:
                self.told_until = now + END_TOLD
            return False
        is_news = word.rate != self.rate
        if word.rate is None:
            self._end(at)
        else:
            self.rate = word.rate
            self.turn = word.turn
            self.at = at
        if is_news and word.rate is None:
            self.told_until = now + END_TOLD
        return is_news

    def word(self, now: float) -> LimitWord | None:
        """Returns what to tell other hosts; None where there is nothing."""
        if self.rate is None and now >= self.told_until:
            return None
        return LimitWord(self.rate, self.turn, now - self.at)

    def turn_at(self, now: float) -> int:
        """Returns how often other hosts were chosen for the server by now."""
        if self.rate is None:
            return 0
        silence = SILENT + SILENT_PAUSES / _used(self.rate)
        return self.turn + int((now - self.at) / silence)


def requests_at_once(rate: float) -> int:
    """Returns what all hosts together may send at one moment."""
    return int(HOSTS_PER_RATE * rate + MORE_HOSTS)


def window_of(rate: float, part: shares.Part) -> float:
    """Returns the seconds over which the parts are counted."""
    return part.all_hosts / _used(rate)


def pause_of(rate: float) -> float:
    """Returns the mean seconds between two requests of all hosts."""
    return 1.0 / _used(rate)


def _used(rate: float) -> float:
    return USED * max(rate, LEAST_RATE)
