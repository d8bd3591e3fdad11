"""Errors of exchanges with backend servers that end incomplete."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core import outcomes

if TYPE_CHECKING:
    from hoistmoor.clients import frames

_CHECK_OUTCOME = "Check the outcome of the request before sending it again."


class ExchangeError(errors.HoistmoorError):
    """An exchange ended without a complete response.

    Attributes:
        state: Progress of the exchange when it failed.
    """

    def __init__(
        self, state: outcomes.ExchangeState, problem: str, remedy: str
    ) -> None:
        super().__init__(problem, remedy)
        self.state = state


class BackendUnreachableError(ExchangeError):
    """No connection was opened, so no byte of the request was sent."""


class BackendTimeoutError(ExchangeError):
    """The response did not start or continue in time."""


class BackendCutError(ExchangeError):
    """The connection was lost before the end of the response."""


class BackendProtocolError(ExchangeError):
    """The received data cannot be a response to this attempt."""


def of_transport(
    state: outcomes.ExchangeState, url: str, error: Exception
) -> ExchangeError:
    """Converts an error of the HTTP library."""
    if state is outcomes.ExchangeState.UNSENT:
        return BackendUnreachableError(
            state,
            f"cannot connect to {url}: {error!r}",
            "Try another backend server.",
        )
    if isinstance(error, TimeoutError):
        return BackendTimeoutError(
            state,
            f"{url} did not complete its response in time: {error!r}",
            _CHECK_OUTCOME,
        )
    return BackendCutError(
        state, f"connection to {url} was lost: {error!r}", _CHECK_OUTCOME
    )


def without_end_mark(
    state: outcomes.ExchangeState, url: str
) -> BackendCutError:
    """Returns the error for a response that ended without its end marker."""
    return BackendCutError(
        state, f"{url} ended its response without an end marker", _CHECK_OUTCOME
    )


def of_other_attempt(
    state: outcomes.ExchangeState, url: str
) -> BackendProtocolError:
    """Returns the error for a response that is not for this attempt."""
    return BackendProtocolError(
        state,
        f"{url} sent a response that belongs to another attempt",
        "Check that the backend server echoes X-Attempt-Id.",
    )


def of_large_event(
    state: outcomes.ExchangeState, error: frames.EventTooLargeError
) -> BackendProtocolError:
    """Returns the error for an event that exceeds the size limit."""
    return BackendProtocolError(state, error.problem, error.remedy)
