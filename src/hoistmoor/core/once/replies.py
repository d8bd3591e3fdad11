"""Refusals of requests that carry an idempotency key.

``outcome`` describes the caller's current attempt, and ``key_outcome`` all
attempts under the key.
"""

from __future__ import annotations

from hoistmoor.core import outcomes
from hoistmoor.core import refusals

_NOT_RUN = outcomes.Outcome.NOT_RUN
_DONE = outcomes.Outcome.DONE
_UNKNOWN = outcomes.Outcome.UNKNOWN


def _refusal(
    reason: refusals.Reason, key_outcome: outcomes.Outcome, detail: str
) -> refusals.Refusal:
    return refusals.Refusal(reason, _NOT_RUN, detail, None, key_outcome)


def reused(key_outcome: outcomes.Outcome) -> refusals.Refusal:
    """The key was already used with a different request."""
    return _refusal(
        refusals.Reason.KEY_REUSED,
        key_outcome,
        "this key was first used with a different request",
    )


def in_progress(detail: str) -> refusals.Refusal:
    """Another attempt under the key has not ended."""
    return _refusal(refusals.Reason.KEY_IN_PROGRESS, _UNKNOWN, detail)


def outcome_unknown(detail: str) -> refusals.Refusal:
    """An attempt under the key may have run, and its outcome is lost."""
    return _refusal(refusals.Reason.KEY_OUTCOME_UNKNOWN, _UNKNOWN, detail)


def answer_not_kept() -> refusals.Refusal:
    """The request was done, but its answer was too large or old to keep."""
    return _refusal(
        refusals.Reason.KEY_DONE,
        _DONE,
        "the request under this key was done; its answer was not kept",
    )


def answer_unavailable() -> refusals.Refusal:
    """The request was done, but its answer is temporarily unreadable."""
    return _refusal(
        refusals.Reason.CLAIM_UNAVAILABLE,
        _DONE,
        "the request under this key was done; the log that has its answer "
        "cannot be read for now",
    )


def claim_unavailable(
    detail: str, key_outcome: outcomes.Outcome = _UNKNOWN
) -> refusals.Refusal:
    """The key could not be claimed on the log."""
    return _refusal(refusals.Reason.CLAIM_UNAVAILABLE, key_outcome, detail)


def ticket_invalid(detail: str) -> refusals.Refusal:
    """The ticket is malformed, forged, or issued to another account."""
    return _refusal(refusals.Reason.TICKET_INVALID, _UNKNOWN, detail)


def ticket_expired(key_outcome: outcomes.Outcome) -> refusals.Refusal:
    """The ticket has expired."""
    return _refusal(
        refusals.Reason.TICKET_EXPIRED, key_outcome, "the ticket has expired"
    )


def ticket_issuer_gone(host: str) -> refusals.Refusal:
    """The process that issued the ticket no longer runs."""
    return _refusal(
        refusals.Reason.TICKET_ISSUER_GONE,
        _UNKNOWN,
        f"host {host} has restarted or gone since it issued the ticket",
    )


def ticket_capacity_reached() -> refusals.Refusal:
    """This host has reached its limit of remembered used tickets."""
    return _refusal(
        refusals.Reason.OVERLOADED,
        _NOT_RUN,
        "this host cannot remember more used tickets for now",
    )
