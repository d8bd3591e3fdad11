"""Service that a request is expected to take, in seconds of a usual server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests

# Prompt tokens of the smallest model that an engine reads in a second. Only the
# ratio between accounts decides, so the order of magnitude suffices.
TOKENS_PER_SECOND = 40_000.0


def expected_seconds(request: requests.RelayRequest, model: str = "") -> float:
    """Returns the seconds that one attempt at a request takes.

    The duration of a plain request is not known in advance; it counts as the
    target latency of its route.

    Args:
        request: The request.
        model: The requested model; empty for the least work.
    """
    if request.prompt is None:
        return request.route.target
    return request.work(model) / TOKENS_PER_SECOND


def additional_seconds(
    request: requests.RelayRequest, model: str, *, is_retry: bool
) -> float:
    """Returns the seconds of an attempt that its request has not counted yet.

    A request counts with the least work when it arrives.

    Args:
        request: The request.
        model: The model requested in the attempt.
        is_retry: Whether a server has already received the request.
    """
    seconds = expected_seconds(request, model)
    return seconds if is_retry else seconds - expected_seconds(request)
