"""A caller gets the complete response to its own request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

INVARIANT = "whole answer to its own request"


def check(history: events.History) -> Iterator[events.Violation]:
    """Yields a violation for each incomplete, foreign or second response."""
    response_counts: dict[int, int] = {}
    for told in history.responses:
        response_counts[told.call_id] = response_counts.get(told.call_id, 0) + 1
        if told.outcome is not outcomes.Outcome.DONE or told.reason:
            continue
        asked = history.requests_by_call[told.call_id]
        if not told.whole:
            yield events.Violation(
                INVARIANT, f"{told.request_id} ended without its end mark"
            )
        if not told.own or told.mark not in ("", asked.mark):
            yield events.Violation(
                INVARIANT, f"{asked.mark} got {told.mark or 'foreign frames'}"
            )
    for call_id, count in response_counts.items():
        if count > 1:
            yield events.Violation(
                INVARIANT, f"call {call_id} got {count} final responses"
            )
