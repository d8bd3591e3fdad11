"""Client for the platform's store."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import store_era
from hoistmoor.platform import store as store_lib

if TYPE_CHECKING:
    import store_standin

    from hoistmoor.platform import store

StoreFixture = tuple[
    "store_standin.StoreStandin", "store_standin.Topic", "store.StoreTopic"
]


async def test_newest_reads_all_pages(standin: StoreFixture) -> None:
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
    assertions.assert_that(
        batch.end, matchers.Equals(relay_parts.make_place(7))
    )


async def test_changes_include_offsets_and_deleted_keys(
    standin: StoreFixture,
) -> None:
    server, stored, topic = standin
    stored.records = [("a", b"1"), ("b", b"\x00\xff"), ("a", b"")]
    batch = await topic.changes(relay_parts.make_place(1), 0.5)
    found = [
        (each.key, each.value, each.place.offset) for each in batch.records
    ]
    assertions.assert_that(
        found, matchers.Equals([("b", b"\x00\xff", 1), ("a", None, 2)])
    )
    assertions.assert_that(
        batch.end, matchers.Equals(relay_parts.make_place(3))
    )
    call, query = server.calls[-1]
    assertions.assert_that(call, matchers.Equals("log-read"))
    assertions.assert_that(query["wait_ms"], matchers.Equals("500"))


async def test_expired_and_future_offsets_raise_offset_expired(
    standin: StoreFixture,
) -> None:
    server, stored, topic = standin
    stored.records = [("a", b"1")] * 5
    stored.first_kept = 3
    server.era = None
    with pytest.raises(errors.LogOffsetExpiredError):
        await topic.changes(relay_parts.make_place(1), 0.0)
    with pytest.raises(errors.LogOffsetExpiredError):
        await topic.changes(relay_parts.make_place(9), 0.0)


async def test_only_one_conditional_write_succeeds(
    standin: StoreFixture,
) -> None:
    _server, stored, topic = standin
    assertions.assert_that(
        await topic.put("k", b"first", relay_parts.make_place(0)),
        matchers.Equals(relay_parts.make_place(1)),
    )
    assertions.assert_that(
        await topic.put("k", b"second", relay_parts.make_place(0)),
        matchers.Is(None),
    )
    assertions.assert_that(stored.records, matchers.Equals([("k", b"first")]))


@pytest.mark.parametrize("status", [429, 503, 507, 500])
async def test_error_responses_raise_log_unavailable(
    standin: StoreFixture, status: int
) -> None:
    server, _stored, topic = standin
    server.status = status
    with pytest.raises(errors.LogUnavailableError):
        await topic.newest()
    with pytest.raises(errors.LogUnavailableError):
        await topic.put("k", b"v")


async def test_reading_from_an_older_era_fails(
    standin: StoreFixture,
) -> None:
    # The new era may have more records than the offset that was read up to.
    server, stored, topic = standin
    stored.records = [("a", b"1")] * 5
    server.era = "1"
    known = await topic.newest()
    assertions.assert_that(
        known.end, matchers.Equals(relay_parts.make_place(5, 1))
    )
    server.era = "3"
    stored.records = [("a", b"2")] * 9
    with pytest.raises(errors.LogEraChangedError):
        await topic.changes(known.end, 0.0)
    again = await topic.newest()
    assertions.assert_that(
        again.end, matchers.Equals(relay_parts.make_place(9, 3))
    )


async def test_pages_of_different_eras_are_read_again(
    standin: StoreFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    server, stored, topic = standin
    stored.records = [(key, b"old") for key in "abcdef"]
    server.era = "1"
    read_page = type(server)._newest

    def change_era_after_first_page(
        _: store_standin.StoreStandin, topic: store_standin.Topic, after: str
    ) -> Any:
        answer = read_page(server, topic, after)
        if after and server.era == "1":
            server.era = "2"
            stored.records = [(key, b"new") for key in "ab"]
        return answer

    monkeypatch.setattr(type(server), "_newest", change_era_after_first_page)
    batch = await topic.newest()
    found = {each.key: each.value for each in batch.records}
    assertions.assert_that(found, matchers.Equals({"a": b"new", "b": b"new"}))
    assertions.assert_that(
        batch.end, matchers.Equals(relay_parts.make_place(2, 2))
    )


async def test_a_conditional_write_fails_in_another_era(
    standin: StoreFixture,
) -> None:
    server, stored, topic = standin
    server.era = "1"
    end = await topic.put("k", b"first")
    assertions.assert_that(end, matchers.Equals(relay_parts.make_place(1, 1)))
    server.era = "2"
    assertions.assert_that(
        await topic.put("k", b"second", end), matchers.Is(None)
    )
    # Once the new era is known, the write is rejected without a request.
    assertions.assert_that(
        await topic.put("k", b"third", end), matchers.Is(None)
    )
    assertions.assert_that(stored.records, matchers.HasLength(2))


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (None, store_era.EraProblem.ABSENT),
        ("two", store_era.EraProblem.JUNK),
        ("-3", store_era.EraProblem.JUNK),
        ("9" * 30, store_era.EraProblem.JUNK),
        ("", store_era.EraProblem.JUNK),
        ("1", store_era.EraProblem.FALLING),
    ],
)
async def test_an_unusable_era_is_ignored(
    standin: StoreFixture, text: str | None, kind: store_era.EraProblem
) -> None:
    server, stored, topic = standin
    server.era = "2"
    stored.records = [("a", b"1")]
    known = await topic.newest()
    reported: list[store_era.EraProblem] = []
    topic.store_era.on_unusable = lambda why, _: reported.append(why)
    server.era = text
    stored.records.append(("a", b"2"))
    batch = await topic.changes(known.end, 0.0)
    assertions.assert_that(
        batch.end, matchers.Equals(relay_parts.make_place(2, 2))
    )
    assertions.assert_that(topic.store_era.era, matchers.Equals(2))
    assertions.assert_that(reported, matchers.Equals([kind]))


async def test_a_record_that_does_not_fit_raises_record_limit(
    standin: StoreFixture,
) -> None:
    server, stored, topic = standin
    topic.limits = store_lib.StoreLimits(record=300, request=900)
    for key, value in (
        ("k" * 256, b"v"),
        ("\u00e9" * 128, b"v"),
        ("k", b"v" * 300),
    ):
        with pytest.raises(errors.RecordLimitError):
            await topic.put(key, value)
        with pytest.raises(errors.RecordLimitError):
            await topic.put_all({"a": b"1", key: value})
    assertions.assert_that(server.calls, matchers.HasLength(0))
    await topic.put("k" * 255, b"v" * 44)
    assertions.assert_that(stored.records, matchers.HasLength(1))


async def test_many_records_are_split_by_the_size_of_a_request(
    standin: StoreFixture,
) -> None:
    server, stored, topic = standin
    topic.limits = store_lib.StoreLimits(record=300, request=900)
    records = {f"k{number}": b"v" * 200 for number in range(10)}
    await topic.put_all(records)
    assertions.assert_that(dict(stored.records), matchers.Equals(records))
    assertions.assert_that(server.calls, matchers.HasLength(3))
