"""Checks that callers of a relay that is cut from all servers are served.

Only requests for plain servers count, which no crash request ends, and only
where no other fault disturbs them or the relays that can help.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import soak

# Seconds from the beginning of a cut until its callers must be served.
STABLE_SECONDS = 3.0
# Failures that are allowed besides one in ``ALLOWED_EVERY``.
ALLOWED_FAILURES = 10
ALLOWED_EVERY = 50
MIN_SERVED = 2.0 / 3.0
# Kinds of faults that do not disturb requests for plain servers.
_HARMLESS = ("crash", "store")


def find_violations(
    calls: list[soak.RequestRecord],
    spans: list[soak.FaultPeriod],
    relays: int,
) -> list[str]:
    """Returns a violation if too many requests at cut relays failed.

    Args:
        calls: Requests of callers.
        spans: Periods of faults.
        relays: Number of relays.
    """
    cuts = [span for span in spans if span.kind.startswith("cut")]
    judged = [call for call in calls if _is_judged(call, cuts, spans, relays)]
    failed = [call for call in judged if call.status != 200]
    allowed = ALLOWED_FAILURES + len(judged) / ALLOWED_EVERY
    is_unfair = len(judged) - len(failed) < MIN_SERVED * len(judged)
    if len(failed) <= allowed and not (is_unfair and len(judged) > allowed):
        return []
    return [
        f"{len(failed)} of {len(judged)} requests failed at relays that were"
        f" cut from all servers, for example {failed[0].request_id} at"
        f" {failed[0].relay} with {failed[0].status}"
    ]


def _is_judged(
    call: soak.RequestRecord,
    cuts: list[soak.FaultPeriod],
    spans: list[soak.FaultPeriod],
    relays: int,
) -> bool:
    if call.kind == "stream" or call.key != "k1" or not call.ended_at:
        return False
    # A cut ends a second before its period.
    own = [
        cut
        for cut in cuts
        if cut.relay == call.relay
        and cut.started_at + STABLE_SECONDS < call.sent_at
        and call.ended_at < cut.ended_at - 1.0
    ]
    if not own:
        return False
    began = own[0].started_at
    active = [
        span
        for span in spans
        if span.started_at < call.ended_at and span.ended_at > began
    ]
    is_disturbed = any(
        not span.kind.startswith(("cut", *_HARMLESS)) for span in active
    )
    cut_relays = {span.relay for span in active if span.kind.startswith("cut")}
    return not is_disturbed and len(cut_relays) < relays
