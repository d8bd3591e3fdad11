"""Tests that cancelled attempts do not affect the state of their servers."""

from __future__ import annotations

import pytest
import routing_rows
from testtools import assertions
from testtools import matchers

from hoistmoor.core.routing import fleet
from hoistmoor.core.routing import messages

DECLINED = messages.AttemptResult(ok=False, declined=True)
CANCELLED = messages.AttemptResult(ok=False, cancelled=True)


@pytest.mark.parametrize(
    ("result", "is_ready"), [(DECLINED, False), (CANCELLED, True)]
)
def test_only_a_declined_call_starts_a_rest(
    result: messages.AttemptResult, is_ready: bool
) -> None:
    backends = fleet.Fleet("bangna")
    backends.on_table(
        routing_rows.table(routing_rows.DEFAULT_VERSIONS, servers=2)
    )
    for name in backends.by_name:
        backends.on_load(routing_rows.report(name, 1.0))
        backends.on_started(name, 1.0)
        backends.on_finished(name, "small@v1", result, 1.0)
    assertions.assert_that(
        backends.pools["small@v1"].is_ready, matchers.Is(is_ready)
    )
