"""A request that is reported as ``not_run`` was not executed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

INVARIANT = "not run is true"


def check(history: events.History) -> Iterator[events.Violation]:
    """Yields a violation for each executed request reported as ``not_run``.

    The outcome applies to the caller's attempt, and the key's outcome to all
    attempts under the same key.
    """
    for told in history.responses:
        if told.outcome is outcomes.Outcome.NOT_RUN:
            for run in history.runs_by_request.get(told.request_id, ()):
                yield events.Violation(
                    INVARIANT,
                    f"{told.request_id} was told not_run ({told.reason}) "
                    f"and ran at {run.server}",
                )
        if told.key_outcome == outcomes.Outcome.NOT_RUN:
            yield from _check_key(history, told)


def _check_key(
    history: events.History, told: events.Told
) -> Iterator[events.Violation]:
    mark = history.requests_by_call[told.call_id].mark
    for run in history.runs_by_mark.get(mark, ()):
        if run.at <= told.at:
            yield events.Violation(
                INVARIANT, f"{mark}: its key was told not_run after it ran"
            )
