"""Each request is billed exactly once."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

INVARIANT = "billed once"


def check(history: events.History) -> Iterator[events.Violation]:
    """Yields a violation for each missing or excess bill.

    Readers of the log drop bills that repeat an account and request id. A
    duplicate bill is therefore a violation only if its amount or account
    differs; a bill for a request that was not executed always is.
    """
    bills: dict[tuple[str, str], set[int]] = {}
    for bill in history.events_of(events.Billed):
        key = (bill.account, bill.request_id)
        bills.setdefault(key, set()).add(bill.amount)
    yield from _check_responses(history, bills)
    yield from _check_bills(history, bills)


def _check_responses(
    history: events.History, bills: dict[tuple[str, str], set[int]]
) -> Iterator[events.Violation]:
    for told in history.responses:
        if told.outcome is not outcomes.Outcome.DONE or not told.whole:
            continue
        account = history.requests_by_call[told.call_id].account
        if (account, told.request_id) not in bills:
            yield events.Violation(
                INVARIANT, f"{told.request_id} was answered and not billed"
            )


def _check_bills(
    history: events.History, bills: dict[tuple[str, str], set[int]]
) -> Iterator[events.Violation]:
    requests = Counter(request_id for _, request_id in bills)
    for (account, request_id), amounts in bills.items():
        if len(amounts) > 1:
            yield events.Violation(
                INVARIANT, f"{request_id} has bills of {sorted(amounts)}"
            )
        if requests[request_id] > 1:
            yield events.Violation(
                INVARIANT, f"{request_id} is billed to others than {account}"
            )
        if request_id not in history.runs_by_request:
            yield events.Violation(
                INVARIANT, f"{request_id} is billed and ran nowhere"
            )
