"""What hosts tell one another of starts of servers that leave, once each.

A leaving server's end cuts what runs on it, so a host is better off to know of
it before an answer of its own. The load that it answers: a roll-out by which
100 of 1,000 servers leave within seconds, before 360 hosts that write to each
other three times a second over links of 10 Mbit/s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import serials as serials_lib

MOST_TOLD = 64  # Words in one message: 3 KB; the rest follows with the next.
# Words that are kept, and seconds for which they are told. A server that leaves
# ends within seconds or minutes; then nobody chooses it in any case.
MOST_KEPT = 2048
LIFE = 600.0

Ages = dict[str, float]  # Seconds since the first word, by server's identity.


@attrs.define
class _Word:
    identity: str
    at: float
    serial: int


class DepartureWords:
    """What this host has heard of starts that leave, from anybody."""

    def __init__(self, serials: serials_lib.Serials) -> None:
        self._serials = serials
        self._words: dict[str, _Word] = {}  # Oldest change first.

    def note(self, identity: str, at: float) -> bool:
        """Notes that a start leaves; returns whether that is news.

        Args:
            identity: Stands for the start.
            at: Steady time of the answer that said so.
        """
        if identity in self._words:
            return False
        self._words[identity] = _Word(identity, at, self._serials.take())
        if len(self._words) > MOST_KEPT:
            del self._words[next(iter(self._words))]
        return True

    def said_at(self, identity: str) -> float | None:
        """Returns the steady time at which a start said so, if it did."""
        word = self._words.get(identity)
        return None if word is None else word.at

    def forget(self, identity: str) -> None:
        """Forgets a start: another one has its name."""
        self._words.pop(identity, None)

    def news(self, after: int, now: float) -> tuple[Ages, int]:
        """Returns what is new, oldest first, and up to which serial.

        Args:
            after: Serial up to which it was told already.
            now: Steady time.
        """
        live = (each for each in self._words.values() if now - each.at <= LIFE)
        new, until = self._serials.batch(live, after, MOST_TOLD)
        return {each.identity: round(now - each.at, 3) for each in new}, until
