"""Outcome of an attempt as it affects the health of the server."""

from __future__ import annotations

from typing import Any

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.core.relay.answers import response_times
from hoistmoor.relay.front import attempt as attempt_lib

Outcome = response_times.AttemptOutcome


@pytest.mark.parametrize(
    ("has_timed_out", "expected"),
    [
        (True, Outcome.SILENT),
        # A response that belongs to another attempt is no silence.
        (False, Outcome.FAILED),
    ],
)
def test_only_a_timeout_counts_as_silence(
    has_timed_out: bool, expected: response_times.AttemptOutcome
) -> None:
    nothing: Any = None
    attempt = attempt_lib.Attempt(
        nothing, 0.0, nothing, has_timed_out=has_timed_out
    )
    found = attempt.outcome(outcomes.ExchangeState.SENT, frozenset())
    assertions.assert_that(found, matchers.Is(expected))
