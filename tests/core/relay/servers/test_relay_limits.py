"""What one host believes of the limits that servers name."""

from __future__ import annotations

from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import limits

NOW = 100.0


def test_an_answer_to_an_older_request_ends_no_limit() -> None:
    belief = limits.LimitBelief()
    belief.note_named(2.0, NOW)
    over = belief.note_unnamed(NOW - 0.1, NOW + 1.0)
    assertions.assert_that(over, matchers.Is(False))
    over = belief.note_unnamed(NOW + 0.5, NOW + 1.0)
    assertions.assert_that(over, matchers.Is(True))
    assertions.assert_that(belief.rate, matchers.Is(None))
