"""Outcome of an attempt as it affects the health of the server."""

from __future__ import annotations

import types
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


@pytest.mark.parametrize("is_invalid", [True, False])
def test_only_an_invalid_response_counts_against_its_version(
    is_invalid: bool,
) -> None:
    send: Any = types.SimpleNamespace(model="small")
    nothing: Any = None
    attempt = attempt_lib.Attempt(send, 0.0, nothing, is_invalid=is_invalid)
    timing = attempt.measure(outcomes.ExchangeState.SENT, 0.1, 1.0, 0)
    has_failed = timing is not None and timing.failed
    assertions.assert_that(has_failed, matchers.Is(is_invalid))
