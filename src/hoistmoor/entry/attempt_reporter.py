"""Reports attempts to the router, the load poller and the rating service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.clients import ratings as ratings_client
from hoistmoor.core import outcomes
from hoistmoor.core.requests import chunks
from hoistmoor.core.requests import request_types
from hoistmoor.core.requests import routes
from hoistmoor.core.routing import quality_estimates

if TYPE_CHECKING:
    from hoistmoor.core.requests import messages
    from hoistmoor.core.routing import messages as routing
    from hoistmoor.entry import components as components_lib

_MS_PER_SECOND = 1000.0


class AttemptReporter:
    """Reports each attempt of one request exactly once."""

    def __init__(
        self, parts: components_lib.Components, request: request_types.Request
    ) -> None:
        self._parts = parts
        self._request = request
        self._running: routing.Choice | None = None
        self._started = 0.0
        self._submitted: list[routing.Choice] = []

    def record_start(self, choice: routing.Choice, now: float) -> None:
        """Reports that an attempt is sent to the chosen backend server.

        Args:
            choice: The backend server and the version.
            now: Seconds since the epoch.
        """
        self._running = choice
        self._started = now
        self._parts.router.on_started(choice.server, choice.version, now)
        self._parts.load_poller.on_dispatch(choice.server)
        self._parts.metrics.count("attempt.sent")

    def record_success(self, metadata: messages.ResponseMetadata) -> None:
        """Reports that the complete response was received."""
        self._finish(ok=True, metadata=metadata)

    def record_failure(self, state: outcomes.ExchangeState) -> None:
        """Reports that the attempt ended without a complete response."""
        declined = state is outcomes.ExchangeState.DECLINED
        if declined and self._running is not None:
            self._parts.load_poller.on_declined(self._running.server)
        self._finish(ok=False, declined=declined)

    def record_cancellation(self) -> None:
        """Reports that this host cancelled the attempt."""
        self._finish(ok=False, cancelled=True)

    def _finish(
        self,
        *,
        ok: bool,
        declined: bool = False,
        cancelled: bool = False,
        metadata: messages.ResponseMetadata | None = None,
    ) -> None:
        choice = self._running
        if choice is None:
            return
        self._running = None
        now = self._parts.clock()
        result = routes.make_attempt_result(
            self._request,
            choice,
            metadata,
            ok=ok,
            declined=declined,
            cancelled=cancelled,
            seconds=now - self._started,
        )
        self._parts.router.on_finished(
            choice.server, choice.version, result, now
        )
        self._parts.metrics.timing(
            "attempt.time", result.seconds * _MS_PER_SECOND
        )

    def submit_for_rating(
        self,
        choice: routing.Choice,
        metadata: messages.ResponseMetadata,
        frames: list[bytes],
    ) -> None:
        """Submits the response to a chat request for rating, at most once.

        Args:
            choice: The backend server and the version that responded.
            metadata: Metadata of the response, such as its confidence.
            frames: The body of the response.
        """
        request = self._request
        if not isinstance(request, request_types.ChatRequest):
            return
        if choice in self._submitted:
            # Already submitted when it was held back for an escalation, and
            # then sent to the caller after all.
            return
        self._submitted.append(choice)
        model_name, _, version = choice.version.partition("@")
        tag = quality_estimates.make_answer_id(
            f"{request.envelope.request_id}.{len(self._submitted):x}",
            metadata.confidence,
            choice.escalated,
        )
        self._parts.ratings.add(
            ratings_client.ModelResponse(
                tag, model_name, version, request.kind, chunks.join_text(frames)
            )
        )
