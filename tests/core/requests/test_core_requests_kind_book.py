"""The number of request kinds per client account is limited."""

from __future__ import annotations

from testtools import assertions
from testtools import matchers

from hoistmoor.core.requests import kind_book


def test_an_account_that_names_ever_new_kinds_gets_no_more_of_them() -> None:
    book = kind_book.KindBook(per_account=2)
    admitted = [book.admit("a", kind) for kind in ("x", "y", "z", "x", "w")]
    assertions.assert_that(
        admitted, matchers.Equals(["x", "y", "other", "x", "other"])
    )
    assertions.assert_that(book.admit("b", "z"), matchers.Equals("z"))
