"""Headers to forward to a backend server and back to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from hoistmoor.core.relay.answers import cascade
from hoistmoor.core.relay.placement import urgency
from hoistmoor.relay.front import header_names
from hoistmoor.relay.links import forward_headers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core.relay.course import messages
    from hoistmoor.core.relay.course import requests

_MS = 1000.0
# Seconds subtracted from the server's deadline, for the response to arrive.
DEADLINE_SLACK = 0.01


def to_server(
    headers: Mapping[str, str],
    names: header_names.HeaderNames,
    request: requests.RelayRequest,
    send: messages.Send,
    last_event: int | None,
    now: float,
) -> CIMultiDict[str]:
    """Returns the request headers of one attempt.

    Args:
        headers: Headers sent by the caller.
        names: Header names of the platform.
        request: Admitted request.
        send: Decision that names the server and the model.
        last_event: Id of the last event that the caller has received; None if
            there is none.
        now: Monotonic time.
    """
    dropped = (
        names.removed_from_requests
        | forward_headers.ALL
        | _connection_options(headers)
    )
    result = CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )
    left = max(0.0, send.deadline - now - DEADLINE_SLACK)
    result[names.deadline_ms] = str(max(1, int(left * _MS)))
    result[names.expected_server] = send.server.entry.server_id
    if request.account:
        result[names.account] = request.account
    if request.prompt and request.prompt.model == cascade.ANY_MODEL:
        result[names.model] = send.model
    if request.prompt:
        rank = urgency.rank_of(request, send.model)
        result[names.urgency] = str(rank)
    if last_event is not None:
        result[names.last_event] = str(last_event)
    return result


def without_hop(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the headers of a message for its next hop.

    Leaves out what concerns one connection, and what relays say to each other.
    """
    dropped = (
        header_names.HOP_BY_HOP
        | forward_headers.ALL
        | _connection_options(headers)
    )
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def _connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    text = headers.get("Connection", "")
    return frozenset(word.strip().lower() for word in text.split(","))
