"""A request runs only on a version or call that its account may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

INVARIANT = "allowed versions only"


def check(history: events.History) -> Iterator[events.Violation]:
    """Yields a violation for each run on an item that was not granted.

    The ``Allowed`` events of an account and item delimit the intervals in
    which the account may use the item. The time of the run stands in for
    that of its dispatch, which is at or before it.
    """
    grants: dict[tuple[str, str], list[events.Allowed]] = {}
    for event in history.events_of(events.Allowed):
        grants.setdefault((event.account, event.item), []).append(event)
    accounts = _accounts_by_request(history)
    for run in history.runs:
        account = accounts.get(run.request_id)
        if account is None:
            continue
        if not _was_allowed(grants.get((account, run.item), []), run.at):
            yield events.Violation(
                INVARIANT, f"{run.attempt_id}: {account} may not use {run.item}"
            )


def _accounts_by_request(history: events.History) -> dict[str, str]:
    return {
        told.request_id: history.requests_by_call[told.call_id].account
        for told in history.responses
        if told.request_id
    }


def _was_allowed(grants: list[events.Allowed], at: float) -> bool:
    earlier = [grant for grant in grants if grant.at <= at]
    if earlier:
        return earlier[-1].allowed
    # Before its first event, a grant may already be in force on some hosts.
    return any(grant.allowed for grant in grants)
