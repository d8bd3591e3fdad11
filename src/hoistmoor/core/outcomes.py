"""Outcome of a request after its exchange with a backend server ended.

Once any byte of a request may have reached a backend server, the request
counts as ``not_run`` only if that server explicitly declined it.
"""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Outcome of a request as reported to the caller."""

    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class ExchangeState(enum.Enum):
    """Progress of the exchange with a backend server."""

    UNSENT = enum.auto()  # No byte of the request was sent.
    SENDING = enum.auto()  # Part of the request may have been sent.
    SENT = enum.auto()  # Request sent in full; no byte of a response yet.
    ANSWERING = enum.auto()  # Part of the response arrived.
    ANSWERED = enum.auto()  # The response arrived in full, with its end marker.
    DECLINED = enum.auto()  # The server reported that it did not run it.


OUTCOME_BY_STATE = {
    ExchangeState.UNSENT: Outcome.NOT_RUN,
    ExchangeState.SENDING: Outcome.UNKNOWN,
    ExchangeState.SENT: Outcome.UNKNOWN,
    ExchangeState.ANSWERING: Outcome.UNKNOWN,
    ExchangeState.ANSWERED: Outcome.DONE,
    ExchangeState.DECLINED: Outcome.NOT_RUN,
}


def may_resend(state: ExchangeState, idempotent: bool) -> bool:
    """Returns whether a failed request may be sent again.

    Args:
        state: Progress of the exchange that failed.
        idempotent: Whether the request may run more than once.
    """
    if OUTCOME_BY_STATE[state] is Outcome.NOT_RUN:
        return True
    return idempotent and state is not ExchangeState.ANSWERED
