"""Tells the router, the load poller and the raters how attempts went."""

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
    from hoistmoor.entry import parts as parts_lib

_MS = 1000.0


class AttemptReports:
    """Reports the attempts of one request, each of them once."""

    def __init__(
        self, parts: parts_lib.Parts, request: request_types.Request
    ) -> None:
        self._parts = parts
        self._request = request
        self._running: routing.Choice | None = None
        self._started = 0.0
        self._handed_in: list[routing.Choice] = []

    def start(self, choice: routing.Choice, now: float) -> None:
        """Reports that an attempt is sent to ``choice``."""
        self._running = choice
        self._started = now
        self._parts.router.on_started(choice.server, choice.version, now)
        self._parts.poller.on_dispatch(choice.server)
        self._parts.metrics.count("attempt.sent")

    def end(self, facts: messages.ResponseMetadata) -> None:
        """Reports that the whole answer came."""
        self._finish(ok=True, facts=facts)

    def fail(self, state: outcomes.ExchangeState) -> None:
        """Reports that the attempt ended without a whole answer."""
        declined = state is outcomes.ExchangeState.DECLINED
        if declined and self._running is not None:
            self._parts.poller.on_declined(self._running.server)
        self._finish(ok=False, declined=declined)

    def cancel(self) -> None:
        """Reports that the attempt was given up here."""
        self._finish(ok=False, cancelled=True)

    def _finish(
        self,
        *,
        ok: bool,
        declined: bool = False,
        cancelled: bool = False,
        facts: messages.ResponseMetadata | None = None,
    ) -> None:
        choice = self._running
        if choice is None:
            return
        self._running = None
        now = self._parts.clock()
        result = routes.make_attempt_result(
            self._request,
            choice,
            facts,
            ok=ok,
            declined=declined,
            cancelled=cancelled,
            seconds=now - self._started,
        )
        self._parts.router.on_finished(
            choice.server, choice.version, result, now
        )
        self._parts.metrics.timing("attempt.time", result.seconds * _MS)

    def hand_in(
        self,
        choice: routing.Choice,
        facts: messages.ResponseMetadata,
        frames: list[bytes],
    ) -> None:
        """Hands a chat's answer in for rating, each answer once.

        Args:
            choice: Who gave it.
            facts: What it says of itself.
            frames: The answer.
        """
        request = self._request
        if not isinstance(request, request_types.ChatRequest):
            return
        if choice in self._handed_in:
            return  # A held answer that went out after all.
        self._handed_in.append(choice)
        model_name, _, version = choice.version.partition("@")
        tag = quality_estimates.make_answer_id(
            f"{request.envelope.request_id}.{len(self._handed_in):x}",
            facts.confidence,
            choice.escalated,
        )
        self._parts.ratings.add(
            ratings_client.Answer(
                tag, model_name, version, request.kind, chunks.join_text(frames)
            )
        )
