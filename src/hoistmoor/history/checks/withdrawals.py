"""Withdrawn versions and leaving backend servers get no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

WITHDRAWN = "withdrawn versions get no new work"
LEAVING = "leaving backend servers get no new work"


def check(history: events.History) -> Iterator[events.Violation]:
    """Yields a violation for each run that started after the deadline."""
    withdrawn = {
        event.version: event.at for event in history.events_of(events.Withdrawn)
    }
    left = {
        event.server: event.at for event in history.events_of(events.ServerLeft)
    }
    for run in history.runs:
        if run.at > withdrawn.get(run.item, run.at):
            yield events.Violation(
                WITHDRAWN, f"{run.attempt_id} ran on {run.item}"
            )
        if run.at > left.get(run.server, run.at):
            yield events.Violation(
                LEAVING, f"{run.attempt_id} ran at {run.server}"
            )
