"""Fixtures: a small valid table and a fold that holds it."""

from __future__ import annotations

import pytest
import table_cases

from hoistmoor.core.table import edits
from hoistmoor.core.table import fold
from hoistmoor.core.table import model


@pytest.fixture
def table() -> model.Table:
    return table_cases.small_table()


@pytest.fixture
def started(table: model.Table) -> fold.TableFold:
    """A fold at offset 0, whose active table is ``table``."""
    current = fold.TableFold()
    changes = edits.diff(model.Table(), table)
    assert isinstance(
        current.apply(0, table_cases.edit("0", -1, *changes)), fold.Accepted
    )
    return current
