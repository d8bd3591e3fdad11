"""Tells of each new history of the store, and of eras that say nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.beliefs import history as history_lib

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower as follower_lib


class EraWatch:
    """Logs and counts what is heard of the store's history."""

    def __init__(
        self,
        state: state_lib.RelayState,
        followers: dict[str, follower_lib.TopicFollower],
    ) -> None:
        self._state = state
        self._followers = followers
        self._told: set[history_lib.Unusable] = set()

    def attach(self) -> None:
        """Has the history tell this watch from now on."""
        self._state.history.observers.append(self.note_era)
        self._state.history.on_unusable = self.note_unusable

    def note_era(self, before: int, era: int, told_by: str) -> None:
        """Logs a new era, and where each topic ended before."""
        self._state.counters.store_era.set(era)
        if told_by == history_lib.STORE:
            self._state.has_urgent_news.set()
        self._state.believe(
            "store_era",
            era=era,
            before=before,
            told_by=told_by,
            ends={
                name: each.place.text if each.place else None
                for name, each in self._followers.items()
            },
        )

    def note_unusable(
        self, kind: history_lib.Unusable, word: history_lib.EraWord
    ) -> None:
        """Counts an answer whose era says nothing; logs the first of a kind."""
        self._state.counters.unusable_eras.labels(kind.value).inc()
        if kind in self._told:
            return
        self._told.add(kind)
        self._state.believe(
            "store_era_unusable",
            why=kind.value,
            text=word.text,
            era=self._state.history.era,
        )
