"""Which history of the store this host knows.

The store may come back from an older copy of itself. What was written after
that copy is gone, and its offsets are given out again. Each answer names the
era, a number that rises with each such return.

The load that it answers: every answer of the store, and one number in each
message between hosts.
"""

from __future__ import annotations

from collections.abc import Callable
import enum

import attrs

UNNAMED = 0  # Era of a store that names none.
STORE = "store"  # Who told an era that an answer of the store has named.
# Seconds for which what a new history lacks is held as it was known. Operators
# and servers write again what was lost; after that it was taken back.
HELD_FOR = 10.0
# Eras that fit beside an offset in one number; see ``topics.Place.serial``.
MOST_ERAS = 1 << 22


class Unusable(enum.StrEnum):
    """Why an answer's era says nothing."""

    ABSENT = "absent"
    JUNK = "junk"
    FALLING = "falling"


@attrs.frozen
class EraWord:
    """What an answer of the store says of its era.

    Attributes:
        text: As it was sent; None if nothing was.
        era: What it means; None if it means nothing.
    """

    text: str | None = None
    era: int | None = None


Observer = Callable[[int, int, str], None]
UnusableObserver = Callable[[Unusable, EraWord], None]


def _ignore(kind: Unusable, word: EraWord) -> None:
    """Takes an unusable era where nobody wants to know."""


@attrs.define(eq=False)
class StoreHistory:
    """The store's newest history that this host has heard of.

    Attributes:
        era: Its number.
        observers: Told of each new era: the one before, the new one, and who
            told it.
        on_unusable: Told of each answer whose era says nothing.
    """

    era: int = UNNAMED
    observers: list[Observer] = attrs.field(factory=list)
    on_unusable: UnusableObserver = _ignore

    def take_answer(self, word: EraWord, known: int) -> int:
        """Takes what an answer of the store says; returns the answer's era.

        An answer that names no era, or a lower one than was known when it was
        asked for, is taken for one of that era.

        Args:
            word: What it says.
            known: The era that was known when the call was sent.
        """
        kind = _problem(word, known)
        if kind is not None:
            self.on_unusable(kind, word)
        if word.era is None or word.era < known:
            return known
        self.learn(word.era, STORE)
        return word.era

    def learn(self, era: int, told_by: str) -> None:
        """Takes an era, and tells observers if it is newer."""
        if era <= self.era:
            return
        before, self.era = self.era, era
        for observer in self.observers:
            observer(before, era, told_by)


def _problem(word: EraWord, known: int) -> Unusable | None:
    if word.era is not None:
        return Unusable.FALLING if word.era < known else None
    if word.text is not None:
        return Unusable.JUNK
    return Unusable.ABSENT if known != UNNAMED else None
