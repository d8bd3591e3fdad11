"""The number of request kinds per client account is limited."""

from __future__ import annotations

from testtools import assertions
from testtools import matchers

from hoistmoor.core.requests import kind_registry


def test_kinds_above_the_account_limit_are_grouped() -> None:
    book = kind_registry.KindRegistry(per_account=2)
    admitted = [book.register("a", kind) for kind in ("x", "y", "z", "x", "w")]
    assertions.assert_that(
        admitted, matchers.Equals(["x", "y", "other", "x", "other"])
    )
    assertions.assert_that(book.register("b", "z"), matchers.Equals("z"))
