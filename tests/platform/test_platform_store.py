"""Calls to the platform's store."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import history

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
    made, stored, topic = standin
    stored.records = [("a", b"1")] * 5
    stored.first_kept = 3
    made.era = None
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


async def test_a_place_of_an_older_history_is_not_read_from(
    standin: Made,
) -> None:
    # The new history may be longer than the place that was read to.
    made, stored, topic = standin
    stored.records = [("a", b"1")] * 5
    made.era = "1"
    known = await topic.newest()
    assertions.assert_that(known.end, matchers.Equals(relay_parts.at(5, 1)))
    made.era = "3"
    stored.records = [("a", b"2")] * 9
    with pytest.raises(errors.LogHistoryChangedError):
        await topic.changes(known.end, 0.0)
    again = await topic.newest()
    assertions.assert_that(again.end, matchers.Equals(relay_parts.at(9, 3)))


async def test_pages_of_two_histories_are_no_snapshot(
    standin: Made, monkeypatch: pytest.MonkeyPatch
) -> None:
    made, stored, topic = standin
    stored.records = [(key, b"old") for key in "abcdef"]
    made.era = "1"
    page = type(made)._newest

    def change_after_the_first(
        _: store_standin.StoreStandin, topic: store_standin.Topic, after: str
    ) -> Any:
        answer = page(made, topic, after)
        if after and made.era == "1":
            made.era = "2"
            stored.records = [(key, b"new") for key in "ab"]
        return answer

    monkeypatch.setattr(type(made), "_newest", change_after_the_first)
    batch = await topic.newest()
    found = {each.key: each.value for each in batch.records}
    assertions.assert_that(found, matchers.Equals({"a": b"new", "b": b"new"}))
    assertions.assert_that(batch.end, matchers.Equals(relay_parts.at(2, 2)))


async def test_a_condition_does_not_hold_in_another_history(
    standin: Made,
) -> None:
    made, stored, topic = standin
    made.era = "1"
    end = await topic.put("k", b"first")
    assertions.assert_that(end, matchers.Equals(relay_parts.at(1, 1)))
    made.era = "2"
    assertions.assert_that(
        await topic.put("k", b"second", end), matchers.Is(None)
    )
    # Now that the new history is known, nothing is sent.
    assertions.assert_that(
        await topic.put("k", b"third", end), matchers.Is(None)
    )
    assertions.assert_that(stored.records, matchers.HasLength(2))


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (None, history.Unusable.ABSENT),
        ("two", history.Unusable.JUNK),
        ("-3", history.Unusable.JUNK),
        ("9" * 30, history.Unusable.JUNK),
        ("", history.Unusable.JUNK),
        ("1", history.Unusable.FALLING),
    ],
)
async def test_an_era_that_says_nothing_changes_nothing(
    standin: Made, text: str | None, kind: history.Unusable
) -> None:
    made, stored, topic = standin
    made.era = "2"
    stored.records = [("a", b"1")]
    known = await topic.newest()
    told: list[history.Unusable] = []
    topic.history.on_unusable = lambda why, _: told.append(why)
    made.era = text
    stored.records.append(("a", b"2"))
    batch = await topic.changes(known.end, 0.0)
    assertions.assert_that(batch.end, matchers.Equals(relay_parts.at(2, 2)))
    assertions.assert_that(topic.history.era, matchers.Equals(2))
    assertions.assert_that(told, matchers.Equals([kind]))
