"""Tests that the generated tables in the docs match the sources."""

from __future__ import annotations

from typing import TYPE_CHECKING

import docs_blocks
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import refusals

if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.mark.parametrize(
    ("page", "name", "render"),
    docs_blocks.BLOCKS,
    ids=[name for _, name, _ in docs_blocks.BLOCKS],
)
def test_tables_match_the_sources(
    page: str, name: str, render: Callable[[], str]
) -> None:
    text = (docs_blocks.DOCS / page).read_text()
    assertions.assert_that(
        text, matchers.Equals(docs_blocks.fill_block(text, name, render()))
    )


def test_each_reason_has_a_rule_with_a_retry_after() -> None:
    assertions.assert_that(
        set(refusals.RULES), matchers.Equals(set(refusals.Reason))
    )
    for rule in refusals.RULES.values():
        assertions.assert_that(rule.retry_after, matchers.GreaterThan(0))
