"""Evacuated failure domains, including restores of the store from a copy."""

from __future__ import annotations

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import evacuations
from hoistmoor.core.relay.beliefs import store_era

NOW = 100.0


def record(
    zone: str, offset: int, era: int = 1, *, is_evacuated: bool = True
) -> evacuations.EvacuationRecord:
    place = relay_parts.make_place(offset, era)
    return evacuations.EvacuationRecord(zone, is_evacuated, place)


@pytest.fixture
def known() -> evacuations.Evacuations:
    """One failure domain is evacuated; the evacuation of another has ended."""
    made = evacuations.Evacuations()
    made.apply((), NOW, is_snapshot=True)
    records = [
        record("ended", 3),
        record("held", 4),
        record("ended", 5, is_evacuated=False),
    ]
    made.apply(records, NOW, is_snapshot=False)
    return made


def after_restore(
    known: evacuations.Evacuations, *records: evacuations.EvacuationRecord
) -> set[str]:
    """Returns the evacuated set after the first snapshot of a newer era."""
    known.apply(records, NOW, is_snapshot=True, is_return=True)
    return set(known.zones)


def after(
    known: evacuations.Evacuations,
    seconds: float,
    *records: evacuations.EvacuationRecord,
) -> set[str]:
    known.apply(records, NOW + seconds, is_snapshot=False)
    return set(known.zones)


def test_evacuation_lost_by_the_store_is_kept_until_rewritten(
    known: evacuations.Evacuations,
) -> None:
    found = after_restore(known)
    assertions.assert_that(found, matchers.Equals({"held"}))
    found = after(known, 1.0, record("held", 4, 2))
    assertions.assert_that(found, matchers.Equals({"held"}))
    found = after(known, store_era.RESTORE_GRACE_PERIOD + 1.0)
    assertions.assert_that(found, matchers.Equals({"held"}))


def test_evacuation_not_rewritten_in_time_ends(
    known: evacuations.Evacuations,
) -> None:
    after_restore(known)
    found = after(known, store_era.RESTORE_GRACE_PERIOD - 0.1)
    assertions.assert_that(found, matchers.Equals({"held"}))
    found = after(known, store_era.RESTORE_GRACE_PERIOD)
    assertions.assert_that(found, matchers.Equals(set()))


def test_ended_evacuation_in_an_older_copy_is_ignored(
    known: evacuations.Evacuations,
) -> None:
    found = after_restore(known, record("ended", 3, 2))
    assertions.assert_that(found, matchers.Equals({"held"}))
    end = record("ended", 4, 2, is_evacuated=False)
    found = after(known, 1.0, end, record("held", 5, 2))
    assertions.assert_that(found, matchers.Equals({"held"}))
    found = after(known, store_era.RESTORE_GRACE_PERIOD)
    assertions.assert_that(found, matchers.Equals({"held"}))


def test_records_written_after_the_restore_apply_at_once(
    known: evacuations.Evacuations,
) -> None:
    found = after_restore(known, record("new", 3, 2), record("ended", 2, 2))
    assertions.assert_that(found, matchers.Equals({"held", "new", "ended"}))
    end = record("held", 4, 2, is_evacuated=False)
    found = after(known, 1.0, end)
    assertions.assert_that(found, matchers.Equals({"new", "ended"}))


def test_evacuation_missing_from_a_snapshot_of_the_same_era_ends(
    known: evacuations.Evacuations,
) -> None:
    known.apply((), NOW, is_snapshot=True)
    assertions.assert_that(known.zones, matchers.Equals(frozenset()))
