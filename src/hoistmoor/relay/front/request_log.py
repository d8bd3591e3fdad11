"""Event log lines and metrics of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.course import messages

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.relay import state as state_lib


def log_session_version(
    state: state_lib.RelayState,
    request: requests.RelayRequest,
    send: messages.Send,
    before: str | None,
) -> None:
    """Logs the version to which a session's attempt is sent.

    A line is written during a rollout and whenever the version changes, so
    that the logs of all hosts together show the history of the session.

    Args:
        state: State of this host.
        request: Admitted request.
        send: Decision that names the server.
        before: Previous version of the session, as known to this host.
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


def record_request_end(
    state: state_lib.RelayState,
    request: requests.RelayRequest,
    effect: messages.Effect,
    attempts: list[str],
) -> None:
    """Counts a finished request, and logs it unless it was unremarkable.

    A request is unremarkable if its first attempt was delivered within the
    route's latency target.

    Args:
        state: State of this host.
        request: Admitted request.
        effect: Final effect of the request.
        attempts: Summary of each attempt.
    """
    reason, outcome = _reason_and_outcome(effect)
    took = state.clock() - request.arrived
    is_plain = reason == "delivered" and len(attempts) == 1
    is_notable = not is_plain or took > request.route.target
    _record(state, request, reason, outcome, attempts, is_logged=is_notable)


def record_caller_left(
    state: state_lib.RelayState,
    request: requests.RelayRequest,
    attempts: list[str],
) -> None:
    """Counts and logs a request whose caller left before its answer ended.

    Args:
        state: State of this host.
        request: Admitted request.
        attempts: Summary of each attempt, with the one under way.
    """
    reason = refusals.Reason.CALLER_LEFT.value
    outcome = outcomes.Outcome.UNKNOWN.value
    _record(state, request, reason, outcome, attempts, is_logged=True)


def _record(
    state: state_lib.RelayState,
    request: requests.RelayRequest,
    reason: str,
    outcome: str,
    attempts: list[str],
    *,
    is_logged: bool,
) -> None:
    took = state.clock() - request.arrived
    route = request.route
    state.counters.answers.labels(reason, outcome).inc()
    state.counters.durations.labels(route.name).observe(took)
    if not is_logged:
        return
    state.log.write(
        "request",
        id=request.request_id,
        fingerprint=request.fingerprint,
        parts=",".join(request.shared_parts),
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


def _reason_and_outcome(effect: messages.Effect) -> tuple[str, str]:
    """Returns the reason and outcome for logs and metrics."""
    if isinstance(effect, messages.Refuse):
        return effect.refusal.reason.value, effect.refusal.outcome.value
    if isinstance(effect, messages.Abort):
        return "broken_off", outcomes.Outcome.UNKNOWN.value
    return "delivered", outcomes.Outcome.DONE.value
