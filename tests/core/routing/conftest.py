"""Fixtures of the routing tests."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import routing_rows

from hoistmoor.core.routing import router
from hoistmoor.core.table import model

MakeTable = Callable[..., model.Table]
MakeRouter = Callable[..., router.Router]


@pytest.fixture
def make_table() -> MakeTable:
    return routing_rows.table


@pytest.fixture
def make_router() -> MakeRouter:
    def make(
        table: model.Table, host: str = "bangna-1", seed: int = 7
    ) -> router.Router:
        created = router.Router("bangna", seed, host)
        created.on_table(model.ActiveTable(1, table))
        return created

    return make
