"""Statements: invalid records, range sets and resuming from checkpoints."""

from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies
from testtools import assertions
from testtools import matchers

from hoistmoor.core import codec
from hoistmoor.core.billing import bills
from hoistmoor.core.billing import ranges
from hoistmoor.core.billing import statement as statement_lib


def payload(*serials: int) -> bytes:
    batch = tuple(
        bills.Bill("acme", f"e1.7.{n:x}", "m@1", 2, 3, 5, 1, 0.0, 1)
        for n in serials
    )
    return codec.encode(bills.BillBatch("e1", 7, "e1.7.1", batch))


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(strategies.integers(0, 30)))
def test_range_set_behaves_like_a_set(numbers: list[int]) -> None:
    range_set = ranges.RangeSet()
    seen: set[int] = set()
    for number in numbers:
        assert range_set.add(number) is (number not in seen)
        seen.add(number)
    pairs = range_set.pairs()
    members = [n for first, last in pairs for n in range(first, last + 1)]
    assertions.assert_that(members, matchers.Equals(sorted(seen)))
    assert all(a[1] + 1 < b[0] for a, b in itertools.pairwise(pairs))


def test_an_undecodable_record_is_reported_and_skipped() -> None:
    statement = statement_lib.Statement()
    for offset, record in enumerate([payload(1), b"no json", payload(1, 2)]):
        statement.apply(offset, 0.0, record)
    line = statement.lines["acme"]["m@1"]
    totals = (line.count, line.amount, statement.repeats)
    assertions.assert_that(totals, matchers.Equals((2, 10, 1)))
    assertions.assert_that(
        [bad.offset for bad in statement.invalid_records], matchers.Equals([1])
    )


def test_a_checkpoint_replaces_the_records_before_it() -> None:
    whole = statement_lib.Statement()
    whole.apply(0, 0.0, payload(1, 2))
    checkpoint = codec.decode(codec.encode(whole.checkpoint()))
    resumed = statement_lib.Statement.from_checkpoint(checkpoint)
    for statement in (whole, resumed):
        statement.apply(1, 0.0, payload(2, 3))
    assertions.assert_that(resumed.lines, matchers.Equals(whole.lines))
    assertions.assert_that(resumed.repeats, matchers.Equals(1))


def test_a_checkpoint_that_differs_from_the_records_is_reported() -> None:
    statement = statement_lib.Statement()
    statement.apply(0, 0.0, payload(1))
    wrong = statement_lib.Statement().checkpoint_through(0)
    statement.apply(1, 0.0, codec.encode(wrong))
    assertions.assert_that(statement.invalid_records, matchers.HasLength(1))


def test_records_removed_before_a_checkpoint_are_counted() -> None:
    statement = statement_lib.Statement()
    statement.skip_to(4)
    assertions.assert_that(statement.missing_records, matchers.Equals(4))
