"""Tests of the fold: one edge case of accepting or rejecting an edit each."""

from __future__ import annotations

import functools
from typing import Any

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import orjson
import pytest
import table_cases as make
from testtools import assertions
from testtools import matchers

from hoistmoor.core import codec
from hoistmoor.core.table import check
from hoistmoor.core.table import edit_history
from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model
from hoistmoor.core.table import sheets


def test_conflicting_edit_is_rejected_with_author_and_offset_of_the_first(
    started: fold.TableFold,
) -> None:
    first = make.edit("a", 0, make.add_account("ann", 5), author="ann")
    second = make.edit("b", 0, make.add_account("ann", 7), author="bo")

    started.apply(1, first)
    verdict = started.apply(2, second)

    conflict = fold.Conflict(sheets.RowName("accounts", "ann"), "ann", 1)
    assertions.assert_that(
        verdict,
        matchers.Equals(
            fold.Rejected(2, second, fold.Reason.ROW_CHANGED, (conflict,))
        ),
    )
    assert started.active.revision == 1
    assert started.active.table.accounts["ann"].spend_limit == 5


def test_edits_of_different_rows_with_the_same_base_are_both_accepted(
    started: fold.TableFold,
) -> None:
    first = started.apply(1, make.edit("a", 0, make.add_account("bo")))
    second = started.apply(2, make.edit("b", 0, make.add_account("cy")))

    assert isinstance(first, fold.Accepted)
    assert isinstance(second, fold.Accepted)
    assert set(started.active.table.accounts) == {"ann", "bo", "cy"}


def test_edits_are_atomic(started: fold.TableFold) -> None:
    started.apply(1, make.edit("a", 0, make.add_account("ann", 5)))
    both = make.edit("b", 0, make.add_account("ann", 6), make.add_account("bo"))

    assert isinstance(started.apply(2, both), fold.Rejected)
    assert "bo" not in started.active.table.accounts


def test_edit_of_a_row_deleted_after_the_base_is_a_conflict(
    started: fold.TableFold,
) -> None:
    started.apply(1, make.edit("a", 0, make.add_account("bo")))
    started.apply(2, make.edit("b", 1, edits.RowDelete("accounts", "bo")))

    verdict = started.apply(3, make.edit("c", 1, make.add_account("bo", 9)))

    assert verdict.reason is fold.Reason.ROW_CHANGED
    assert verdict.conflicts[0].at_revision == 2


def test_edits_that_are_valid_alone_but_invalid_together(
    started: fold.TableFold,
) -> None:
    grant = model.Grant("bo", "m", "1", 0.5)
    started.apply(1, make.edit("a", 0, make.add_account("bo")))
    started.apply(2, make.edit("b", 1, edits.RowDelete("accounts", "bo")))

    verdict = started.apply(
        3, make.edit("c", 1, edits.RowSet("grants", grant.key, grant))
    )

    assert verdict.reason is fold.Reason.CHECK_FAILED
    assert verdict.faults[0].column == "account"


def test_second_copy_of_an_edit_is_ignored(
    started: fold.TableFold,
) -> None:
    # The first copy is rejected because its account is missing. The second
    # copy would be valid, but the verdict on the first is final.
    grant = model.Grant("bo", "m", "1", 0.5)
    copy = make.edit("g", 0, edits.RowSet("grants", grant.key, grant))
    started.apply(1, copy)
    started.apply(2, make.edit("a", 0, make.add_account("bo")))

    verdict = started.apply(3, copy)

    assertions.assert_that(
        verdict,
        matchers.Equals(
            fold.Ignored(3, fold.Reason.REPEAT, "of the edit at 1")
        ),
    )


@pytest.mark.parametrize(
    ("base", "changes", "why"),
    [
        (0, (), fold.Reason.EMPTY),
        (
            0,
            (make.add_account("bo"), edits.RowDelete("accounts", "bo")),
            fold.Reason.REPEATED_ROW,
        ),
        (1, (make.add_account("bo"),), fold.Reason.BASE_IN_FUTURE),
        (-2, (make.add_account("bo"),), fold.Reason.BASE_IN_FUTURE),
    ],
)
def test_malformed_edits_are_rejected(
    started: fold.TableFold,
    base: int,
    changes: tuple[edits.Change, ...],
    why: fold.Reason,
) -> None:
    assert started.apply(1, make.edit("a", base, *changes)).reason is why


def test_edits_older_than_the_history_are_rejected_and_evicted(
    started: fold.TableFold, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(edit_history, "MAX_BASE_AGE_RECORDS", 3)
    grant = model.Grant("bo", "m", "1", 0.5)
    copy = make.edit("g", 0, edits.RowSet("grants", grant.key, grant))
    started.apply(1, copy)  # Rejected: the account is missing.
    started.apply(2, make.edit("a", 1, make.add_account("bo")))
    for offset in (3, 4):
        started.apply(offset, fold.Undecodable("malformed"))

    assert started.apply(5, copy).reason is fold.Reason.BASE_TOO_OLD
    assert len(started.snapshot().recent_edits) <= 4


def test_changes_of_deleted_rows_are_evicted(
    started: fold.TableFold, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(edit_history, "MAX_BASE_AGE_RECORDS", 10)
    for offset in range(1, 101, 2):
        name = f"a{offset}"
        started.apply(
            offset, make.edit(name, offset - 1, make.add_account(name))
        )
        deletion = edits.RowDelete("accounts", name)
        started.apply(offset + 1, make.edit(f"d{offset}", offset, deletion))

    assert len(started.snapshot().marks["accounts"]) <= 8


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xff\x00",
        b"[]",
        b'{"type":"unheard_of"}',
        b'{"type":"table_edit","edit_id":"x"}',
    ],
)
def test_undecodable_record_leaves_the_table_unchanged(
    started: fold.TableFold, payload: bytes
) -> None:
    before = started.active

    verdict = started.apply(1, fold.decode_record(payload))

    assert verdict.is_suspect
    assert started.active is before


def test_cell_of_a_wrong_type_makes_the_record_undecodable(
    table: model.Table,
) -> None:
    payload = codec.encode(
        make.edit("a", -1, *edits.diff(model.Table(), table))
    )
    mistyped = payload.replace(b'"idempotent":false', b'"idempotent":"no"')
    assert mistyped != payload
    assert isinstance(fold.decode_record(mistyped), fold.Undecodable)


def test_edit_of_an_unknown_schema_is_ignored(
    started: fold.TableFold,
) -> None:
    newer = attrs.evolve(make.edit("a", 0, make.add_account("b")), schema=99)
    assert started.apply(1, newer).reason is fold.Reason.UNKNOWN_SCHEMA


def test_gap_is_an_error_and_an_applied_record_is_ignored(
    started: fold.TableFold,
) -> None:
    with pytest.raises(fold.TableGapError):
        started.apply(2, fold.Undecodable(""))
    assert started.apply(0, fold.Undecodable("")).reason is (
        fold.Reason.ALREADY_APPLIED
    )


def test_snapshot_holds_the_complete_state(started: fold.TableFold) -> None:
    started.apply(1, make.edit("a", 0, make.add_account("bo")))
    payload = codec.encode(started.snapshot())

    resumed = fold.TableFold.from_snapshot(codec.decode(payload))

    assert codec.encode(resumed.snapshot()) == payload
    assert resumed.active == started.active


_NAMES = strategies.sampled_from(["ann", "bo", "cy", "di"])


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    strategies.dictionaries(_NAMES, strategies.integers(0, 3)),
    strategies.dictionaries(_NAMES, strategies.integers(0, 3)),
)
def test_diff_then_apply_gives_the_new_table(
    old: dict[str, int], new: dict[str, int]
) -> None:
    def table_of(spends: dict[str, int]) -> model.Table:
        rows = {name: make.account(name, n) for name, n in spends.items()}
        return model.Table(accounts=rows)

    changes = edits.diff(table_of(old), table_of(new))
    assert edits.apply(table_of(old), changes) == table_of(new)


_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**63), 2**63 - 1),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=5),
    strategies.sampled_from(["accounts", "servers", "๑.0.0.1:80", "*"]),
)
_JSON = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=2),
        strategies.dictionaries(strategies.text(max_size=3), inner, max_size=2),
    ),
    max_leaves=4,
)


def _paths(node: object, path: tuple[object, ...] = ()) -> list[Any]:
    """Returns the paths of all values inside a JSON value."""
    items: list[tuple[Any, Any]] = []
    if isinstance(node, dict):
        items = list(node.items())
    elif isinstance(node, list):
        items = list(enumerate(node))
    below = [
        inner for key, value in items for inner in _paths(value, (*path, key))
    ]
    return [path, *below] if path else below


@settings(derandomize=True, deadline=None, max_examples=400)
@given(strategies.data())
def test_fold_accepts_arbitrary_records_without_raising(
    data: strategies.DataObject,
) -> None:
    # Every host reads the same records, so one on which the fold raises would
    # stop all hosts.
    current = fold.TableFold()
    changes = edits.diff(model.Table(), make.small_table())
    current.apply(0, make.edit("0", -1, *changes))
    record = data.draw(
        strategies.sampled_from(
            [make.edit("1", 0, *changes[:4]), current.snapshot()]
        )
    )
    fields = orjson.loads(codec.encode(record))
    path = data.draw(strategies.sampled_from(_paths(fields)))
    target = functools.reduce(lambda node, key: node[key], path[:-1], fields)
    target[path[-1]] = data.draw(_JSON)

    verdict = current.apply(1, fold.decode_record(orjson.dumps(fields)))

    assert verdict.offset == 1
    if isinstance(verdict, fold.Accepted):
        assert check.check_table(current.active.table) == ()
    codec.decode(codec.encode(current.snapshot()))


def test_rules_of_published_schemas_are_kept(table: model.Table) -> None:
    # If the verdicts of schema 1 changed, hosts of different releases would
    # diverge.
    assert list(check.RULES) == [1]
    assert check.RULES[1](table) == ()
