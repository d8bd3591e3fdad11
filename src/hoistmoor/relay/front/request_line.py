"""Writes the lines of a request, and counts it once it has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.core.relay.course import messages

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.relay import state as state_lib


def note_version(
    state: state_lib.RelayState,
    request: requests.RelayRequest,
    send: messages.Send,
    before: str | None,
) -> None:
    """Writes the version that a session's attempt goes to.

    While a roll-out goes on, or where it is another one than before: then the
    lines of all hosts tell together how a session went.

    Args:
        state: What this host knows.
        request: The request.
        send: The attempt.
        before: Version of the session, as far as this host knows.
    """
    if not request.session:
        return
    version = send.server.entry.version
    progress = state.router.rollouts.progress.get(request.service)
    is_settled = progress is None or progress.phase.is_final
    if is_settled and before in (None, version):
        return
    state.log.write(
        "session_sent",
        id=request.request_id,
        session=request.session,
        service=request.service,
        version=version,
        before=before,
        order=progress.order.number if progress else None,
        phase=progress.phase.value if progress else None,
    )


def note_end(
    state: state_lib.RelayState,
    request: requests.RelayRequest,
    effect: messages.Effect,
    attempts: list[str],
) -> None:
    """Counts a request; writes it unless it was plainly served.

    Args:
        state: What this host knows.
        request: The request.
        effect: How it ended.
        attempts: A text for each of its attempts.
    """
    reason, outcome = _ending(effect)
    took = state.clock() - request.arrived
    route = request.route
    state.counters.answers.labels(reason, outcome).inc()
    state.counters.durations.labels(route.name).observe(took)
    is_plain = reason == "delivered" and len(attempts) == 1
    if is_plain and took <= route.target:
        return
    state.log.write(
        "request",
        id=request.request_id,
        fingerprint=request.fingerprint,
        route=route.name,
        service=request.service,
        account=request.account,
        revision=request.revision,
        age=round(state.lease.age(state.clock()), 3),
        took=round(took, 3),
        reason=reason,
        outcome=outcome,
        attempts=attempts,
    )


def _ending(effect: messages.Effect) -> tuple[str, str]:
    """Returns reason and outcome, for logs and metrics."""
    if isinstance(effect, messages.Refuse):
        return effect.refusal.reason.value, effect.refusal.outcome.value
    if isinstance(effect, messages.Break):
        return "broken_off", outcomes.Outcome.UNKNOWN.value
    return "delivered", outcomes.Outcome.DONE.value
