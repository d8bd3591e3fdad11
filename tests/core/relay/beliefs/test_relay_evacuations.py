"""Which failure domains are evacuated, over returns of the store."""

from __future__ import annotations

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.beliefs import evacuations
from hoistmoor.core.relay.beliefs import history

NOW = 100.0


def word(
    zone: str, offset: int, era: int = 1, *, is_evacuated: bool = True
) -> evacuations.ZoneWord:
    place = relay_parts.at(offset, era)
    return evacuations.ZoneWord(zone, is_evacuated, place)


@pytest.fixture
def known() -> evacuations.Evacuations:
    """One failure domain is evacuated; another one was, and is not now."""
    made = evacuations.Evacuations()
    made.take((), NOW, is_snapshot=True)
    words = [
        word("ended", 3),
        word("held", 4),
        word("ended", 5, is_evacuated=False),
    ]
    made.take(words, NOW, is_snapshot=False)
    return made


def returned(
    known: evacuations.Evacuations, *words: evacuations.ZoneWord
) -> set[str]:
    """Returns what is evacuated after a snapshot of a newer history."""
    known.take(words, NOW, is_snapshot=True, is_return=True)
    return set(known.zones)


def later(
    known: evacuations.Evacuations,
    seconds: float,
    *words: evacuations.ZoneWord,
) -> set[str]:
    known.take(words, NOW + seconds, is_snapshot=False)
    return set(known.zones)


def test_what_the_store_has_lost_holds_until_it_is_written_again(
    known: evacuations.Evacuations,
) -> None:
    found = returned(known)
    assertions.assert_that(found, matchers.Equals({"held"}))
    found = later(known, 1.0, word("held", 4, 2))
    assertions.assert_that(found, matchers.Equals({"held"}))
    found = later(known, history.HELD_FOR + 1.0)
    assertions.assert_that(found, matchers.Equals({"held"}))


def test_what_is_not_written_again_was_taken_back(
    known: evacuations.Evacuations,
) -> None:
    returned(known)
    found = later(known, history.HELD_FOR - 0.1)
    assertions.assert_that(found, matchers.Equals({"held"}))
    found = later(known, history.HELD_FOR)
    assertions.assert_that(found, matchers.Equals(set()))


def test_an_evacuation_that_was_taken_back_does_not_return(
    known: evacuations.Evacuations,
) -> None:
    found = returned(known, word("ended", 3, 2))
    assertions.assert_that(found, matchers.Equals({"held"}))
    end = word("ended", 4, 2, is_evacuated=False)
    found = later(known, 1.0, end, word("held", 5, 2))
    assertions.assert_that(found, matchers.Equals({"held"}))
    found = later(known, history.HELD_FOR)
    assertions.assert_that(found, matchers.Equals({"held"}))


def test_what_operators_say_after_the_return_holds_at_once(
    known: evacuations.Evacuations,
) -> None:
    found = returned(known, word("new", 3, 2), word("ended", 2, 2))
    assertions.assert_that(found, matchers.Equals({"held", "new", "ended"}))
    end = word("held", 4, 2, is_evacuated=False)
    found = later(known, 1.0, end)
    assertions.assert_that(found, matchers.Equals({"new", "ended"}))


def test_what_a_snapshot_of_the_same_history_lacks_was_taken_back(
    known: evacuations.Evacuations,
) -> None:
    known.take((), NOW, is_snapshot=True)
    assertions.assert_that(known.zones, matchers.Equals(frozenset()))
