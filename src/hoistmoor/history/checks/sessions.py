"""A session stays on its version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

PROMISE = "a session keeps its version"


def check(history: events.History) -> Iterator[events.Violation]:
    """Yields a violation for each disallowed or unreported move of a session.

    A session may move to another version only after its version was withdrawn
    or the grant of its account was revoked, and the response must report it.
    """
    revoked = {event.version for event in history.of(events.Withdrawn)}
    for grant in history.of(events.Allowed):
        if not grant.allowed:
            revoked.add(grant.item)
    versions: dict[str, str] = {}
    for told in history.told:
        session = history.asked[told.call_id].session
        if not session or told.outcome is not outcomes.Outcome.DONE:
            continue
        previous = versions.setdefault(session, told.version)
        if previous == told.version:
            continue
        if not told.moved or previous not in revoked:
            yield events.Violation(
                PROMISE, f"{session} went from {previous} to {told.version}"
            )
        versions[session] = told.version
