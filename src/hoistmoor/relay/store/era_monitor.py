"""Reports new eras of the store, and responses without a usable era.

A store that is restored from an older copy starts a new era: records written
after that copy are gone, and their offsets are used again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.beliefs import store_era as store_era_lib

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower as follower_lib


class EraMonitor:
    """Logs and counts changes of the store's era."""

    def __init__(
        self,
        state: state_lib.RelayState,
        followers: dict[str, follower_lib.TopicFollower],
    ) -> None:
        self._state = state
        self._followers = followers
        self._logged_kinds: set[store_era_lib.EraProblem] = set()

    def attach(self) -> None:
        """Subscribes to the store's era."""
        self._state.store_era.observers.append(self.on_new_era)
        self._state.store_era.on_unusable = self.on_unusable_era

    def on_new_era(self, before: int, era: int, source: str) -> None:
        """Logs a new era, and where each topic ended in the previous one."""
        self._state.counters.store_era.set(era)
        if source == store_era_lib.STORE:
            self._state.has_urgent_changes.set()
        self._state.log_change(
            "store_era",
            era=era,
            before=before,
            told_by=source,
            ends={
                name: each.place.text if each.place else None
                for name, each in self._followers.items()
            },
        )

    def on_unusable_era(
        self, kind: store_era_lib.EraProblem, header: store_era_lib.EraHeader
    ) -> None:
        """Counts a response without a usable era; logs the first of a kind."""
        self._state.counters.unusable_eras.labels(kind.value).inc()
        if kind in self._logged_kinds:
            return
        self._logged_kinds.add(kind)
        self._state.log_change(
            "store_era_unusable",
            why=kind.value,
            text=header.text,
            era=self._state.store_era.era,
        )
