"""Calls to the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors

if TYPE_CHECKING:
    import store_standin

    from hoistmoor.platform import store

Made = tuple[
    "store_standin.StoreStandin", "store_standin.Topic", "store.StoreTopic"
]


async def test_newest_records_come_from_all_pages(standin: Made) -> None:
    _, stored, topic = standin
    stored.records = [(key, b"old") for key in "abcde"]
    stored.records += [("b", b"new"), ("c", b"")]
    batch = await topic.newest()
    found = {each.key: each.value for each in batch.records}
    assertions.assert_that(
        found,
        matchers.Equals({"a": b"old", "b": b"new", "d": b"old", "e": b"old"}),
    )
    assertions.assert_that(batch.is_snapshot, matchers.Is(True))
    assertions.assert_that(batch.end, matchers.Equals(relay_parts.at(7)))


async def test_changes_have_their_offsets_and_dropped_keys(
    standin: Made,
) -> None:
    made, stored, topic = standin
    stored.records = [("a", b"1"), ("b", b"\x00\xff"), ("a", b"")]
    batch = await topic.changes(relay_parts.at(1), 0.5)
    found = [
        (each.key, each.value, each.place.offset) for each in batch.records
    ]
    assertions.assert_that(
        found, matchers.Equals([("b", b"\x00\xff", 1), ("a", None, 2)])
    )
    assertions.assert_that(batch.end, matchers.Equals(relay_parts.at(3)))
    call, query = made.calls[-1]
    assertions.assert_that(call, matchers.Equals("log-read"))
    assertions.assert_that(query["wait_ms"], matchers.Equals("500"))


async def test_forgotten_and_rewound_history_is_told(standin: Made) -> None:
    _made, stored, topic = standin
    stored.records = [("a", b"1")] * 5
    stored.first_kept = 3
    with pytest.raises(errors.LogOffsetExpiredError):
        await topic.changes(relay_parts.at(1), 0.0)
    with pytest.raises(errors.LogOffsetExpiredError):
        await topic.changes(relay_parts.at(9), 0.0)


async def test_a_conditional_write_has_one_winner(standin: Made) -> None:
    _made, stored, topic = standin
    assertions.assert_that(
        await topic.put("k", b"first", relay_parts.at(0)),
        matchers.Equals(relay_parts.at(1)),
    )
    assertions.assert_that(
        await topic.put("k", b"second", relay_parts.at(0)), matchers.Is(None)
    )
    assertions.assert_that(stored.records, matchers.Equals([("k", b"first")]))


@pytest.mark.parametrize("status", [429, 503, 507, 500])
async def test_refused_calls_are_errors(standin: Made, status: int) -> None:
    made, _stored, topic = standin
    made.status = status
    with pytest.raises(errors.LogUnavailableError):
        await topic.newest()
    with pytest.raises(errors.LogUnavailableError):
        await topic.put("k", b"v")
