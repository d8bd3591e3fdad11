"""A graceful stop interrupts no request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import refusals
from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

INVARIANT = "a planned stop cuts no request"


def check(
    history: events.History, crashed: frozenset[str] = frozenset()
) -> Iterator[events.Violation]:
    """Yields a violation for each request that a stopped host interrupted.

    Args:
        history: Events of the run.
        crashed: Hosts that were also killed and may therefore cut connections.
    """
    stopped = {
        event.host for event in history.events_of(events.StopAsked)
    } - crashed
    for cut in history.events_of(events.Cut):
        host = history.requests_by_call[cut.call_id].host
        if host in stopped:
            yield events.Violation(INVARIANT, f"{host} cut call {cut.call_id}")
    for told in history.responses:
        host = history.requests_by_call[told.call_id].host
        is_internal = told.reason == refusals.Reason.INTERNAL
        if host in stopped and is_internal:
            yield events.Violation(
                INVARIANT, f"{host} failed call {told.call_id} internally"
            )
