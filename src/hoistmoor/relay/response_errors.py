"""Logs and counts responses that a server must not send."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from hoistmoor.clients import exchange_errors

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.relay import state as state_lib


@functools.singledispatch
def record(
    error: Exception,
    state: state_lib.RelayState,
    server: server_lib.ServerState,
) -> None:
    """Records the error of an exchange if its cause is what the server sent.

    Args:
        error: Error with which the exchange ended.
        state: State of the relay.
        server: Server that was asked.
    """


@record.register(exchange_errors.BackendOversizeError)
def _(
    error: exchange_errors.BackendOversizeError,
    state: state_lib.RelayState,
    server: server_lib.ServerState,
) -> None:
    state.counters.oversize_responses.labels(error.place.value).inc()
    state.log_change(
        "server_response_too_large",
        server=server.entry.server_id,
        service=server.entry.service,
        place=error.place.value,
        size=error.size,
    )


@record.register(exchange_errors.BackendInvalidResponseError)
def _(
    error: exchange_errors.BackendInvalidResponseError,
    state: state_lib.RelayState,
    server: server_lib.ServerState,
) -> None:
    state.counters.invalid_responses.labels(error.fault.value).inc()
    state.log_change(
        "server_response_invalid",
        server=server.entry.server_id,
        service=server.entry.service,
        fault=error.fault.value,
        state=error.state.name.lower(),
    )
