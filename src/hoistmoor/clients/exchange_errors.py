"""Errors of exchanges with backend servers that end incomplete."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.clients import response_handler
from hoistmoor.core import errors
from hoistmoor.core import framing
from hoistmoor.core import outcomes
from hoistmoor.core import response_heads

if TYPE_CHECKING:
    from hoistmoor.clients import events

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
    """No connection was opened, so no byte of the request was sent.

    Attributes:
        was_refused: Whether the connection was refused rather than timed out.
    """

    def __init__(
        self,
        state: outcomes.ExchangeState,
        problem: str,
        remedy: str,
        *,
        was_refused: bool = False,
    ) -> None:
        super().__init__(state, problem, remedy)
        self.was_refused = was_refused


class BackendTimeoutError(ExchangeError):
    """The response did not start or continue in time."""


class BackendDisconnectedError(ExchangeError):
    """The connection was lost before the end of the response."""


class BackendProtocolError(ExchangeError):
    """The received data cannot be a response to this attempt."""


class BackendOversizeError(BackendProtocolError):
    """The server sent more than a response may have.

    Attributes:
        place: Part of the response that is too large.
        size: Bytes received.
    """

    def __init__(
        self, state: outcomes.ExchangeState, place: framing.Place, size: int
    ) -> None:
        super().__init__(
            state,
            f"{place} of the answer too large after {size} bytes",
            "Check what the backend server sends.",
        )
        self.place = place
        self.size = size


class BackendInvalidResponseError(BackendProtocolError):
    """The server's response is not valid HTTP.

    Attributes:
        fault: Part that is not valid.
    """

    def __init__(
        self, state: outcomes.ExchangeState, fault: response_heads.ResponseFault
    ) -> None:
        super().__init__(
            state,
            f"the answer has an invalid {fault}",
            "Check what the backend server sends.",
        )
        self.fault = fault


def from_transport_error(
    state: outcomes.ExchangeState, url: str, error: Exception
) -> ExchangeError:
    """Converts an error of the HTTP library."""
    if isinstance(error, response_handler.FramingLimitError):
        return BackendOversizeError(state, error.place, error.size)
    if isinstance(error, response_handler.InvalidResponseError):
        return BackendInvalidResponseError(state, error.fault)
    if state is outcomes.ExchangeState.UNSENT:
        return BackendUnreachableError(
            state,
            f"no connection to {url}: {error!r}",
            "Try another backend server.",
            was_refused=isinstance(
                getattr(error, "os_error", error), ConnectionError
            ),
        )
    if isinstance(error, TimeoutError):
        return BackendTimeoutError(
            state,
            f"no whole answer in time from {url}: {error!r}",
            _CHECK_OUTCOME,
        )
    return BackendDisconnectedError(
        state, f"connection cut by {url}: {error!r}", _CHECK_OUTCOME
    )


def missing_end_marker(
    state: outcomes.ExchangeState, url: str
) -> BackendDisconnectedError:
    """Returns the error for a response that ended without its end marker."""
    return BackendDisconnectedError(
        state, f"{url} ended its answer without an end mark", _CHECK_OUTCOME
    )


def wrong_attempt(
    state: outcomes.ExchangeState, url: str
) -> BackendProtocolError:
    """Returns the error for a response that is not for this attempt."""
    return BackendProtocolError(
        state,
        f"{url} answered another attempt than asked",
        "Check that the backend server echoes X-Attempt-Id.",
    )


def from_large_event(
    state: outcomes.ExchangeState, error: events.EventTooLargeError
) -> BackendProtocolError:
    """Returns the error for an event that exceeds the size limit."""
    return BackendProtocolError(state, error.problem, error.remedy)
