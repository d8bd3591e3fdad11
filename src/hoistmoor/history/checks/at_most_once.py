"""A non-idempotent request is executed at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

INVARIANT = "at most once"


def check(
    history: events.History, once_items: Collection[str]
) -> Iterator[events.Violation]:
    """Yields a violation for each mark that was executed more than once.

    Args:
        history: Events of the run.
        once_items: Non-idempotent calls, as backend servers name them: method
            and path.
    """
    for mark, runs in history.runs_by_mark.items():
        once_runs = [run for run in runs if run.item in once_items]
        if len(once_runs) > 1:
            locations = ", ".join(
                f"{run.server} {run.attempt_id}" for run in runs
            )
            yield events.Violation(INVARIANT, f"{mark} ran at {locations}")
