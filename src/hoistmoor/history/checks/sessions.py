"""A session stays on its version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

INVARIANT = "a session keeps its version"


def check(history: events.History) -> Iterator[events.Violation]:
    """Yields a violation for each disallowed or unreported move of a session.

    A session may move to another version only after its version was withdrawn
    or the grant of its account was revoked, and the response must report it.
    """
    revoked = {event.version for event in history.events_of(events.Withdrawn)}
    for grant in history.events_of(events.Allowed):
        if not grant.allowed:
            revoked.add(grant.item)
    versions: dict[str, str] = {}
    for told in history.responses:
        session = history.requests_by_call[told.call_id].session
        if not session or told.outcome is not outcomes.Outcome.DONE:
            continue
        previous = versions.setdefault(session, told.version)
        if previous == told.version:
            continue
        if not told.moved or previous not in revoked:
            yield events.Violation(
                INVARIANT, f"{session} went from {previous} to {told.version}"
            )
        versions[session] = told.version
