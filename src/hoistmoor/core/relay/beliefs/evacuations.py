"""Failure domains that operators have evacuated.

A failure domain is evacuated while a record of the operators says so. After the
store was restored from an older copy, such a record may be missing until the
operators write it again, or a deleted one may reappear. The previous state is
therefore kept for a grace period, unless a newer record overrides it.

This runs once per read of the operators' topic.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.beliefs import store_era as store_era_lib
from hoistmoor.core.relay.beliefs import topics

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class EvacuationRecord:
    """Content of one evacuation record.

    Attributes:
        zone: Failure domain.
        is_evacuated: Whether the failure domain gets no requests.
        place: Position of the record in its topic.
    """

    zone: str
    is_evacuated: bool
    place: topics.Place


class Evacuations:
    """The set of evacuated failure domains.

    Attributes:
        zones: Failure domains that currently get no requests.
    """

    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()
        self._listed: set[str] = set()  # According to the newest era.
        # State kept from the previous era, which overrides the newest one.
        self._kept: dict[str, bool] = {}
        self._kept_until = float("-inf")
        # Offset of the latest record that evacuated each failure domain.
        self._offsets: dict[str, int] = {}

    def apply(
        self,
        records: Iterable[EvacuationRecord],
        now: float,
        *,
        is_snapshot: bool,
        is_return: bool = False,
    ) -> bool:
        """Applies records; returns whether the evacuated set changed.

        Args:
            records: Evacuation records, in order.
            now: Monotonic time.
            is_snapshot: Whether failure domains without a record are no longer
                evacuated.
            is_return: Whether this is the first snapshot of a newer era.
        """
        records = tuple(records)
        if is_return:
            self._keep_previous(records, now)
        if is_snapshot:
            self._apply_snapshot(records)
        else:
            for record in records:
                self._apply_record(record)
        if now >= self._kept_until:
            self._kept.clear()
        added = {
            zone for zone, is_evacuated in self._kept.items() if is_evacuated
        }
        zones = frozenset((self._listed | added) - (self._kept.keys() - added))
        has_changed = zones != self.zones
        self.zones = zones
        return has_changed

    def _apply_record(self, record: EvacuationRecord) -> None:
        self._kept.pop(record.zone, None)
        if record.is_evacuated:
            self._listed.add(record.zone)
            self._offsets[record.zone] = record.place.offset
        else:
            self._listed.discard(record.zone)

    def _keep_previous(
        self, records: tuple[EvacuationRecord, ...], now: float
    ) -> None:
        """Keeps the state of the previous era for a grace period."""
        missing = self.zones - {record.zone for record in records}
        reappeared = {
            record.zone
            for record in records
            if record.zone not in self.zones
            and self._offsets.get(record.zone) == record.place.offset
        }
        self._kept = dict.fromkeys(missing, True)
        self._kept |= dict.fromkeys(reappeared, False)
        self._kept_until = now + store_era_lib.RESTORE_GRACE_PERIOD

    def _apply_snapshot(self, records: tuple[EvacuationRecord, ...]) -> None:
        self._listed = {record.zone for record in records}
        for record in records:
            if self._kept.get(record.zone) is not False:
                self._offsets[record.zone] = record.place.offset
