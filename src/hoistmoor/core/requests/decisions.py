"""Decision records, which explain how each request was processed."""

from __future__ import annotations

import attrs

from hoistmoor.core import codec
from hoistmoor.core.routing import messages as routing

NO_REVISION = -1


@attrs.frozen
class Step:
    """A decision or event during the processing of a request.

    Attributes:
        after: Seconds since the arrival of the request.
        event: Short name of the event.
        detail: One sentence, meant to be read by people.
    """

    after: float
    event: str
    detail: str


@attrs.define
class Decision:
    """Explains how a request was processed and why.

    Attributes:
        request_id: Id of the request.
        account: Name of the client account; empty if the key was not valid.
        asked: The requested model or call.
        kind: Label that the caller gave to this kind of request.
        arrived: Time of arrival, in seconds since the epoch.
        revision: Table revision that the decision is based on.
        pin: Version that the session is pinned to, if any.
        steps: Decisions and events, in order.
        choice: The last choice, with all candidates and their verdicts.
        version: Version or call that produced the response.
        server: Backend server that produced the response.
        attempts: Number of dispatches to backend servers.
        outcome: ``not_run``, ``done`` or ``unknown``; empty while running.
        reason: Reason for a refusal; empty if the request was not refused.
        cost: Amount billed, in micros.
    """

    request_id: str
    account: str
    asked: str
    kind: str
    arrived: float
    revision: int
    pin: str | None = None
    steps: list[Step] = attrs.field(factory=list)
    choice: routing.Choice | None = None
    version: str = ""
    server: str = ""
    attempts: int = 0
    outcome: str = ""
    reason: str = ""
    cost: int = 0

    @classmethod
    def unauthenticated(cls, request_id: str, asked: str) -> Decision:
        """Returns the decision for a request that is not authenticated yet."""
        return cls(request_id, "", asked, "", 0.0, NO_REVISION)

    def record_step(self, now: float, event: str, detail: str) -> None:
        """Appends a step.

        Args:
            now: Seconds since the epoch.
            event: Short name of the event.
            detail: One sentence, meant to be read by people.
        """
        after = round(now - self.arrived, 6)
        self.steps.append(Step(after, event, detail))


codec.register("decision", Decision)
