"""Retention, lag and paging of the log stand-in's streams."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import orjson
from testtools import assertions
from testtools import matchers

from hoistmoor.standins import log
from hoistmoor.standins import token_bucket


def offsets(stream: log.Stream, start: int, end: int) -> list[int]:
    page = orjson.loads(stream.encode_page(start, end))
    return [row["offset"] for row in page["records"]]


@settings(derandomize=True, deadline=None)
@given(
    strategies.lists(strategies.integers(0, 5), max_size=60),
    strategies.integers(1, 8),
)
def test_retention_keeps_the_newest_in_order(
    delays: list[int], max_records: int
) -> None:
    stream = log.Stream(max_age=10.0, max_records=max_records)
    append_times = []
    now = 0.0
    for delay in delays:
        now += delay
        append_times.append(now)
        stream.append(b"x", now)
    kept = [n for n, at in enumerate(append_times) if at >= now - 10.0][
        -max_records:
    ]
    first = kept[0] if kept else 0
    assertions.assert_that(stream.first_offset, matchers.Equals(first))
    assertions.assert_that(
        offsets(stream, first, stream.next_offset), matchers.Equals(kept)
    )


def test_expired_records_are_trimmed_from_memory() -> None:
    stream = log.Stream(max_age=10.0, max_records=10)
    for number in range(5000):
        stream.append(b"x", float(number))
    assertions.assert_that(len(stream.records), matchers.LessThan(1100))
    assertions.assert_that(
        offsets(stream, 4995, 4997), matchers.Equals([4995, 4996])
    )


def test_lag_hides_the_newest_records() -> None:
    stream = log.Stream(max_age=100.0, max_records=100)
    for number in range(5):
        stream.append(b"x", float(number))
    assertions.assert_that(stream.visible_end(4.0, 0.0), matchers.Equals(5))
    assertions.assert_that(stream.visible_end(4.0, 2.0), matchers.Equals(3))
    assertions.assert_that(stream.visible_end(4.0, 60.0), matchers.Equals(0))


def test_rate_limit() -> None:
    limiter = token_bucket.TokenBucket(2.0)
    admitted = [limiter.try_take(100.0) for _ in range(3)]
    assertions.assert_that(admitted, matchers.Equals([True, True, False]))
    assertions.assert_that(limiter.try_take(100.5), matchers.Is(True))
    assertions.assert_that(limiter.try_take(100.5), matchers.Is(False))
    assertions.assert_that(
        token_bucket.TokenBucket(0.0).try_take(0.0), matchers.Is(True)
    )
