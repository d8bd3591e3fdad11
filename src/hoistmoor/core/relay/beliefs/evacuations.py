"""Which failure domains operators have evacuated.

A failure domain is evacuated as long as the operators' record of it stands.
Where the store has come back from an older copy, a record may be missing that
operators are about to write again, or be there again that they took back. What
was known holds for some time then, unless they say otherwise meanwhile.

The load that it answers: a look with each read of the operators' topic.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.beliefs import history as history_lib
from hoistmoor.core.relay.beliefs import topics

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class ZoneWord:
    """What one record of the operators says.

    Attributes:
        zone: The failure domain.
        is_evacuated: Whether it gets nothing.
        place: Of the record.
    """

    zone: str
    is_evacuated: bool
    place: topics.Place


class Evacuations:
    """Failure domains that get nothing.

    Attributes:
        zones: Those that get nothing now.
    """

    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()
        self._listed: set[str] = set()  # As the newest history says.
        # What was known before that history, against what it says.
        self._held: dict[str, bool] = {}
        self._held_until = float("-inf")
        # Offset of the newest record by which each was evacuated.
        self._offsets: dict[str, int] = {}

    def take(
        self,
        words: Iterable[ZoneWord],
        now: float,
        *,
        is_snapshot: bool,
        is_return: bool = False,
    ) -> bool:
        """Takes what was read; returns whether the failure domains change.

        Args:
            words: What the records say, in order.
            now: Steady time.
            is_snapshot: Whether what is not in it was taken back.
            is_return: Whether it is the snapshot of a newer history.
        """
        words = tuple(words)
        if is_return:
            self._hold(words, now)
        if is_snapshot:
            self._take_snapshot(words)
        else:
            for word in words:
                self._take_word(word)
        if now >= self._held_until:
            self._held.clear()
        added = {zone for zone, is_it in self._held.items() if is_it}
        zones = frozenset((self._listed | added) - (self._held.keys() - added))
        changes = zones != self.zones
        self.zones = zones
        return changes

    def _take_word(self, word: ZoneWord) -> None:
        self._held.pop(word.zone, None)
        if word.is_evacuated:
            self._listed.add(word.zone)
            self._offsets[word.zone] = word.place.offset
        else:
            self._listed.discard(word.zone)

    def _hold(self, words: tuple[ZoneWord, ...], now: float) -> None:
        """Holds what was known against a newer history for some time."""
        lost = self.zones - {word.zone for word in words}
        returned = {
            word.zone
            for word in words
            if word.zone not in self.zones
            and self._offsets.get(word.zone) == word.place.offset
        }
        self._held = dict.fromkeys(lost, True)
        self._held |= dict.fromkeys(returned, False)
        self._held_until = now + history_lib.HELD_FOR

    def _take_snapshot(self, words: tuple[ZoneWord, ...]) -> None:
        self._listed = {word.zone for word in words}
        for word in words:
            if self._held.get(word.zone) is not False:
                self._offsets[word.zone] = word.place.offset
