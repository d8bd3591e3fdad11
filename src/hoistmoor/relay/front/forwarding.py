"""Headers that go on to a backend server, and back to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from hoistmoor.core.relay.answers import cascade
from hoistmoor.core.relay.placement import urgency
from hoistmoor.relay.front import header_names

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hoistmoor.core.relay.course import messages
    from hoistmoor.core.relay.course import requests

_MS = 1000.0
DEADLINE_SLACK = 0.01  # Seconds kept back, for the answer's way to here.


def to_server(
    headers: Mapping[str, str],
    names: header_names.HeaderNames,
    request: requests.RelayRequest,
    send: messages.Send,
    last_event: int | None,
    now: float,
) -> CIMultiDict[str]:
    """Returns the headers of one attempt.

    Args:
        headers: As the caller sent them.
        names: What headers are called.
        request: The request.
        send: The attempt.
        last_event: Newest event that the caller has; None for none.
        now: Steady time.
    """
    dropped = names.set_here | _named_in_connection(headers)
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


def to_caller(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Returns the headers of an answer without those of its connection."""
    dropped = header_names.HOP_BY_HOP | _named_in_connection(headers)
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def _named_in_connection(headers: Mapping[str, str]) -> frozenset[str]:
    text = headers.get("Connection", "")
    return frozenset(word.strip().lower() for word in text.split(","))
